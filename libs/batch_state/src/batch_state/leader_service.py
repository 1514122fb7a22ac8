"""Handling of the requests of edges under one leader of the log.

Admission is exact, because only the leader admits jobs and it counts all that it has appended,
committed or not. Responses that clients may rely on are sent only once the entries behind them are
committed, that is, durable on f+1 disks.
"""

from collections.abc import Callable
from functools import partial, singledispatchmethod

from messaging import Message, Node, Origin

from batch_state.admission import JobAdmission
from batch_state.entries import JobCancelled, JobExpired, KeyExpired, ListingAdvanced
from batch_state.forward_reads import ForwardJobReader
from batch_state.idempotency_service import IdempotencyKeyService
from batch_state.interfaces import (
    ArchiveReader,
    DeadlineForecast,
    LogLeader,
    ProfileSource,
    RepairRequest,
)
from batch_state.item_dispatch import ItemDispatcher
from batch_state.job_responses import JobReader, job_response, results_response
from batch_state.jobs import Job
from batch_state.leader_replies import LeaderReplies
from batch_state.messages import (
    AdvanceListing,
    CancelJob,
    CloseKey,
    EdgeHeartbeat,
    GetItem,
    GetJob,
    JobResponse,
    ListForwardResults,
    ListResults,
    OpenKey,
    ReportItemOutcomes,
    ReportResult,
    ReportResultResponse,
    RolloutHeartbeat,
    SubmitForwardJob,
    SubmitJob,
    SubmitRollout,
)
from batch_state.outcomes import AppendOutcome, JobOutcome
from batch_state.state import BatchState

__all__ = ["LeaderService"]

_JOB_RETENTION_FACTOR = 7
"""Jobs are retained this many times as long as idempotency keys (setting `keep_ms`)."""


