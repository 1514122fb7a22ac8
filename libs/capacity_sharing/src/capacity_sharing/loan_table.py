"""The control key `loans`: which workers are lent whole, and to whom.

A loan goes from serving through lending, lent and recalled back to serving. There is one function
for each change of state. Each sets a higher epoch, and each refuses where the state, or the epoch
that the caller last knew, is a different one; the error is the reason.
"""

import json
from collections.abc import Iterable
from enum import StrEnum
from typing import Any, NamedTuple

from expression import Error, Ok, Result

__all__ = [
    "LOANS_KEY",
    "Loan",
    "LoanState",
    "LoanTable",
    "drained",
    "granted",
    "recalled",
    "returned",
    "withdrawn",
]

LOANS_KEY = "loans"


class LoanState(StrEnum):
    """The states of a loan, in order; the values are those of the control key.

    - SERVING: the worker serves requests.
    - LENDING: it gets nothing new, and its requests are finished.
    - LENT: the borrower has it.
    - RECALLED: the borrower has to return it.
    """

    SERVING = "serving"
    LENDING = "lending"
    LENT = "lent"
    RECALLED = "recalled"


class Loan(NamedTuple):
    """The loan of a worker.

    `epoch` is that of the last change of state. `number`, the loan's own number, is the epoch under
    which the worker was lent, 0 before that. `weights`, if not empty, are those that it must return
    with. `lease_ms` is how long it is lent, and `recall_ms` how long the borrower may take to
    return it. `reason` says why it was recalled or withdrawn.
    """

    state: LoanState
    epoch: int
    borrower: str
    weights: str
    lease_ms: int
    recall_ms: int
    number: int
    reason: str

    @classmethod
    def from_row(cls, row: dict[str, Any]) -> "Loan":
        """Return the loan of a JSON row."""
        return cls(
            LoanState(row["state"]),
            row["epoch"],
            row["borrower"],
            row["weights"],
            row["lease_ms"],
            row["recall_ms"],
            row["loan"],
            row["reason"],
        )

    def row(self) -> dict[str, Any]:
        """Return the loan as a JSON row."""
        return {
            "borrower": self.borrower,
            "epoch": self.epoch,
            "lease_ms": self.lease_ms,
            "loan": self.number,
            "reason": self.reason,
            "recall_ms": self.recall_ms,
            "state": str(self.state),
            "weights": self.weights,
        }


class LoanTable:
    """The value of the control key: all loans by worker, and the epoch of the last change."""

    __slots__ = ("epoch", "loans")

    def __init__(self, epoch: int, loans: dict[str, Loan]) -> None:
        self.epoch = epoch
        self.loans = loans

    @classmethod
    def from_body(cls, body: str) -> "LoanTable":
        """Return the table of the key's body; an empty body stands for no loans."""
        if not body:
            return cls(0, {})
        value = json.loads(body)
        loans = {worker: Loan.from_row(row) for worker, row in value["loans"].items()}
        return cls(value["epoch"], loans)

    def body(self) -> str:
        """Return the key's body as JSON text."""
        return json.dumps({"epoch": self.epoch, "loans": self.rows()}, sort_keys=True)

    def rows(self) -> dict[str, dict[str, Any]]:
        """Return the JSON rows of all loans, sorted by worker."""
        return {worker: loan.row() for worker, loan in sorted(self.loans.items())}

    def withheld(self) -> frozenset[str]:
        """Return the workers that are sent nothing new."""
        return frozenset(
            worker for worker, loan in self.loans.items() if loan.state is not LoanState.SERVING
        )

    def _with_loan(self, worker: str, loan: Loan) -> "LoanTable":
        """Return the table with a changed loan, under the next epoch."""
        epoch = self.epoch + 1
        return LoanTable(epoch, {**self.loans, worker: loan._replace(epoch=epoch)})

    def _loan_in(
        self, worker: str, states: Iterable[LoanState], epoch: int | None = None
    ) -> Result[Loan, str]:
        """Return a worker's loan if it is in one of the states, and of the epoch if given."""
        loan = self.loans.get(worker, _NEVER_LENT)
        if loan.state not in states:
            return Error(f"it is {loan.state}")
        if epoch is not None and loan.epoch != epoch:
            return Error(f"epoch {epoch} was replaced by {loan.epoch}")
        return Ok(loan)


_NEVER_LENT = Loan(LoanState.SERVING, 0, "", "", 0, 0, 0, "")

TableChange = Result[LoanTable, str]


def granted(
    table: LoanTable, worker: str, borrower: str, weights: str, lease_ms: int, recall_ms: int
) -> TableChange:
    """Start to lend a worker: new calls go elsewhere from here on."""
    loan = Loan(LoanState.LENDING, 0, borrower, weights, lease_ms, recall_ms, 0, "")
    return table._loan_in(worker, (LoanState.SERVING,)).map(
        lambda previous: table._with_loan(worker, loan)
    )


def drained(table: LoanTable, worker: str, epoch: int) -> TableChange:
    """Give a worker to its borrower.

    The caller has reports of every edge, under this epoch, that it has nothing there.
    """
    return table._loan_in(worker, (LoanState.LENDING,), epoch).map(
        lambda loan: table._with_loan(
            worker, loan._replace(state=LoanState.LENT, number=table.epoch + 1)
        )
    )


def withdrawn(table: LoanTable, worker: str, epoch: int, reason: str) -> TableChange:
    """Let a worker serve again that its borrower never had."""
    return table._loan_in(worker, (LoanState.LENDING,), epoch).map(
        lambda loan: table._with_loan(worker, loan._replace(state=LoanState.SERVING, reason=reason))
    )


def recalled(table: LoanTable, worker: str, reason: str, epoch: int | None = None) -> TableChange:
    """Ask for a worker back; a loan that is not yet lent is withdrawn."""
    loan = table.loans.get(worker, _NEVER_LENT)
    if loan.state is LoanState.LENDING:
        return withdrawn(table, worker, loan.epoch if epoch is None else epoch, reason)
    return table._loan_in(worker, (LoanState.LENT,), epoch).map(
        lambda loan: table._with_loan(
            worker, loan._replace(state=LoanState.RECALLED, reason=reason)
        )
    )


def returned(table: LoanTable, worker: str, number: int, weights: str) -> TableChange:
    """Let a worker serve again that reports itself free, with the weights that were agreed."""

    def checked(loan: Loan) -> TableChange:
        if loan.number != number:
            return Error(f"loan {number} was replaced by {loan.number}")
        if loan.weights not in ("", weights):
            return Error(f"it has weights {weights!r} where {loan.weights!r} are wanted")
        return Ok(table._with_loan(worker, loan._replace(state=LoanState.SERVING, reason="")))

    return table._loan_in(worker, (LoanState.LENT, LoanState.RECALLED)).bind(checked)
