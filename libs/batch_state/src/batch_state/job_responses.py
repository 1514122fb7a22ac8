"""What callers are told of a lot: its state, and pages of its results."""

from collections.abc import Callable
from typing import Any

from batch_state import messages as m
from batch_state.jobs import Job
from batch_state.state import BatchState

__all__ = ["JobReader", "job_response"]

_PAGE_BYTES = 1 << 20


def job_response(outcome: str, lot_id: str, lot: Job | None) -> m.JobResponse:
    """Return the state of a lot, or an empty one if there is none."""
    if lot is None:
        return m.JobResponse(
            outcome=outcome,
            lot_id=lot_id,
            digest="",
            path="",
            total=0,
            finished=0,
            placed=0,
            running=0,
            due_ms=0,
            ended=False,
        )
    running = 0 if lot.ended else len(lot.claims)
    return m.JobResponse(
        outcome=outcome,
        lot_id=lot_id,
        digest=lot.digest,
        path=lot.path,
        total=lot.total,
        finished=lot.total - lot.left,
        placed=lot.placed,
        running=running,
        due_ms=lot.due_ms,
        ended=lot.ended,
    )


class JobReader:
    """Answers from the settled ledger; entries that aren't settled are not known yet.

    `mend` is told of a lot whose archive file can't be read.
    """

    __slots__ = ("_holder", "_mend", "_settled", "_shelves")

    def __init__(
        self,
        holder: Any,
        settled: Callable[[], BatchState],
        shelves: Callable[[], Any],
        mend: Callable[[str, str], None],
    ) -> None:
        self._holder, self._settled = holder, settled
        self._shelves, self._mend = shelves, mend

    def lot(self, lot_id: str) -> m.JobResponse:
        """Return the state of a lot."""
        lot = self._settled().lots.get(lot_id)
        if lot is None and lot_id in self._holder.ledger.lots:
            return job_response("unknown", lot_id, None)
        return job_response("known" if lot else "missing", lot_id, lot)

    def results(self, message: m.ListResults) -> m.ListResultsResponse:
        """Return a page of a lot's results, from memory or from its archive file."""
        lot = self._settled().lots.get(message.lot_id)
        if lot is None:
            outcome = "unknown" if message.lot_id in self._holder.ledger.lots else "missing"
            return m.ListResultsResponse(outcome=outcome, rows=[], placed=0, total=0, ended=False)
        if message.from_index > lot.total:
            return m.ListResultsResponse(
                outcome="beyond", rows=[], placed=lot.placed, total=lot.total, ended=lot.ended
            )
        rows = self._shelved(lot, message) if lot.shelf is not None else self._held(lot, message)
        if rows is None:
            self._mend("lot", lot.lot_id)
            return m.ListResultsResponse(outcome="unknown", rows=[], placed=0, total=0, ended=False)
        return m.ListResultsResponse(
            outcome="known", rows=rows, placed=lot.placed, total=lot.total, ended=lot.ended
        )

    def _shelved(self, lot: Job, message: m.ListResults) -> list[bytes] | None:
        rows: list[bytes] = []
        while len(rows) < message.limit and sum(map(len, rows)) <= _PAGE_BYTES:
            more = self._shelves().results(
                lot, message.from_index + len(rows), message.limit - len(rows)
            )
            if more is None:
                return None
            if not more:
                break
            rows += more
        return rows

    def _held(self, lot: Job, message: m.ListResults) -> list[bytes]:
        rows, size_bytes = [], 0
        for index in range(message.from_index, min(lot.placed, message.from_index + message.limit)):
            rows.append(lot.row(index))
            size_bytes += len(rows[-1])
            if size_bytes > _PAGE_BYTES:
                break
        return rows
