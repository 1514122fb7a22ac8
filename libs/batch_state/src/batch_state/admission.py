"""Admission of jobs by the leader of the log.

It is exact because only the leader admits, and it counts what it has logged, committed or not. A
job that was refused is admitted only under a later stamp, so that no late copy of the refused
request is accepted.
"""

from collections.abc import Callable
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
    """Admits jobs in the log of one leader.

    `log_ms` returns the log's own time; `on_new_items` is called when there is something new to
    dispatch to edges that wait for it.
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
        """Admit or refuse a submission, and answer it."""
        self._on(message, origin)

    def sweep(self) -> None:
        """Forget refusals so old that no stamp from before them can still come."""
        floor_ms = self._node.env.now() - 2 * self._node.settings.max_submission_age_ms
        self._refused_ms = {
            job_id: at_ms for job_id, at_ms in self._refused_ms.items() if at_ms > floor_ms
        }

    @singledispatchmethod
    def _on(self, message: Message, origin: Origin) -> None:
        raise TypeError(type(message).__name__)

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
            self._refuse(message, origin)
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
        """Admit or refuse a rollout; rollouts have a backlog limit of their own."""
        if self._answer_known(message, origin):
            return
        profile = self._profiles()[1].usable(message.path)
        if self._stale(message):
            self._node.reply(origin, job_response(JobOutcome.STALE, message.job_id, None))
        elif profile is None or not profile.loan_share:
            self._answer_when_confirmed(message, origin, JobOutcome.UNKNOWN_PATH)
        elif self._leader.state.rollout_backlog(message.path) >= profile.rollout_room:
            self._refuse(message, origin)
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
        """Admit or refuse a forwarded job; its backlog is limited in tokens.

        Profiles that are older here than at the edge refuse nothing.
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
            self._refuse(message, origin)
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
        """Whether a path's backlog has space for a job; a limit of 0 means none."""
        waiting_tokens = self._leader.state.waiting_tokens.get(message.path, 0)
        return not limit_tokens or waiting_tokens + sum(message.tokens) <= limit_tokens

    def _stale(self, message: Submission) -> bool:
        """Whether a request is too old, or a copy of one that was refused."""
        return self._replies.stale(message) or message.leader_ms <= self._refused_ms.get(
            message.job_id, -1
        )

    def _answer_known(self, message: Submission, origin: Origin) -> bool:
        """Answer a submission whose id is taken, and return whether it is."""
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

    def _refuse(self, message: Submission, origin: Origin) -> None:
        """Refuse a submission for want of capacity."""
        self._refused_ms[message.job_id] = message.leader_ms
        self._answer_when_confirmed(message, origin, JobOutcome.BACKLOG_FULL)

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
