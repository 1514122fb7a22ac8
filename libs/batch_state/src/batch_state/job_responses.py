"""What callers are told of a lot: its state, and pages of its results."""

from collections.abc import Callable
from typing import Any

from batch_state import messages as m
from batch_state.jobs import Job
from batch_state.state import BatchState

__all__ = ["JobReader", "job_response"]

_PAGE_BYTES = 1 << 20


def job_response(outcome: str, job_id: str, job: Job | None) -> m.JobResponse:
    """Return the state of a lot, or an empty one if there is none."""
    if job is None:
        return m.JobResponse(
            outcome=outcome,
            job_id=job_id,
            digest="",
            path="",
            total=0,
            finished=0,
            listed=0,
            running=0,
            due_ms=0,
            cancelled=False,
        )
    running = 0 if job.cancelled else len(job.claims)
    return m.JobResponse(
        outcome=outcome,
        job_id=job_id,
        digest=job.digest,
        path=job.path,
        total=job.total,
        finished=job.total - job.unfinished,
        listed=job.listed,
        running=running,
        due_ms=job.due_ms,
        cancelled=job.cancelled,
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

    def job(self, job_id: str) -> m.JobResponse:
        """Return the state of a lot."""
        job = self._settled().jobs.get(job_id)
        if job is None and job_id in self._holder.state.jobs:
            return job_response("unknown", job_id, None)
        return job_response("known" if job else "missing", job_id, job)

    def results(self, message: m.ListResults) -> m.ListResultsResponse:
        """Return a page of a lot's results, from memory or from its archive file."""
        job = self._settled().jobs.get(message.job_id)
        if job is None:
            outcome = "unknown" if message.job_id in self._holder.state.jobs else "missing"
            return m.ListResultsResponse(
                outcome=outcome, rows=[], listed=0, total=0, cancelled=False
            )
        if message.from_index > job.total:
            return m.ListResultsResponse(
                outcome="beyond",
                rows=[],
                listed=job.listed,
                total=job.total,
                cancelled=job.cancelled,
            )
        rows = self._shelved(job, message) if job.shelf is not None else self._held(job, message)
        if rows is None:
            self._mend("lot", job.job_id)
            return m.ListResultsResponse(
                outcome="unknown", rows=[], listed=0, total=0, cancelled=False
            )
        return m.ListResultsResponse(
            outcome="known", rows=rows, listed=job.listed, total=job.total, cancelled=job.cancelled
        )

    def _shelved(self, job: Job, message: m.ListResults) -> list[bytes] | None:
        rows: list[bytes] = []
        while len(rows) < message.limit and sum(map(len, rows)) <= _PAGE_BYTES:
            more = self._shelves().read_results(
                job, message.from_index + len(rows), message.limit - len(rows)
            )
            if more is None:
                return None
            if not more:
                break
            rows += more
        return rows

    def _held(self, job: Job, message: m.ListResults) -> list[bytes]:
        rows, size_bytes = [], 0
        for index in range(message.from_index, min(job.listed, message.from_index + message.limit)):
            rows.append(job.row(index))
            size_bytes += len(rows[-1])
            if size_bytes > _PAGE_BYTES:
                break
        return rows
