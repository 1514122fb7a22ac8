"""Simulated fleets with injected faults, judged by the oracle.

Each failure that was found or that the requirements name has a schedule of faults, which is run
with several seeds. Further seeds have faults drawn at random.
"""

from concurrent.futures import ProcessPoolExecutor

from simulator import rows_judged, run_seed
from simulator.oracle import RULES
from testtools import TestCase
from testtools.matchers import Equals

SCHEDULES = {
    "quiet": [],
    "older version of an epoch put back": [
        (1500, "crash-owner"),
        (3600, "control-split"),
        (4300, "power-all"),
    ],
    "woken edge and a dead worker": [(1500, "freeze-edge"), (2500, "worker-crash")],
    "woken edge and a replaced worker": [
        (1500, "freeze-edge"),
        (2400, "worker-replace"),
        (2500, "worker-replace"),
    ],
    "unready edge and a used key": [(1500, "isolate-edge"), (2500, "power-stores")],
    "unsafe report lost with the power": [
        (1500, "slow-disk"),
        (2000, "power-stores"),
        (4500, "power-stores"),
    ],
    "edge restarted while the holder changes": [(1500, "freeze-holder"), (2200, "crash-edge")],
    "holder killed, then its successor": [(1500, "crash-holder"), (4000, "crash-holder")],
    "holder's disk lost": [(1500, "lose-holder-disk"), (2500, "crash-control")],
    "store's disk lost, stores cut from power": [(1500, "lose-store-disk"), (9500, "power-stores")],
    "everything cut from power": [(1500, "power-all"), (6000, "power-all")],
    "last fault of the day": [(10900, "power-all")],
    "control split and its owner killed": [(1500, "control-split"), (2500, "crash-owner")],
    "control cut off while edges restart": [
        (1500, "control-cut-off"),
        (2000, "crash-edge"),
        (3000, "crash-edge"),
    ],
    "control disk lost": [(1500, "lose-control-disk"), (3000, "freeze-control")],
    "holder frozen with its clock moved": [(1500, "freeze-holder"), (1600, "step-clocks")],
    "losses, doubles and a split": [(1500, "loss"), (5000, "split"), (8500, "loss")],
    "workers go one after another": [
        (1000, "worker-crash"),
        (2500, "worker-leave"),
        (4000, "worker-dark"),
        (7000, "worker-replace"),
        (8500, "worker-crash"),
    ],
    "most edges cut off for long": [(800, "minority-cut")],
    "most edges cut off, one restarts": [(800, "minority-cut-restart")],
    "slow store, slow disk": [(1500, "slow-store"), (5000, "slow-disk")],
    "disks fill up": [(1500, "fill-stores"), (6000, "fill-control")],
    "full stores, then the holder's disk lost": [
        (1700, "fill-stores"),
        (3300, "lose-holder-disk"),
        (3700, "crash-store"),
    ],
    "lots handed in while stores are full": [
        (1000, "fill-stores"),
        (3200, "loss"),
        (4500, "fill-stores"),
        (7500, "fill-stores"),
    ],
    "woken store, slow disk, holder's disk lost": [
        (1000, "freeze-holder"),
        (5000, "slow-disk"),
        (7000, "lose-holder-disk"),
    ],
    "disk damaged": [(1500, "damage-store"), (6000, "damage-control")],
}
SEEDS = range(3)
RANDOM_FAULT_SEEDS = range(1000, 1012)


def run_and_judge(job):
    name, seed, shape = job
    found, run = run_seed(seed, faults=7, fault_schedule=SCHEDULES.get(name), shape=shape)
    return (name, seed, shape, found), rows_judged(run.fleet.history)


class Simulated(TestCase):
    def test_no_rule_is_broken(self):
        jobs = [
            (name, 1, shape)
            for name in ("quiet", "drawn", "most edges cut off for long")
            for shape in ("jade", "swan")
        ]
        jobs += [(name, seed, "small") for name in SCHEDULES for seed in SEEDS] + [
            ("drawn", seed, "small") for seed in RANDOM_FAULT_SEEDS
        ]
        with ProcessPoolExecutor() as pool:
            rows = list(pool.map(run_and_judge, jobs))
        self.assertThat([row for row, _ in rows if row[3]], Equals([]))
        self.assertThat(
            [name for name in RULES if not sum(seen[name] for _, seen in rows)], Equals([])
        )

    def test_a_seed_gives_the_same_history(self):
        first, second = (run_seed(7, 5)[1].fleet.history.rows for _ in range(2))
        self.assertThat(first == second, Equals(True))
        self.assertThat(len(first) > 300, Equals(True))
