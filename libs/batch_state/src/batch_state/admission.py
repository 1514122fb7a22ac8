"""Admission of lots by the holder of the log.

It is exact because only the holder admits, and it counts what it has logged, settled or not. A lot
that was refused is admitted only under a later stamp, so that no late copy of the refused request
is accepted.
"""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from messaging import Message, Origin

from batch_state import entries as e
from batch_state import messages as m
from batch_state.job_responses import job_response
from batch_state.leader_replies import KEPT, LeaderReplies

__all__ = ["JobAdmission"]


class JobAdmission:
    """Admits lots in the log of one holder.

    `profiles` returns the number and the tree of the profiles in force here, `log_ms` the log's own
    time; `wake` is called when there is something new to deal.
    """

    __slots__ = ("_answers", "_holder", "_log_ms", "_node", "_profiles", "_refused_ms", "_wake")

    def __init__(
        self,
        holder: Any,
        node: Any,
        answers: LeaderReplies,
        profiles: Callable[[], tuple[int, Any]],
        log_ms: Callable[[], int],
        wake: Callable[[], None],
    ) -> None:
        self._holder, self._node, self._answers = holder, node, answers
        self._profiles, self._log_ms, self._wake = profiles, log_ms, wake
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
    def _(self, message: m.SubmitJob, origin: Origin) -> None:
        state = self._holder.state
        capacity = self._profiles()[1].room(message.path)
        if self._known(message, origin):
            return
        if self._answers.stale(message) or message.holder_ms <= self._refused_ms.get(
            message.job_id, -1
        ):
            self._node.reply(origin, job_response("stale", message.job_id, None))
        elif capacity is None:
            self._answers.when_confirmed(
                origin,
                lambda ok: job_response("no_path" if ok else "unknown", message.job_id, None),
            )
        elif state.backlog(message.path) >= capacity:
            self._refuse(message, origin)
        else:
            self._admit(
                message,
                origin,
                e.JobAdmitted(
                    job_id=message.job_id,
                    digest=message.digest,
                    path=message.path,
                    items=message.items,
                    safe=message.safe,
                    due_ms=self._log_ms() + message.due_ms,
                    at_ms=self._log_ms(),
                ),
            )

    @_on.register
    def _(self, message: m.SubmitRollout, origin: Origin) -> None:
        """Admit or refuse a rollout; rollouts have a queue limit of their own."""
        if self._known(message, origin):
            return
        profile = self._profiles()[1].usable(message.path)
        if self._answers.stale(message) or message.holder_ms <= self._refused_ms.get(
            message.job_id, -1
        ):
            self._node.reply(origin, job_response("stale", message.job_id, None))
        elif profile is None or not profile.loan_share:
            self._answers.when_confirmed(
                origin,
                lambda ok: job_response("no_path" if ok else "unknown", message.job_id, None),
            )
        elif self._holder.state.rollout_backlog(message.path) >= profile.rollout_room:
            self._refuse(message, origin)
        else:
            self._admit(
                message,
                origin,
                e.RolloutAdmitted(
                    job_id=message.job_id,
                    digest=message.digest,
                    path=message.path,
                    items=message.items,
                    samples=message.samples,
                    weights=message.weights,
                    expires_ms=self._log_ms() + message.due_ms if message.due_ms else 0,
                    at_ms=self._log_ms(),
                ),
            )

    @_on.register
    def _(self, message: m.SubmitForwardJob, origin: Origin) -> None:
        """Admit or refuse a forwarded lot; its queue is limited in tokens.

        Profiles that are older here than at the edge refuse nothing.
        """
        if self._known(message, origin):
            return
        number, tree = self._profiles()
        profile = tree.usable(message.path)
        if self._answers.stale(message) or message.holder_ms <= self._refused_ms.get(
            message.job_id, -1
        ):
            self._node.reply(
                origin, m.StaleRequest(epoch=self._holder.epoch, holder_ms=self._node.env.now())
            )
        elif number < message.version:
            self._node.reply(origin, job_response("unknown", message.job_id, None))
        elif profile is None:
            self._answers.when_confirmed(
                origin,
                lambda ok: job_response("no_path" if ok else "unknown", message.job_id, None),
            )
        elif not self._fits(message, profile.waiting_tokens or 0):
            self._refuse(message, origin)
        else:
            self._admit(
                message,
                origin,
                e.ForwardJobAdmitted(
                    job_id=message.job_id,
                    digest=message.digest,
                    path=message.path,
                    item_ids=message.item_ids,
                    tokens=message.tokens,
                    calls=message.calls,
                    attempts=message.attempts,
                    due_ms=self._log_ms() + message.due_ms,
                    expires_ms=self._log_ms() + message.keep_ms,
                    version=number,
                    at_ms=self._log_ms(),
                ),
            )

    def _fits(self, message: m.SubmitForwardJob, most: int) -> bool:
        return (
            not most
            or self._holder.state.waiting_tokens.get(message.path, 0) + sum(message.tokens) <= most
        )

    def _known(self, message: Any, origin: Origin) -> bool:
        known = self._holder.state.jobs.get(message.job_id)
        if known is not None:
            same = known.digest == message.digest
            self._answers.when_settled(
                origin,
                lambda ok: job_response(
                    "unknown" if not ok else "known" if same else "conflict", message.job_id, known
                ),
            )
        return known is not None

    def _refuse(self, message: Any, origin: Origin) -> None:
        self._refused_ms[message.job_id] = message.holder_ms
        self._answers.when_confirmed(
            origin, lambda ok: job_response("no_room" if ok else "unknown", message.job_id, None)
        )

    def _admit(self, message: Any, origin: Origin, entry: Message) -> None:
        state = self._holder.state
        taken = self._answers.log(
            origin,
            [entry],
            lambda outcome: job_response(
                "admitted" if outcome == KEPT else outcome,
                message.job_id,
                state.jobs.get(message.job_id),
            ),
        )
        if taken and isinstance(entry, e.ForwardJobAdmitted):
            self._wake()
        elif not taken:
            self._refused_ms[message.job_id] = message.holder_ms
