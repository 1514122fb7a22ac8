"""Days for the users' bench with more severe faults than its standard days.

`python tests/worst_days.py FOLDER [--seed N] [--site SITE] [NAME...]` writes one day file per name,
which `fleetbench run SITE FILE` runs. Times and strengths are drawn from the seed, so that a name
and a seed always give the same day. Times (`at`, `for_s`, `gap_s`) are in seconds. Entries name no
zone, service or class of requests, so that a day fits any site file. The bench defers or reduces an
entry that a site can't tolerate at its time.
"""

import argparse
import sys
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random

from site_variants import Site, write_site

__all__ = ["CLOSINGS", "DAYS", "Day", "job_class", "main", "make_day"]

Day = Site
Entry = dict[str, object]
Entries = list[Entry]
Recipe = Callable[[Random, Entries, Entries], None]

FIRST_S = 1.0
JOB_BURST_FACTOR = 2.0
CHANGE_KINDS = ("idle", "timeout", "route", "weights")
BAD_KINDS = (
    "cut_short",
    "unknown_service",
    "same_place",
    "no_weight",
    "no_timeout",
    "old_version",
    "same_version",
    "stale_match",
    "shared_key",
)
CUT_KINDS = (
    "leader",
    "leader one_way",
    "leader reset",
    "leader refuse",
    "leader race",
    "reset one_way meet",
    "refuse meet hard",
    "seeds",
    "seeds one_way",
    "both",
    "both reset",
    "reader drain",
)
CLOSINGS: dict[str, Entry] = {
    "kill": {"kind": "kill_all"},
    "power": {"kind": "power_off_all"},
    "power-all": {"kind": "power_off_all", "how": "all"},
    "power-timed": {"kind": "power_off_all", "how": "timed"},
    "power-taken": {"kind": "power_off_all", "how": "taken"},
    "wipe": {"kind": "wipe_after_ack"},
    "wipe-all": {"kind": "wipe_after_ack", "how": "all"},
    "wipe-timed": {"kind": "wipe_after_ack", "how": "timed"},
    "wipe-taken": {"kind": "wipe_after_ack", "how": "taken"},
    "wipe-all-taken": {"kind": "wipe_after_ack", "how": "all taken"},
}


def _entry(kind: str, at: float, **fields: object) -> Entry:
    rounded = {
        name: round(value, 3) if isinstance(value, float) else value
        for name, value in fields.items()
    }
    return {"at": round(at, 3), "kind": kind, **rounded}


def _times(random: Random, first: float, last: float, gap: float) -> Iterator[float]:
    """Yield times from `first` to `last`, on average `gap` apart."""
    time = first
    while time < last:
        yield time
        time += random.uniform(0.6 * gap, 1.4 * gap)


def _changes(random: Random, plan: Entries, first: float, last: float, gap: float) -> None:
    plan += [
        _entry("config_change", time, how=random.choice(CHANGE_KINDS))
        for time in _times(random, first, last, gap)
    ]


def _cut(random: Random, plan: Entries, faults: Entries, how: str, on: str = "core") -> None:
    """Add cuts of 20 s and 22 s; changes, races and new processes go on through them."""
    at = random.uniform(6.0, 9.0)
    faults.append(_entry("core_cut", at, count=1, for_s=20.0, how=how, on=on))
    faults.append(_entry("core_cut", at + 30.0, count=1, for_s=22.0, how=how, on=on))
    faults.append(_entry("seed_turnover", at + 2.0))
    plan.append(_entry("config_race", at + 4.0, count=10, gap_s=1.3))
    plan.append(_entry("roll_term", at + 7.0, share=0.4, x=1.0, gap_s=2.0))
    plan.append(_entry("config_race", at + 33.0, count=8, gap_s=1.5))
    plan.append(_entry("hup", at + 35.0, share=0.5, gap_s=2.0))
    _changes(random, plan, at + 1.0, at + 55.0, 2.5)


def races_with_lost_answers(random: Random, plan: Entries, faults: Entries) -> None:
    for at in (5.0, 5.6, 25.0, 25.2, 25.9, 45.0):
        plan.append(_entry("config_race", at, count=15, gap_s=random.uniform(0.4, 1.1)))
    faults.append(_entry("ack_lost", 3.0, share=1.0, x=0.7, for_s=55.0))
    faults.append(_entry("node_kill", 12.0, on="core", count=1, for_s=3.0, how="leader race hard"))
    faults.append(_entry("after_ack_wipe", 27.0, for_s=2.0))
    faults.append(_entry("after_ack_kill", 40.0, on="core", count=1, for_s=2.0, how="timed"))
    _changes(random, plan, 4.0, 58.0, 1.0)


