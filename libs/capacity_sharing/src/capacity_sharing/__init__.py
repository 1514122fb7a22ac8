"""Training rollouts in the capacity that live calls and batches of items (lots) leave over.

Samples of a rollout run in single slots and give way to anything else. Whole workers are lent under
epochs, once every edge has nothing left there, and return when the worker itself reports that it is
free.
"""

from capacity_sharing.borrowing import Borrowing
from capacity_sharing.lending import LoanOutcome, NodeLoans
from capacity_sharing.lent import LentWorkers
from capacity_sharing.outlook import JobOutlook
from capacity_sharing.rows import LOANS_KEY, LoanState

__all__ = [
    "LOANS_KEY",
    "Borrowing",
    "LentWorkers",
    "LoanOutcome",
    "LoanState",
    "JobOutlook",
    "NodeLoans",
]
