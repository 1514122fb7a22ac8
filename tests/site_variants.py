"""Variants of site files, for deployments that the users' own site files don't have.

`python tests/site_variants.py SITE FOLDER [NAME...]` reads a site file of the users and writes one changed file for
each variant, for their bench to run; all variants if no NAME is given. A NAME may join several variants:
`one_of_each+light_traffic`. Nothing of the users' files is kept here.
"""

import copy
import json
import sys
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

__all__ = ["VARIANTS", "Site", "emit", "main", "write_site"]

Site = dict[str, Any]

MORE_TROUBLES: list[dict[str, Any]] = [
    {"kind": "core_cut", "count": 1, "for_s": 20.0, "how": "seeds"},
    {"kind": "core_cut", "count": 1, "for_s": 12.0, "how": "both"},
    {"kind": "core_cut", "count": 1, "for_s": 20.0, "how": "leader one_way"},
    {"kind": "core_cut", "count": 1, "for_s": 9.0, "how": "leader refuse meet"},
    {"kind": "ack_lost", "share": 1.0, "x": 0.7, "for_s": 15.0},
    {"kind": "config_race", "count": 12, "gap_s": 0.6},
    {"kind": "replace_core", "x": 1.5, "how": "leader"},
    {"kind": "replace_core", "on": "store", "x": 2.0, "how": "planned"},
    {"kind": "after_ack_wipe", "count": 1, "for_s": 2.0, "how": "timed"},
    {"kind": "after_ack_wipe", "on": "store", "count": 1, "for_s": 2.0, "how": "taken"},
    {"kind": "after_ack_kill", "on": "store", "count": 1, "for_s": 2.0, "how": "taken"},
    {"kind": "retire", "for_s": 9.0, "how": "wipe"},
    {"kind": "roll_term", "on": "store", "count": 1, "how": "remove"},
    {"kind": "roll_term", "on": "core", "count": 1, "how": "remove"},
    {"kind": "herd_kill", "on": "core", "how": "taken"},
    {"kind": "herd_kill", "share": 0.6, "how": "power"},
    {"kind": "clock_step", "x": 5000.0, "for_s": 6.0, "how": "back"},
    {"kind": "clock_step", "x": 9000.0, "for_s": 6.0, "how": "ahead"},
    {"kind": "hup", "share": 0.6, "gap_s": 1.0},
    {"kind": "seed_turnover"},
    {"kind": "reset_conns", "share": 0.6, "x": 0.6},
    {"kind": "garble", "how": "extra", "share": 0.7, "x": 0.05, "for_s": 6.0},
    {"kind": "answer_lost", "share": 0.7, "x": 0.08, "for_s": 6.0},
    {"kind": "disk_slow", "on": "store", "count": 1, "for_s": 5.0},
    {"kind": "disk_slow", "on": "core", "count": 1, "for_s": 5.0},
    {"kind": "disk_full", "on": "store", "count": 1, "for_s": 6.0},
    {"kind": "disk_full", "on": "core", "count": 1, "for_s": 6.0},
    {"kind": "disk_stall", "on": "store", "count": 1, "for_s": 5.0},
    {"kind": "disk_stall", "on": "core", "count": 1, "for_s": 5.0},
    {"kind": "node_slow", "share": 0.2, "x": 5.0, "for_s": 5.0},
    {"kind": "node_slow", "on": "core", "count": 1, "x": 5.0, "for_s": 5.0},
    {"kind": "node_cut", "share": 0.3, "for_s": 6.0, "how": "servers"},
    {"kind": "srv_grey", "share": 0.2, "x": 0.4, "for_s": 5.0, "how": "reset"},
    {"kind": "srv_grey", "share": 0.2, "x": 0.4, "for_s": 5.0, "how": "hang"},
    {"kind": "replace_with_reuse", "share": 0.2, "how": "dark"},
    {"kind": "scale_in", "share": 0.2, "how": "spot", "x": 2.0},
    {"kind": "scale_out", "share": 0.3, "gap_s": 3.0},
    {"kind": "bad_config", "count": 4, "gap_s": 0.5, "how": "stale_match"},
    {"kind": "bad_config", "count": 4, "gap_s": 0.5, "how": "same_version"},
]


def emit(value: Any) -> str:
    """Return a value as TOML on one line."""
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


def write_site(site: Site) -> str:
    """Return a site, or a table of days alone, as the text of a TOML file."""
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


def _traffic_tables(site: Site) -> list[list[dict[str, Any]]]:
    return [site["traffic"], *[day["traffic"] for day in site.get("day", []) if "traffic" in day]]


def _add_zone(site: Site, name: str, region: str) -> None:
    """Add a zone with the machines and servers of the first one; the two share its traffic equally."""
    first = site["zones"][0]["name"]
    site["zones"].append({"name": name, "region": region})
    site["machines"] += [
        {**copy.deepcopy(row), "zone": name} for row in site["machines"] if row["zone"] == first
    ]
    for service in site["services"]:
        service["servers"] += [
            {**row, "zone": name} for row in service["servers"] if row["zone"] == first
        ]
    for rows in _traffic_tables(site):
        for row in [row for row in rows if row["zone"] == first]:
            row["per_s"] = row["per_s"] / 2
            rows.append({**copy.deepcopy(row), "zone": name})


def _set_count(site: Site, kind: str, count: int, spare: int = 1) -> None:
    for row in site["machines"]:
        if row["class"] == kind:
            row["count"], row["spare"] = count, spare


def one_of_each(site: Site) -> None:
    for kind in ("front", "store", "core"):
        _set_count(site, kind, 1)


def four_zones_two_lost(site: Site) -> None:
    _add_zone(site, "zone-four", site["zones"][0]["region"])
    _set_count(site, "store", 2)
    _set_count(site, "core", 2)
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


def short_timings(site: Site) -> None:
    site["discovery"].update(beat_ms=900, lag_ms=500)
    site["bounds"].update(drain_ms=1500, config_ms=1600, touch_ms=2500, ack_ms=3200, grace_s=6.0)
    site["timing"]["catch_up_s"] = 4.5


def light_traffic(site: Site) -> None:
    """Reduce the traffic to a third, so that days that test control nodes run in a third of the time."""
    for rows in _traffic_tables(site):
        for row in rows:
            row["per_s"] = row["per_s"] / 3


def all_troubles(site: Site) -> None:
    """Add MORE_TROUBLES to the troubles from which the bench's hunts draw."""
    site["troubles"] += copy.deepcopy(MORE_TROUBLES)


def all_troubles_two_lost(site: Site) -> None:
    four_zones_two_lost(site)
    all_troubles(site)


VARIANTS: dict[str, Callable[[Site], None]] = {
    function.__name__: function
    for function in (
        one_of_each,
        four_zones_two_lost,
        two_regions,
        many_routes,
        few_workers,
        odd_timings,
        short_timings,
        light_traffic,
        all_troubles,
        all_troubles_two_lost,
    )
}


def main(path: str, folder: str, names: list[str]) -> None:
    source = Path(path)
    target = Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    for companion in ("wire.json",):
        (target / companion).write_text((source.parent / companion).read_text())
    for name in names or list(VARIANTS):
        site = tomllib.loads(source.read_text())
        for part in name.split("+"):
            VARIANTS[part](site)
        site["name"] = name.replace("_", "-").replace("+", "-")
        (target / f"{source.stem}-{name}.toml").write_text(write_site(site))
        sys.stdout.write(f"{target / source.stem}-{name}.toml\n")


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2], sys.argv[3:])
