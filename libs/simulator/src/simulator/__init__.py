"""The simulator: the node programs' own cores under virtual time, with fault injection.

The network splits, disks lose what was not synced, machines freeze and wake, and simulated clients,
workers and operators record a history that an oracle judges. Only clocks, links, disks and sockets
to workers are replaced; nodes, components and services are those of the programs.

It may import the programs' packages (`data_plane`, `control_plane` and what they are built on), and
nothing imports it but the test bed and tests.

Invariants: a run depends only on its seed, shape and schedule of faults, so nothing may read a real
clock, draw from a generator that isn't seeded by the run, or iterate over a set. The oracle judges
what clients saw and what workers did; it sees nothing of the nodes' inside but the samples of what
is in force.

Where a change goes:

* `virtual`, `hosts`, `disks`, `worker_transport`: what replaces the outside world of a node.
* `workers`, `worker_runs`, `reading_workers`: simulated model workers.
* `clients`, `live_calls`, `operators`, `trainers`: those who use the system.
* `faults`: a further fault, and the schedules that are drawn.
* `runs`, `evening`: the course of a run; `fleet` has its hosts and samples.
* `history`: a further kind of row; `oracle` and `rules_*`: a further rule.
* `run_digest`: the digest by which versions of the code are compared.
"""

from simulator.history import History
from simulator.oracle import judge, rows_judged
from simulator.runs import run_seed

__all__ = ["History", "judge", "rows_judged", "run_seed"]
