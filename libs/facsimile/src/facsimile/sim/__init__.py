"""The simulator: the real cores under virtual time, with a network that splits, disks that lose what
was not synced, machines that freeze and wake, and visitors, workers and operators that keep a history.
"""

from facsimile.sim.history import History
from facsimile.sim.oracle import evidence, judge
from facsimile.sim.runs import run_seed

__all__ = ["History", "evidence", "judge", "run_seed"]
