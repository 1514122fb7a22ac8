"""The control key `loans`: which workers are lent whole, and to whom. A loan goes serving, lending, lent, recalled and
back to serving; one function for each change of state, each under a higher epoch, and each a refusal where the
state, or the epoch that whoever asks last knew, is another one.
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
    SERVING = "serving"
    LENDING = "lending"
    LENT = "lent"
    RECALLED = "recalled"


def empty_loans() -> dict[str, Any]:
    return {"epoch": 0, "loans": {}}


def withheld(value: dict[str, Any]) -> frozenset[str]:
    """The workers that get nothing new."""
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
    """New calls go elsewhere from here on; `loan` will be the epoch under which it is lent."""
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
    """Every edge has said under this epoch that nothing of its own is there any more: it is the borrower's."""
    return _row(value, worker, (LoanState.LENDING,), epoch).bind(
        lambda row: _put(value, worker, row, LoanState.LENT, loan=value["epoch"] + 1)
    )


def withdrawn(value: dict[str, Any], worker: str, epoch: int, reason: str) -> Changed:
    """The borrower never had it, so it serves again without more ado."""
    return _row(value, worker, (LoanState.LENDING,), epoch).bind(
        lambda row: _put(value, worker, row, LoanState.SERVING, reason=reason)
    )


def recalled(value: dict[str, Any], worker: str, reason: str, epoch: int | None = None) -> Changed:
    """It is to be handed back; what is only being lent is withdrawn."""
    if value["loans"].get(worker, {}).get("state") == LoanState.LENDING:
        return withdrawn(
            value, worker, value["loans"][worker]["epoch"] if epoch is None else epoch, reason
        )
    return _row(value, worker, (LoanState.LENT,), epoch).bind(
        lambda row: _put(value, worker, row, LoanState.RECALLED, reason=reason)
    )


def returned(value: dict[str, Any], worker: str, loan: int, weights: str) -> Changed:
    """The worker's own word that it is free again, with the weights that were agreed."""

    def back(row: dict[str, Any]) -> Changed:
        if row["loan"] != loan:
            return Error(f"loan {loan} was replaced by {row['loan']}")
        if row["weights"] not in ("", weights):
            return Error(f"it has weights {weights!r} where {row['weights']!r} are wanted")
        return _put(value, worker, row, LoanState.SERVING, reason="")

    return _row(value, worker, (LoanState.LENT, LoanState.RECALLED)).bind(back)
