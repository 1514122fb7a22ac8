"""The value of the control key `loans`: the loans of whole workers and the changes of their state.

A loan is the exclusive lease of a whole worker to training rollouts, for a limited time. It goes
through the states of `LoanState` in order and back to SERVING; a loan may also be returned without
a recall, or withdrawn before the worker was lent. The epoch rises by one with each change of any
loan.

There is one function for each change of state. It returns a new table under the next epoch, or an
error with the reason if the loan's state does not allow the change. Functions that take the epoch
of the loan also refuse if the loan is under another one, so that no change is made on the ground of
an outdated state.
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
    - LENDING: it gets no new requests, and those that run there are finished.
    - LENT: the borrower has exclusive use of it.
    - RECALLED: the borrower has been asked to return it within `recall_ms`.
    """

    SERVING = "serving"
    LENDING = "lending"
    LENT = "lent"
    RECALLED = "recalled"


class Loan(NamedTuple):
    """The loan of a worker.

    Attributes
    ----------
    state
        The state of the loan.
    epoch
        Epoch of the last change of state.
    borrower
        Name of the borrower.
    weights
        The weights that the worker must have when it is returned; empty for any.
    lease_ms
        Duration of the loan, after which the worker is recalled.
    recall_ms
        How long the borrower may take to return the worker after a recall.
    number
        Identifies the loan: the epoch under which the worker was lent, 0 before that.
    reason
        Why the loan was recalled or withdrawn, else empty.
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
    """All loans by the identity of the worker, and the epoch of the last change."""

    __slots__ = ("epoch", "loans")

    def __init__(self, epoch: int, loans: dict[str, Loan]) -> None:
        self.epoch = epoch
        self.loans = loans

    @classmethod
    def from_body(cls, body: str) -> "LoanTable":
        """Return the table from the key's body; an empty body means that there are no loans."""
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
        """Return the workers that get no new requests: those not in the state SERVING."""
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
        """Return a worker's loan if it is in one of the states and, if given, under the epoch."""
        loan = self.loans.get(worker, _NEVER_LENT)
        if loan.state not in states:
            return Error(f"it is {loan.state}")
        if epoch is not None and loan.epoch != epoch:
            return Error(f"epoch {epoch} was replaced by {loan.epoch}")
        return Ok(loan)


_NEVER_LENT = Loan(LoanState.SERVING, 0, "", "", 0, 0, 0, "")

ChangedTable = Result[LoanTable, str]
"""The table after a change, or the reason why the change was refused."""


def granted(
    table: LoanTable, worker: str, borrower: str, weights: str, lease_ms: int, recall_ms: int
) -> ChangedTable:
    """Begin to lend a worker, which gets no new requests from then on."""
    loan = Loan(LoanState.LENDING, 0, borrower, weights, lease_ms, recall_ms, 0, "")
    return table._loan_in(worker, (LoanState.SERVING,)).map(
        lambda previous: table._with_loan(worker, loan)
    )


def drained(table: LoanTable, worker: str, epoch: int) -> ChangedTable:
    """Lend a drained worker to its borrower.

    The caller must have a report of every edge, made under this epoch, that it has no requests
    running there.
    """
    return table._loan_in(worker, (LoanState.LENDING,), epoch).map(
        lambda loan: table._with_loan(
            worker, loan._replace(state=LoanState.LENT, number=table.epoch + 1)
        )
    )


def withdrawn(table: LoanTable, worker: str, epoch: int, reason: str) -> ChangedTable:
    """Let a worker serve again that was not lent yet."""
    return table._loan_in(worker, (LoanState.LENDING,), epoch).map(
        lambda loan: table._with_loan(worker, loan._replace(state=LoanState.SERVING, reason=reason))
    )


def recalled(table: LoanTable, worker: str, reason: str, epoch: int | None = None) -> ChangedTable:
    """Ask the borrower to return a worker; if the worker is not lent yet, withdraw the loan."""
    loan = table.loans.get(worker, _NEVER_LENT)
    if loan.state is LoanState.LENDING:
        return withdrawn(table, worker, loan.epoch if epoch is None else epoch, reason)
    return table._loan_in(worker, (LoanState.LENT,), epoch).map(
        lambda loan: table._with_loan(
            worker, loan._replace(state=LoanState.RECALLED, reason=reason)
        )
    )


def returned(table: LoanTable, worker: str, number: int, weights: str) -> ChangedTable:
    """Let a worker serve again that reports that its borrower has released it.

    Refused unless `number` is that of the loan and `weights` are those that the loan requires.
    """

    def checked(loan: Loan) -> ChangedTable:
        if loan.number != number:
            return Error(f"loan {number} was replaced by {loan.number}")
        if loan.weights not in ("", weights):
            return Error(f"it has weights {weights!r} where {loan.weights!r} are wanted")
        return Ok(table._with_loan(worker, loan._replace(state=LoanState.SERVING, reason="")))

    return table._loan_in(worker, (LoanState.LENT, LoanState.RECALLED)).bind(checked)
