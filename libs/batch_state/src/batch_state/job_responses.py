"""Responses about jobs: their state, and pages of their results."""

from collections.abc import Callable

from batch_state.interfaces import ArchiveReader, LogLeader, RepairRequest
from batch_state.jobs import Job
from batch_state.messages import JobResponse, ListResults, ListResultsResponse
from batch_state.outcomes import JobOutcome, RecordKind
from batch_state.state import BatchState

__all__ = ["JobReader", "job_response", "results_response"]

_PAGE_BYTES = 1 << 20
"""No more results are added to a page that is larger than this."""


def job_response(outcome: str, job_id: str, job: Job | None) -> JobResponse:
    """Return a response with the state of a job, or with empty fields if it is None.

    `outcome` is a `JobOutcome`.
    """
    if job is None:
        return JobResponse(
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
    return JobResponse(
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


def results_response(
    outcome: str, job: Job | None = None, rows: list[bytes] | None = None
) -> ListResultsResponse:
    """Return a page of a job's results; without a job it has only the outcome."""
    return ListResultsResponse(
        outcome=outcome,
        rows=rows or [],
        listed=job.listed if job is not None else 0,
        total=job.total if job is not None else 0,
        cancelled=job.cancelled if job is not None else False,
    )


class JobReader:
    """Answers reads from the committed state.

    Parameters
    ----------
    leader
        The leader of the log.
    committed_state
        Returns the state up to the last committed entry.
    archive
        Reads results from archive files.
    request_repair
        Called for a job whose archive file can't be read.
    """

    __slots__ = ("_archive", "_committed_state", "_leader", "_request_repair")

    def __init__(
        self,
        leader: LogLeader,
        committed_state: Callable[[], BatchState],
        archive: ArchiveReader,
        request_repair: RepairRequest,
    ) -> None:
        self._leader, self._committed_state = leader, committed_state
        self._archive, self._request_repair = archive, request_repair

    def job(self, job_id: str) -> JobResponse:
        """Return the state of a job."""
        job = self._committed_state().jobs.get(job_id)
        if job is None:
            return job_response(self._absence_outcome(job_id), job_id, None)
        return job_response(JobOutcome.KNOWN, job_id, job)

    def _absence_outcome(self, job_id: str) -> JobOutcome:
        """Return MISSING for a job in no state, UNKNOWN for one whose admission isn't committed."""
        return JobOutcome.UNKNOWN if job_id in self._leader.state.jobs else JobOutcome.MISSING

    def results(self, message: ListResults) -> ListResultsResponse:
        """Return a page of a job's results, from memory or from its archive file."""
        job = self._committed_state().jobs.get(message.job_id)
        if job is None:
            return results_response(self._absence_outcome(message.job_id))
        if message.from_index > job.total:
            return results_response(JobOutcome.BEYOND_END, job)
        if job.archived is None:
            return results_response(JobOutcome.KNOWN, job, self._rows_in_memory(job, message))
        rows = self._archived_rows(job, message)
        if rows is None:
            self._request_repair(RecordKind.JOB, job.job_id)
            return results_response(JobOutcome.UNKNOWN)
        return results_response(JobOutcome.KNOWN, job, rows)

    def _archived_rows(self, job: Job, message: ListResults) -> list[bytes] | None:
        rows: list[bytes] = []
        while len(rows) < message.limit and sum(map(len, rows)) <= _PAGE_BYTES:
            more = self._archive.read_results(
                job, message.from_index + len(rows), message.limit - len(rows)
            )
            if more is None:
                return None
            if not more:
                break
            rows += more
        return rows

    def _rows_in_memory(self, job: Job, message: ListResults) -> list[bytes]:
        rows: list[bytes] = []
        size_bytes = 0
        for index in range(message.from_index, min(job.listed, message.from_index + message.limit)):
            rows.append(job.encoded_result(index))
            size_bytes += len(rows[-1])
            if size_bytes > _PAGE_BYTES:
                break
        return rows
