"""Loans: training rollouts in the capacity that live calls and lots leave. Samples borrow single slots and give way to
anything else; whole workers are lent under epochs, after every edge has let go of them, and come back by their own word.
"""

from loans.borrowing import Borrowing
from loans.lending import LoanOutcome, NodeLoans
from loans.lent import LentWorkers
from loans.outlook import LotOutlook
from loans.rows import LOANS_KEY, LoanState

__all__ = [
    "LOANS_KEY",
    "Borrowing",
    "LentWorkers",
    "LoanOutcome",
    "LoanState",
    "LotOutlook",
    "NodeLoans",
]
