"""The simulator: the node programs' own cores under virtual time, with fault injection.

The network splits, disks lose what was not synced, machines freeze and wake, and simulated clients,
workers and operators record a history that an oracle judges.
"""

from simulator.history import History
from simulator.oracle import judge, rows_judged
from simulator.runs import run_seed

__all__ = ["History", "rows_judged", "judge", "run_seed"]
