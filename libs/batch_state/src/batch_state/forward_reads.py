"""Reads of forwarded jobs at the leader.

A response has only committed results, and is sent only once the leader's epoch was confirmed after
the read arrived, either by followers or by the append that committed the result. A read beyond the
last result is parked until there is one or its waiting time is up (a long poll).
"""

from collections.abc import Callable

from messaging import Message, Node

from batch_state.interfaces import ArchiveReader, LogLeader, RepairRequest, Reply
from batch_state.jobs import Item, Job
from batch_state.messages import (
    GetItem,
    GetItemResponse,
    ListForwardResults,
    ListForwardResultsResponse,
)
from batch_state.outcomes import ItemState, JobOutcome, RecordKind
from batch_state.state import BatchState

__all__ = ["ForwardJobReader"]


def _empty_page(outcome: JobOutcome) -> ListForwardResultsResponse:
    return ListForwardResultsResponse(outcome=outcome, rows=[], total=0, complete=False)


class _ParkedRead:
    """An unanswered read, to be answered at the latest at `due_ms` of the node's clock."""

    __slots__ = ("due_ms", "message", "reply")

    def __init__(self, message: ListForwardResults, reply: Reply, due_ms: int) -> None:
        self.message, self.reply, self.due_ms = message, reply, due_ms


class ForwardJobReader:
    """Answers reads of forwarded jobs under one leader.

    Parameters
    ----------
    leader
        The leader of the log.
    node
        The node, for its clock.
    committed_state
        Returns the state up to the last committed entry.
    archive
        Reads results from archive files.
    request_repair
        Called for a job whose archive file can't be read.
    """

    __slots__ = (
        "_archive",
        "_committed_state",
        "_leader",
        "_node",
        "_parked",
        "_request_repair",
    )

    def __init__(
        self,
        leader: LogLeader,
        node: Node,
        committed_state: Callable[[], BatchState],
        archive: ArchiveReader,
        request_repair: RepairRequest,
    ) -> None:
        self._leader, self._node, self._committed_state = leader, node, committed_state
        self._archive, self._request_repair = archive, request_repair
        self._parked: dict[str, list[_ParkedRead]] = {}

    def list_results(self, message: ListForwardResults, reply: Reply) -> None:
        """Answer once there are results, no more can come, it fails, or `wait_ms` have passed."""
        due_ms = self._node.env.now() + message.wait_ms

        def confirmed(ok: bool) -> None:
            if ok:
                self._answer_or_park(message, reply, due_ms)
            else:
                reply(_empty_page(JobOutcome.UNKNOWN))

        self._leader.read(confirmed)

    def _answer_or_park(self, message: ListForwardResults, reply: Reply, due_ms: int) -> None:
        page = self._page(message)
        complete = page.outcome != JobOutcome.KNOWN or page.rows or page.complete
        if complete or self._node.env.now() >= due_ms:
            reply(page)
        else:
            parked = _ParkedRead(message, reply, due_ms)
            self._parked.setdefault(message.job_id, []).append(parked)

    def results_committed(self, job_ids: set[str]) -> None:
        """Answer the parked reads of these jobs that have new results or are complete now."""
        for job_id in job_ids & set(self._parked):
            for parked in self._parked.pop(job_id):
                self._answer_or_park(parked.message, parked.reply, parked.due_ms)

    def tick(self) -> None:
        """Answer parked reads whose waiting time is up."""
        now_ms = self._node.env.now()
        for job_id in list(self._parked):
            due = [parked for parked in self._parked[job_id] if now_ms >= parked.due_ms]
            waiting = [parked for parked in self._parked[job_id] if now_ms < parked.due_ms]
            if waiting:
                self._parked[job_id] = waiting
            else:
                del self._parked[job_id]
            for parked in due:
                self._answer_now(parked)

    def _answer_now(self, parked: _ParkedRead) -> None:
        """Answer a read whose waiting time is up, once followers have confirmed the epoch again."""
        message = ListForwardResults(**{**parked.message.as_dict(), "wait_ms": 0})
        self.list_results(message, parked.reply)

    def close(self, response: Message) -> None:
        """Answer all parked reads with `response`, because this leader's epoch has ended."""
        jobs, self._parked = self._parked, {}
        for reads in jobs.values():
            for parked in reads:
                parked.reply(response)

    def _page(self, message: ListForwardResults) -> ListForwardResultsResponse:
        job = self._committed_state().jobs.get(message.job_id)
        if job is None:
            logged = message.job_id in self._leader.state.jobs
            return _empty_page(JobOutcome.UNKNOWN if logged else JobOutcome.MISSING)
        rows = self._rows(job, message)
        if rows is None:
            self._request_repair(RecordKind.JOB, job.job_id)
            return _empty_page(JobOutcome.UNKNOWN)
        return ListForwardResultsResponse(
            outcome=JobOutcome.KNOWN, rows=rows, total=job.total, complete=not job.open
        )

    def _rows(self, job: Job, message: ListForwardResults) -> list[bytes] | None:
        """Return listed results up to `limit_bytes`, or None if the archive can't be read.

        The first result is returned whatever its size.
        """
        rows: list[bytes] = []
        size_bytes = 0
        position = message.from_position
        while position < job.listed and size_bytes < message.limit_bytes:
            more = (
                [job.encoded_result(position)]
                if job.archived is None
                else self._archive.read_results(job, position, job.listed)
            )
            if not more:
                return None
            for row in more:
                size_bytes += len(row)
                if rows and size_bytes > message.limit_bytes:
                    break
                rows.append(row)
            position = message.from_position + len(rows)
        return rows

    def get_item(self, message: GetItem, reply: Reply) -> None:
        """Answer with the call of an unfinished item of an open job, or else with MISSING."""

        def confirmed(ok: bool) -> None:
            job = self._committed_state().jobs.get(message.job_id)
            if not ok or (job is None and message.job_id in self._leader.state.jobs):
                reply(GetItemResponse(outcome=JobOutcome.UNKNOWN, call=b""))
                return
            item = self._unfinished_item(job, message.item_id)
            if item is None:
                reply(GetItemResponse(outcome=JobOutcome.MISSING, call=b""))
            else:
                reply(GetItemResponse(outcome=JobOutcome.KNOWN, call=item.body))

        self._leader.read(confirmed)

    def _unfinished_item(self, job: Job | None, item_id: str) -> Item | None:
        if job is None or not job.open:
            return None
        item = next((item for item in job.items if item.item_id == item_id), None)
        return None if item is None or item.state == ItemState.FINISHED else item
