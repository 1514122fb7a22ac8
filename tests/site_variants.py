"""Deployments that nobody has seen: a site file of the users is read, changed by a description of our own
and written elsewhere for their bench to play. `python tests/site_variants.py SITE FOLDER [NAME...]` writes
one file for each description; nothing of the users' files is kept here.
"""

import copy
import json
import sys
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

__all__ = ["VARIANTS", "emit", "main"]

Site = dict[str, Any]


def emit(value: Any) -> str:
    """A value as TOML on one line."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, dict):
        return (
            "{ "
            + ", ".join(f"{json.dumps(key)} = {emit(inner)}" for key, inner in value.items())
            + " }"
        )
    if isinstance(value, list):
        return "[" + ", ".join(emit(inner) for inner in value) + "]"
    return json.dumps(value) if isinstance(value, str) else repr(value)


def _write(site: Site) -> str:
    plain = [
        f"{key} = {emit(value)}"
        for key, value in site.items()
        if not isinstance(value, dict) and key != "day"
    ]
    tables = [
        f"\n[{key}]\n" + "\n".join(f"{name} = {emit(inner)}" for name, inner in value.items())
        for key, value in site.items()
        if isinstance(value, dict)
    ]
    days = [
        "\n[[day]]\n" + "\n".join(f"{name} = {emit(inner)}" for name, inner in day.items())
        for day in site.get("day", [])
    ]
    return "\n".join([*plain, *tables, *days]) + "\n"


def _each_traffic(site: Site) -> list[list[dict[str, Any]]]:
    return [site["traffic"], *[day["traffic"] for day in site.get("day", []) if "traffic" in day]]


def _add_zone(site: Site, name: str, region: str) -> None:
    """One more zone, furnished like the first; the traffic of the first is shared with it."""
    first = site["zones"][0]["name"]
    site["zones"].append({"name": name, "region": region})
    site["machines"] += [
        {**copy.deepcopy(row), "zone": name} for row in site["machines"] if row["zone"] == first
    ]
    for service in site["services"]:
        service["servers"] += [
            {**row, "zone": name} for row in service["servers"] if row["zone"] == first
        ]
    for rows in _each_traffic(site):
        for row in [row for row in rows if row["zone"] == first]:
            row["per_s"] = row["per_s"] / 2
            rows.append({**copy.deepcopy(row), "zone": name})


def _count(site: Site, kind: str, count: int, spare: int = 1) -> None:
    for row in site["machines"]:
        if row["class"] == kind:
            row["count"], row["spare"] = count, spare


def one_of_each(site: Site) -> None:
    for kind in ("front", "store", "core"):
        _count(site, kind, 1)


def four_zones_two_lost(site: Site) -> None:
    _add_zone(site, "zone-four", site["zones"][0]["region"])
    _count(site, "store", 2)
    _count(site, "core", 2)
    site["tolerate"]["machines"] = 2
    for row in site["machines"]:
        if "disk" in row:
            row["disk"] = {**row["disk"], "sync_ms": 6.5}


def two_regions(site: Site) -> None:
    region = "region-two"
    site["zones"][-1]["region"] = region
    site["net"]["cross_region_ms"] = 15.0


def many_routes(site: Site) -> None:
    site["config"]["idle_routes"] = 150


def few_workers(site: Site) -> None:
    for service in site["services"]:
        for row in service["servers"]:
            row["count"] = 1


def odd_timings(site: Site) -> None:
    site["discovery"]["beat_ms"] = 700
    site["bounds"].update(drain_ms=1600, config_ms=1700, touch_ms=3500, ack_ms=4500)
    site["timing"]["catch_up_s"] = 6.0


VARIANTS: dict[str, Callable[[Site], None]] = {
    function.__name__: function
    for function in (
        one_of_each,
        four_zones_two_lost,
        two_regions,
        many_routes,
        few_workers,
        odd_timings,
    )
}


def main(path: str, folder: str, names: list[str]) -> None:
    source = Path(path)
    target = Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    for beside in ("wire.json",):
        (target / beside).write_text((source.parent / beside).read_text())
    for name in names or list(VARIANTS):
        site = tomllib.loads(source.read_text())
        VARIANTS[name](site)
        site["name"] = f"{name.replace('_', '-')}"
        (target / f"{source.stem}-{name}.toml").write_text(_write(site))
        sys.stdout.write(f"{target / source.stem}-{name}.toml\n")


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2], sys.argv[3:])