def refused_orders(random: Random, plan: Entries, faults: Entries) -> None:
    for at, how in enumerate(BAD_KINDS):
        plan.append(_entry("bad_config", FIRST_S + 5.0 * at, how=how, count=4, gap_s=0.4))
    faults.append(_entry("ack_lost", 2.0, share=1.0, x=0.6, for_s=45.0))
    faults.append(_entry("node_freeze", 15.0, on="core", count=1, for_s=6.0, how="leader"))
    faults.append(_entry("clock_step", 20.0, x=5000.0, for_s=15.0, how="back"))
    _changes(random, plan, 4.0, 48.0, 0.8)


def _second_loss(
    random: Random, plan: Entries, faults: Entries, on: str, delay: float, second: str
) -> None:
    """Replace a machine three times; `delay` seconds after the new one starts, another is lost."""
    for at in (8.0, 26.0, 44.0):
        absent = random.uniform(1.0, 2.5)
        faults.append(_entry("replace_core", at, on=on, x=absent, how=""))
        faults.append(
            _entry(second, at + absent + delay, on=on, count=1, for_s=random.uniform(1.0, 3.0))
        )
    faults.append(_entry("burst", 9.0, x=3.0, for_s=4.0))
    _changes(random, plan, 3.0, 60.0, 1.7)


def _chain(
    random: Random, plan: Entries, faults: Entries, on: tuple[str, ...], kinds: tuple[Entry, ...]
) -> None:
    """Add more losses than a site tolerates at once; the bench defers each until it does."""
    for at in _times(random, 6.0, 30.0, 1.5):
        loss = {**random.choice(kinds), "at": at, "on": random.choice(on)}
        faults.append(_entry(**{"for_s": random.uniform(0.8, 2.5), **loss}))
    for at in (7.0, 19.0, 31.0, 43.0):
        faults.append(_entry("burst", at, x=random.uniform(2.0, 4.0), for_s=3.0))
    plan.append(_entry("config_race", 8.0, count=20, gap_s=2.0))
    _changes(random, plan, 3.0, 60.0, 1.3)


def _chain_days() -> dict[str, Recipe]:
    wipe: Entry = {"kind": "after_ack_wipe", "count": 1}
    timed: Entry = {**wipe, "how": "timed"}
    taken: Entry = {**wipe, "how": "taken"}
    kill: Entry = {"kind": "after_ack_kill", "count": 1, "how": "taken"}
    power: Entry = {"kind": "node_kill", "count": 1, "how": "power leader race hard"}
    replace: Entry = {"kind": "replace_core", "x": 1.2, "how": ""}
    frozen: Entry = {"kind": "node_freeze", "count": 1, "how": "leader"}
    cut: Entry = {"kind": "core_cut", "count": 1, "how": "leader reset"}
    chains = {
        "chain-store-wipe": (("store",), (wipe, taken)),
        "chain-core-wipe": (("core",), (wipe, timed)),
        "chain-wipe": (("store", "core"), (wipe, timed, taken)),
        "chain-replace": (("store", "core"), (wipe, replace)),
        "chain-kill": (("store", "core"), (kill, power, frozen, cut)),
        "chain-all": (("store", "core"), (wipe, timed, taken, kill, power, replace, frozen, cut)),
    }
    return {
        name: (lambda r, p, f, on=on, kinds=kinds: _chain(r, p, f, on, kinds))
        for name, (on, kinds) in chains.items()
    }


def leaving_stores(random: Random, plan: Entries, faults: Entries) -> None:
    plan.append(_entry("add_nodes", 2.0, on="store", count=1))
    plan.append(_entry("retire", 7.0, for_s=9.0, how="wipe"))
    plan.append(_entry("add_nodes", 22.0, on="store", count=2))
    plan.append(_entry("retire", 28.0, for_s=9.0, how="wipe"))
    plan.append(_entry("roll_term", 44.0, on="store", x=1.0, gap_s=7.0, how=""))
    faults.append(_entry("after_ack_wipe", 12.0, on="store", count=1, for_s=1.5))
    faults.append(_entry("burst", 8.0, x=2.5, for_s=3.0))
    faults.append(_entry("after_ack_kill", 36.0, on="store", count=1, for_s=2.0, how="taken"))
    _changes(random, plan, 3.0, 60.0, 3.0)


def removed_machines(random: Random, plan: Entries, faults: Entries) -> None:
    plan.append(_entry("add_nodes", 2.0, on="store", count=1))
    plan.append(_entry("add_nodes", 4.0, on="core", count=1))
    plan.append(_entry("roll_term", 12.0, on="store", count=1, how="remove"))
    plan.append(_entry("roll_term", 24.0, on="core", count=1, how="remove"))
    plan.append(_entry("replace_core", 34.0, x=3.0, how="planned"))
    plan.append(_entry("replace_core", 46.0, on="store", x=3.0, how="planned"))
    faults.append(_entry("after_ack_wipe", 13.5, on="store", count=1, for_s=1.5))
    faults.append(_entry("after_ack_wipe", 25.5, for_s=1.5))
    faults.append(_entry("after_ack_kill", 38.0, on="core", count=1, for_s=2.0, how=""))
    faults.append(_entry("after_ack_wipe", 49.5, on="store", count=1, for_s=1.5))
    _changes(random, plan, 3.0, 60.0, 2.0)


