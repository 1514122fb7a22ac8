"""The control key `loans`: which workers are lent whole, and to whom.

A loan goes from serving through lending, lent and recalled back to serving. There is one function
for each change of state. Each sets a higher epoch, and each refuses where the state, or the epoch
that the caller last knew, is a different one.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import Any

from expression import Error, Ok, Result

__all__ = [
    "LOANS_KEY",
    "LoanState",
    "drained",
    "empty_loans",
    "granted",
    "recalled",
    "returned",
    "withdrawn",
    "withheld",
]

LOANS_KEY = "loans"
Changed = Result[dict[str, Any], str]


class LoanState(StrEnum):
    """The states of a loan, in order."""

    SERVING = "serving"
    LENDING = "lending"
    LENT = "lent"
    RECALLED = "recalled"


def empty_loans() -> dict[str, Any]:
    """Return the key's value while nothing was ever lent."""
    return {"epoch": 0, "loans": {}}


def withheld(value: dict[str, Any]) -> frozenset[str]:
    """Return the workers that are sent nothing new."""
    return frozenset(
        name for name, row in value["loans"].items() if row["state"] != LoanState.SERVING
    )


def _put(
    value: dict[str, Any], worker: str, row: dict[str, Any], state: LoanState, **fields: Any
) -> Changed:
    epoch = value["epoch"] + 1
    return Ok(
        {
            "epoch": epoch,
            "loans": {
                **value["loans"],
                worker: {**row, **fields, "state": str(state), "epoch": epoch},
            },
        }
    )


def _row(
    value: dict[str, Any], worker: str, states: Iterable[LoanState], epoch: int | None = None
) -> Result[dict[str, Any], str]:
    row = value["loans"].get(worker, {"state": str(LoanState.SERVING), "epoch": 0})
    if row["state"] not in states:
        return Error(f"it is {row['state']}")
    if epoch is not None and row["epoch"] != epoch:
        return Error(f"epoch {epoch} was replaced by {row['epoch']}")
    return Ok(row)


def granted(
    value: dict[str, Any], worker: str, borrower: str, weights: str, lease_ms: int, recall_ms: int
) -> Changed:
    """Start to lend a worker: new calls go elsewhere from here on.

    `loan`, the epoch under which it is lent, is set once it is drained.
    """
    return _row(value, worker, (LoanState.SERVING,)).bind(
        lambda row: _put(
            value,
            worker,
            {},
            LoanState.LENDING,
            borrower=borrower,
            weights=weights,
            lease_ms=lease_ms,
            recall_ms=recall_ms,
            loan=0,
            reason="",
        )
    )


def drained(value: dict[str, Any], worker: str, epoch: int) -> Changed:
    """Hand a worker to its borrower.

    The caller has the word of every edge, under this epoch, that it has nothing there.
    """
    return _row(value, worker, (LoanState.LENDING,), epoch).bind(
        lambda row: _put(value, worker, row, LoanState.LENT, loan=value["epoch"] + 1)
    )


def withdrawn(value: dict[str, Any], worker: str, epoch: int, reason: str) -> Changed:
    """Let a worker serve again that its borrower never had."""
    return _row(value, worker, (LoanState.LENDING,), epoch).bind(
        lambda row: _put(value, worker, row, LoanState.SERVING, reason=reason)
    )


def recalled(value: dict[str, Any], worker: str, reason: str, epoch: int | None = None) -> Changed:
    """Ask for a worker back; a loan that is not yet lent is withdrawn."""
    if value["loans"].get(worker, {}).get("state") == LoanState.LENDING:
        return withdrawn(
            value, worker, value["loans"][worker]["epoch"] if epoch is None else epoch, reason
        )
    return _row(value, worker, (LoanState.LENT,), epoch).bind(
        lambda row: _put(value, worker, row, LoanState.RECALLED, reason=reason)
    )


def returned(value: dict[str, Any], worker: str, loan: int, weights: str) -> Changed:
    """Let a worker serve again that reports itself free, with the weights that were agreed."""

    def back(row: dict[str, Any]) -> Changed:
        if row["loan"] != loan:
            return Error(f"loan {loan} was replaced by {row['loan']}")
        if row["weights"] not in ("", weights):
            return Error(f"it has weights {weights!r} where {row['weights']!r} are wanted")
        return _put(value, worker, row, LoanState.SERVING, reason="")

    return _row(value, worker, (LoanState.LENT, LoanState.RECALLED)).bind(back)
