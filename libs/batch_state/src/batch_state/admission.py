"""Admission of jobs by the leader of the log.

Backlog limits are exact, because only the leader admits jobs and it counts all that it has
appended, committed or not. A submission carries the leader's epoch and clock that the edge last
received. After a refusal, the job is admitted only by a submission with a later clock value, so
that a delayed copy of the refused request has no effect.
"""

from collections.abc import Callable, Sequence
from functools import singledispatchmethod

from messaging import Message, Node, Origin

from batch_state.entries import ForwardJobAdmitted, JobAdmitted, RolloutAdmitted
from batch_state.interfaces import LogLeader, ProfileSource
from batch_state.job_responses import job_response
from batch_state.jobs import AdmissionEntry
from batch_state.leader_replies import LeaderReplies
from batch_state.messages import StaleRequest, SubmitForwardJob, SubmitJob, SubmitRollout
from batch_state.outcomes import AppendOutcome, JobOutcome

__all__ = ["JobAdmission"]

Submission = SubmitJob | SubmitForwardJob | SubmitRollout


class JobAdmission:
    """Admits jobs to the log of one leader.

    Parameters
    ----------
    leader
        The leader of the log.
    node
        The node that sends the responses.
    replies
        Answers requests once entries are committed or reads confirmed.
    profiles
        Returns the profiles in force, with the backlog limits.
    log_ms
        Returns the log's own time in milliseconds.
    on_new_items
        Called after a forwarded job was appended, whose items can go to parked heartbeats.
    """

    __slots__ = (
        "_leader",
        "_log_ms",
        "_node",
        "_on_new_items",
        "_profiles",
        "_refused_ms",
        "_replies",
    )

    def __init__(
        self,
        leader: LogLeader,
        node: Node,
        replies: LeaderReplies,
        profiles: ProfileSource,
        log_ms: Callable[[], int],
        on_new_items: Callable[[], None],
    ) -> None:
        self._leader, self._node, self._replies = leader, node, replies
        self._profiles, self._log_ms, self._on_new_items = profiles, log_ms, on_new_items
        self._refused_ms: dict[str, int] = {}

    def receive(self, message: Message, origin: Origin) -> None:
        """Admit or refuse a submission, and respond to it."""
        self._on(message, origin)

    def drop_old_refusals(self) -> None:
        """Drop refusals so old that a copy of the refused request would be stale anyway."""
        floor_ms = self._node.env.now() - 2 * self._node.settings.max_submission_age_ms
        self._refused_ms = {
            job_id: at_ms for job_id, at_ms in self._refused_ms.items() if at_ms > floor_ms
        }

    @singledispatchmethod
    def _on(self, message: Message, origin: Origin) -> None:
        raise TypeError(f"expected a submission of a job, got {type(message).__name__}")

    @_on.register
    def _(self, message: SubmitJob, origin: Origin) -> None:
        state = self._leader.state
        capacity = self._profiles()[1].backlog_limit(message.path)
        if self._answer_known(message, origin):
            return
        if self._stale(message):
            self._node.reply(origin, job_response(JobOutcome.STALE, message.job_id, None))
        elif capacity is None:
            self._answer_when_confirmed(message, origin, JobOutcome.UNKNOWN_PATH)
        elif state.backlog(message.path) >= capacity:
            self._refuse(message, origin, JobOutcome.BACKLOG_FULL)
        elif not self._has_memory_for(message.items):
            self._refuse(message, origin, JobOutcome.FULL)
        else:
            self._admit(message, origin, self._job_admitted(message))

    def _job_admitted(self, message: SubmitJob) -> JobAdmitted:
        return JobAdmitted(
            job_id=message.job_id,
            digest=message.digest,
            path=message.path,
            items=message.items,
            safe=message.safe,
            due_ms=self._log_ms() + message.due_ms,
            at_ms=self._log_ms(),
        )

    @_on.register
    def _(self, message: SubmitRollout, origin: Origin) -> None:
        """Admit or refuse a rollout.

        Rollouts have a backlog limit of their own, and run only on paths whose profile has a
        `loan_share`.
        """
        if self._answer_known(message, origin):
            return
        profile = self._profiles()[1].usable(message.path)
        if self._stale(message):
            self._node.reply(origin, job_response(JobOutcome.STALE, message.job_id, None))
        elif profile is None or not profile.loan_share:
            self._answer_when_confirmed(message, origin, JobOutcome.UNKNOWN_PATH)
        elif self._leader.state.rollout_backlog(message.path) >= profile.rollout_room:
            self._refuse(message, origin, JobOutcome.BACKLOG_FULL)
        elif not self._has_memory_for(message.items * message.samples):
            self._refuse(message, origin, JobOutcome.FULL)
        else:
            self._admit(message, origin, self._rollout_admitted(message))

    def _rollout_admitted(self, message: SubmitRollout) -> RolloutAdmitted:
        return RolloutAdmitted(
            job_id=message.job_id,
            digest=message.digest,
            path=message.path,
            items=message.items,
            samples=message.samples,
            weights=message.weights,
            expires_ms=self._log_ms() + message.due_ms if message.due_ms else 0,
            at_ms=self._log_ms(),
        )

    @_on.register
    def _(self, message: SubmitForwardJob, origin: Origin) -> None:
        """Admit or refuse a forwarded job; the backlog limit is in tokens.

        If the profiles at this store are older than those at the edge, the job is neither admitted
        nor refused: the outcome is UNKNOWN.
        """
        if self._answer_known(message, origin):
            return
        version, profiles = self._profiles()
        profile = profiles.usable(message.path)
        if self._stale(message):
            self._node.reply(
                origin, StaleRequest(epoch=self._leader.epoch, leader_ms=self._node.env.now())
            )
        elif version < message.version:
            self._node.reply(origin, job_response(JobOutcome.UNKNOWN, message.job_id, None))
        elif profile is None:
            self._answer_when_confirmed(message, origin, JobOutcome.UNKNOWN_PATH)
        elif not self._fits(message, profile.waiting_tokens or 0):
            self._refuse(message, origin, JobOutcome.BACKLOG_FULL)
        elif not self._has_memory_for(message.calls):
            self._refuse(message, origin, JobOutcome.FULL)
        else:
            self._admit(message, origin, self._forward_job_admitted(message, version))

    def _forward_job_admitted(self, message: SubmitForwardJob, version: int) -> ForwardJobAdmitted:
        return ForwardJobAdmitted(
            job_id=message.job_id,
            digest=message.digest,
            path=message.path,
            item_ids=message.item_ids,
            tokens=message.tokens,
            calls=message.calls,
            attempts=message.attempts,
            due_ms=self._log_ms() + message.due_ms,
            expires_ms=self._log_ms() + message.keep_ms,
            version=version,
            at_ms=self._log_ms(),
        )

    def _fits(self, message: SubmitForwardJob, limit_tokens: int) -> bool:
        """Whether a job fits in its path's backlog; a limit of 0 means that there is no limit."""
        waiting_tokens = self._leader.state.waiting_tokens.get(message.path, 0)
        return not limit_tokens or waiting_tokens + sum(message.tokens) <= limit_tokens

    def _has_memory_for(self, requests: Sequence[str | bytes]) -> bool:
        """Whether the stores can keep the requests of further items in memory."""
        size_bytes = self._leader.state.open_request_bytes() + sum(map(len, requests))
        return size_bytes <= self._node.settings.max_open_job_bytes

    def _stale(self, message: Submission) -> bool:
        """Whether a request is stale, or a copy of one that was refused."""
        return self._replies.stale(message) or message.leader_ms <= self._refused_ms.get(
            message.job_id, -1
        )

    def _answer_known(self, message: Submission, origin: Origin) -> bool:
        """Return whether the job id is in use; if so, answer once that job is committed."""
        known = self._leader.state.jobs.get(message.job_id)
        if known is not None:
            same = known.digest == message.digest
            outcome = JobOutcome.KNOWN if same else JobOutcome.CONFLICT
            self._replies.when_committed(
                origin,
                lambda ok: job_response(
                    outcome if ok else JobOutcome.UNKNOWN, message.job_id, known
                ),
            )
        return known is not None

    def _refuse(self, message: Submission, origin: Origin, outcome: JobOutcome) -> None:
        """Refuse a submission because the path's backlog or the stores' memory is full."""
        self._refused_ms[message.job_id] = message.leader_ms
        self._answer_when_confirmed(message, origin, outcome)

    def _answer_when_confirmed(
        self, message: Submission, origin: Origin, outcome: JobOutcome
    ) -> None:
        self._replies.when_confirmed(
            origin,
            lambda ok: job_response(outcome if ok else JobOutcome.UNKNOWN, message.job_id, None),
        )

    def _admit(self, message: Submission, origin: Origin, entry: AdmissionEntry) -> None:
        state = self._leader.state

        def respond(outcome: str) -> Message:
            committed = outcome == AppendOutcome.COMMITTED
            return job_response(
                JobOutcome.ADMITTED if committed else outcome,
                message.job_id,
                state.jobs.get(message.job_id),
            )

        accepted = self._replies.append(origin, [entry], respond)
        if accepted and isinstance(entry, ForwardJobAdmitted):
            self._on_new_items()
        elif not accepted:
            self._refused_ms[message.job_id] = message.leader_ms