class LeaderService:
    """Handles the requests of edges under one leader.

    Parameters
    ----------
    leader
        The leader of the log.
    node
        The node, for its clocks, settings and responses.
    profiles
        Returns the profiles in force.
    committed_state
        Returns the state up to the last committed entry.
    archive
        Reads results and final responses from archive files.
    request_repair
        Called for a record whose archive file can't be read.
    forecast
        Tells whether jobs will meet their deadlines while rollouts run; without it no rollout is
        dispatched.
    """

    __slots__ = (
        "_admission",
        "_base_ms",
        "_dispatcher",
        "_forward_reader",
        "_job_reader",
        "_keys",
        "_node",
        "_replies",
        "_started_ms",
        "leader",
    )

    def __init__(
        self,
        leader: LogLeader,
        node: Node,
        profiles: ProfileSource,
        committed_state: Callable[[], BatchState],
        archive: ArchiveReader,
        request_repair: RepairRequest,
        forecast: DeadlineForecast | None,
    ) -> None:
        self.leader = leader
        self._node = node
        self._started_ms = node.env.now()
        self._base_ms = max(self._admission_times_ms(), default=node.env.wall())
        self._replies = LeaderReplies(leader, node)
        self._job_reader = JobReader(leader, committed_state, archive, request_repair)
        self._forward_reader = ForwardJobReader(
            leader, node, committed_state, archive, request_repair
        )
        self._dispatcher = ItemDispatcher(
            leader, node, self.log_ms, profiles, self._forward_reader.results_committed, forecast
        )
        self._admission = JobAdmission(
            leader, node, self._replies, profiles, self.log_ms, self._dispatcher.answer_parked
        )
        self._keys = IdempotencyKeyService(
            leader, node, self._replies, self.log_ms, archive, request_repair
        )

    def _admission_times_ms(self) -> list[int]:
        state = self.leader.state
        return [
            *(job.at_ms for job in state.jobs.values()),
            *(key.at_ms for key in state.keys.values()),
        ]

    def log_ms(self) -> int:
        """Return the log's own time in milliseconds.

        It starts at the latest admission time of a job or key in the state, or at the wall clock if
        there is none, and advances with the monotonic clock. So a step of the wall clock doesn't
        make jobs or keys expire. Time without a leader doesn't count.
        """
        return self._base_ms + self._node.env.now() - self._started_ms

    def receive(self, message: Message, origin: Origin) -> None:
        """Handle a request of an edge."""
        self._on(message, origin)

    def close(self, response: Message) -> None:
        """Answer all parked requests with `response`, because this leader's epoch has ended."""
        self._dispatcher.close(response)
        self._forward_reader.close(response)

    def tick(self) -> None:
        """Answer parked requests that are due, and end what has expired or is lost."""
        self._dispatcher.tick()
        self._forward_reader.tick()

    @singledispatchmethod
    def _on(self, message: Message, origin: Origin) -> None:
        raise TypeError(f"expected a request to the leader, got {type(message).__name__}")

    # Requests about jobs.

    @_on.register(SubmitJob)
    @_on.register(SubmitRollout)
    @_on.register(SubmitForwardJob)
    def _(self, message: Message, origin: Origin) -> None:
        self._admission.receive(message, origin)

    @_on.register
    def _(self, message: GetJob, origin: Origin) -> None:
        def respond(ok: bool) -> Message:
            if not ok:
                return job_response(JobOutcome.UNKNOWN, message.job_id, None)
            return self._job_reader.job(message.job_id)

        self._replies.when_confirmed(origin, respond)

    @_on.register
    def _(self, message: ListResults, origin: Origin) -> None:
        def respond(ok: bool) -> Message:
            if not ok:
                return results_response(JobOutcome.UNKNOWN)
            return self._job_reader.results(message)

        self._replies.when_confirmed(origin, respond)

    @_on.register
    def _(self, message: CancelJob, origin: Origin) -> None:
        job = self.leader.state.jobs.get(message.job_id)
        if job is None:
            self._replies.when_confirmed(
                origin,
                lambda ok: job_response(
                    JobOutcome.MISSING if ok else JobOutcome.UNKNOWN, message.job_id, None
                ),
            )
        elif not job.open:
            self._replies.when_committed(
                origin,
                lambda ok: job_response(
                    JobOutcome.KNOWN if ok else JobOutcome.UNKNOWN, message.job_id, job
                ),
            )
        else:
            self._replies.append(
                origin,
                [JobCancelled(job_id=message.job_id, at_ms=self.log_ms())],
                partial(self._cancelled, job),
                urgent=True,
            )

    def _cancelled(self, job: Job, outcome: str) -> JobResponse:
        """Return the response to a cancellation.

        If it is committed, parked heartbeats of edges that run the job and parked reads of its
        results are answered first.
        """
        if outcome != AppendOutcome.COMMITTED:
            return job_response(outcome, job.job_id, job)
        self._dispatcher.answer_parked()
        self._forward_reader.results_committed({job.job_id})
        return job_response(JobOutcome.KNOWN, job.job_id, job)

    @_on.register
    def _(self, message: ListForwardResults, origin: Origin) -> None:
        self._forward_reader.list_results(message, partial(self._node.reply, origin))

    @_on.register
    def _(self, message: GetItem, origin: Origin) -> None:
        self._forward_reader.get_item(message, partial(self._node.reply, origin))

    # Requests of edges that run items.

    @_on.register(EdgeHeartbeat)
    @_on.register(RolloutHeartbeat)
    def _(self, message: EdgeHeartbeat | RolloutHeartbeat, origin: Origin) -> None:
        self._dispatcher.heartbeat(message, partial(self._node.reply, origin))

    @_on.register
    def _(self, message: ReportResult, origin: Origin) -> None:
        self._dispatcher.report_result(message, partial(self._node.reply, origin))

    @_on.register
    def _(self, message: ReportItemOutcomes, origin: Origin) -> None:
        self._dispatcher.report_outcomes(message, partial(self._node.reply, origin))

    @_on.register
    def _(self, message: AdvanceListing, origin: Origin) -> None:
        def respond(ok: bool) -> Message:
            return ReportResultResponse(ok=ok, listing_epoch=0, up_to=0)

        if not self._dispatcher.may_advance_listing(message):
            self._node.reply(origin, respond(False))
            return
        entry = ListingAdvanced(job_id=message.job_id, up_to=message.up_to, epoch=message.epoch)
        self._replies.append(
            origin,
            [entry],
            lambda outcome: respond(outcome == AppendOutcome.COMMITTED),
            urgent=True,
        )

    # Requests about idempotency keys.

    @_on.register
    def _(self, message: OpenKey, origin: Origin) -> None:
        self._keys.open(message, origin)

    @_on.register
    def _(self, message: CloseKey, origin: Origin) -> None:
        self._keys.close(message, origin)

    def remove_expired(self) -> None:
        """Append the removal of keys and closed jobs whose retention period has passed.

        It counts from the opening of the key or the admission of the job.
        """
        self._admission.drop_old_refusals()
        keep_ms = self._node.settings.keep_ms
        key_floor_ms = self.log_ms() - keep_ms
        job_floor_ms = self.log_ms() - _JOB_RETENTION_FACTOR * keep_ms
        state = self.leader.state
        entries: list[Message] = [
            KeyExpired(key=name) for name, key in state.keys.items() if key.at_ms < key_floor_ms
        ]
        entries += [
            JobExpired(job_id=job.job_id)
            for job in state.jobs.values()
            if not job.open and job.at_ms < job_floor_ms
        ]
        if entries:
            self.leader.append(entries, False, lambda outcome: None, True)