def all_core_down(random: Random, plan: Entries, faults: Entries) -> None:
    faults.append(_entry("herd_kill", 8.0, on="core", how="taken"))
    faults.append(_entry("herd_kill", 24.0, on="core", how="power"))
    faults.append(_entry("replace_core", 34.0, x=1.5, how="leader"))
    faults.append(_entry("herd_kill", 44.0, on="core", how="taken"))
    faults.append(_entry("herd_kill", 56.0, share=0.6, how="power"))
    _changes(random, plan, 3.0, 66.0, 1.5)


def hundreds_of_changes(random: Random, plan: Entries, faults: Entries) -> None:
    faults.append(_entry("core_cut", 6.0, count=1, for_s=25.0, how="seeds"))
    faults.append(_entry("node_freeze", 8.0, share=0.3, for_s=25.0))
    faults.append(_entry("node_kill", 36.0, on="core", count=1, for_s=20.0, how="power"))
    faults.append(_entry("node_kill", 38.0, share=0.2, for_s=22.0, how="power"))
    faults.append(_entry("after_ack_wipe", 66.0, for_s=2.0))
    faults.append(_entry("seed_turnover", 70.0))
    faults.append(_entry("node_kill", 76.0, on="core", count=1, for_s=2.0, how="leader race"))
    plan.append(_entry("roll_term", 82.0, share=0.5, x=2.0, gap_s=1.5))
    _changes(random, plan, 2.0, 96.0, 0.25)


def full_and_slow_disks(random: Random, plan: Entries, faults: Entries) -> None:
    faults.append(_entry("disk_full", 6.0, on="core", count=1, for_s=10.0))
    faults.append(_entry("disk_full", 8.0, on="store", count=1, for_s=10.0))
    faults.append(_entry("disk_slow", 24.0, on="core", count=1, x=30.0, for_s=8.0))
    faults.append(_entry("disk_slow", 26.0, on="store", count=1, x=30.0, for_s=8.0))
    faults.append(_entry("disk_stall", 40.0, on="core", count=1, for_s=6.0))
    faults.append(_entry("disk_stall", 42.0, on="store", count=1, for_s=6.0))
    faults.append(_entry("node_slow", 52.0, on="core", count=1, x=6.0, for_s=6.0))
    faults.append(_entry("burst", 8.0, x=2.0, for_s=4.0))
    plan.append(_entry("config_race", 7.0, count=30, gap_s=1.1))
    _changes(random, plan, 3.0, 62.0, 0.7)


def spoiled_answers(random: Random, plan: Entries, faults: Entries) -> None:
    faults.append(_entry("garble", 3.0, how="extra late", share=0.8, x=0.08, for_s=14.0))
    faults.append(_entry("garble", 18.0, how="extra", share=0.8, x=0.1, for_s=10.0))
    faults.append(_entry("answer_lost", 20.0, how="reset", share=0.8, x=0.1, for_s=12.0))
    faults.append(_entry("reset_conns", 8.0, share=0.8, x=0.5))
    faults.append(_entry("reset_conns", 22.0, share=1.0, x=0.8))
    faults.append(_entry("reset_conns", 38.0, on="store", share=1.0, x=0.8))
    faults.append(_entry("reset_conns", 39.0, on="core", share=1.0, x=0.8))
    faults.append(_entry("node_freeze", 26.0, share=0.3, for_s=4.0))
    faults.append(_entry("srv_grey", 30.0, how="reset", share=0.4, x=0.4, for_s=5.0))
    faults.append(_entry("srv_grey", 36.0, how="mute", share=0.3, x=0.4, for_s=5.0))
    faults.append(_entry("srv_grey", 42.0, how="hang", share=0.3, x=0.4, for_s=5.0))
    faults.append(_entry("replace_with_reuse", 33.0, how="dark", share=0.2))
    faults.append(_entry("node_kill", 44.0, share=0.3, for_s=2.0))
    plan.append(_entry("release", 12.0, share=0.5, x=1.0, gap_s=0.8))
    plan.append(_entry("roll_term", 48.0, share=0.5, x=1.0, gap_s=1.0, how="busy"))
    _changes(random, plan, 3.0, 55.0, 3.0)


