"""Deterministic simulator: runs the nodes' production code in virtual time and injects faults.

Networks partition, disks lose writes that were not flushed, and processes freeze and wake, while
simulated clients, workers and operators record a history that an oracle judges. Only clocks, links,
disks and the sockets to workers are simulated; nodes, components and services are the real ones.

The simulator may import the packages of the programs (`data_plane`, `control_plane` and their
dependencies). Only the test beds and the tests may import the simulator.

Invariants: a run depends only on its seed, shape and fault schedule, so no code here may read a
real clock, draw from a generator that the run does not seed, or iterate over a set. The oracle
judges what clients observed and what workers ran; of the nodes' internal state it sees only samples
of the versions in force and of the leaders' backlogs.

Modules:

* `virtual`, `hosts`, `disks`, `worker_transport`: the simulated environment of a node.
* `workers`, `worker_runs`, `prefill_workers`: simulated model workers.
* `clients`, `live_calls`, `operators`, `trainers`: simulated users of the system.
* `faults`: the faults, and the drawing of random fault schedules.
* `runs`, `evening`: the phases of a run; `fleet` has the hosts, the workers and the samples.
* `history`: the kinds of rows that are recorded; `oracle` and `rules_*`: the rules that judge them.
* `run_digest`: the digest by which the behaviour of two versions of the code is compared.
"""

from simulator.history import History
from simulator.oracle import judge, rows_judged
from simulator.runs import run_seed

__all__ = ["History", "judge", "rows_judged", "run_seed"]