def odds_and_ends(random: Random, plan: Entries, faults: Entries) -> None:
    """Add faults that no other day is about: clocks, signals, cut nodes, workers that end at once."""
    faults.append(_entry("clock_step", 4.0, x=20000.0, share=0.6, for_s=8.0, how="ahead"))
    faults.append(_entry("clock_step", 16.0, x=9000.0, share=0.6, for_s=8.0, how="back"))
    faults.append(_entry("node_cut", 8.0, share=0.4, for_s=14.0))
    faults.append(_entry("node_cut", 28.0, how="servers", share=0.4, for_s=8.0))
    faults.append(_entry("core_cut", 30.0, on="store", count=1, for_s=20.0, how="one_way"))
    faults.append(_entry("srv_crash", 20.0, share=0.4, for_s=6.0, how="gone"))
    faults.append(_entry("node_slow", 40.0, share=0.3, x=5.0, for_s=6.0))
    plan.append(_entry("hup", 10.0, share=1.0, gap_s=2.0))
    plan.append(_entry("scale_out", 22.0, share=0.5, gap_s=3.0))
    plan.append(_entry("scale_in", 34.0, share=0.4, how="spot", x=2.0))
    plan.append(_entry("config_race", 31.0, count=10, gap_s=1.2))
    _changes(random, plan, 3.0, 55.0, 1.2)


def _cut_days() -> dict[str, Recipe]:
    days: dict[str, Recipe] = {}
    for how in CUT_KINDS:
        days["cut-" + how.replace(" ", "-")] = lambda r, p, f, how=how: _cut(r, p, f, how)
    for how in ("one_way", "reset"):
        days[f"cut-store-{how}"] = lambda r, p, f, how=how: _cut(r, p, f, how, "store")
    return days


def _second_loss_days() -> dict[str, Recipe]:
    return {
        f"second-{on}-{second.removeprefix('after_ack_')}-{delay:.0f}": (
            lambda r, p, f, on=on, delay=delay, second=second: _second_loss(
                r, p, f, on, delay, second
            )
        )
        for on in ("core", "store")
        for second in ("after_ack_wipe", "after_ack_kill")
        for delay in (1.0, 3.0, 5.0, 7.0)
    }


DAYS: dict[str, Recipe] = {
    **_cut_days(),
    **_second_loss_days(),
    **_chain_days(),
    **{
        recipe.__name__.replace("_", "-"): recipe
        for recipe in (
            races_with_lost_answers,
            refused_orders,
            leaving_stores,
            removed_machines,
            all_core_down,
            hundreds_of_changes,
            full_and_slow_disks,
            spoiled_answers,
            odds_and_ends,
        )
    },
}


def job_class(site: Site) -> str:
    """Return the class of requests that are submitted as jobs (lots), or "" if a site has none."""
    return next((row["name"] for row in site["classes"] if "lot" in row), "")


def _with_job_burst(jobs: str, entry: Entry) -> Entry:
    """Return the entry; a burst is of the class `jobs`, if given, and twice as strong then.

    A burst of jobs alone may be much stronger than one of all classes.
    """
    if not jobs or entry["kind"] != "burst":
        return entry
    return {**entry, "class": jobs, "x": JOB_BURST_FACTOR * entry["x"]}


def make_day(name: str, seed: int, jobs: str = "") -> Day:
    """Return the day `name` as drawn from `seed`; with `jobs`, bursts are of that class of requests.

    Raises KeyError for a name that is not in DAYS.
    """
    random = Random(f"{name} {seed}")
    plan: Entries = []
    faults: Entries = []
    DAYS[name](random, plan, faults)
    faults = [_with_job_burst(jobs, entry) for entry in faults]
    by_time = [sorted(entries, key=lambda entry: entry["at"]) for entries in (plan, faults)]
    last = max(entry["at"] for entries in by_time for entry in entries)
    closing = CLOSINGS[random.choice(list(CLOSINGS))]
    return {
        "name": f"{name}-{seed}",
        "seed": random.randrange(1, 2**31),
        "length_s": float(round(last + 8.0)),
        "closing": {**closing, "down_s": round(random.uniform(0.5, 2.0), 2)},
        "plan": by_time[0],
        "faults": by_time[1],
    }


def main(arguments: list[str]) -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder", type=Path)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--site", type=Path, help="site file whose class of jobs (lots) all bursts are of"
    )
    parser.add_argument("names", nargs="*", metavar="NAME")
    options = parser.parse_intermixed_args(arguments)
    options.folder.mkdir(parents=True, exist_ok=True)
    jobs = job_class(tomllib.loads(options.site.read_text())) if options.site else ""
    for name in options.names or list(DAYS):
        target = options.folder / f"{name}-{options.seed}.toml"
        target.write_text(write_site({"day": [make_day(name, options.seed, jobs)]}))
        sys.stdout.write(f"{target}\n")


if __name__ == "__main__":
    main(sys.argv[1:])
