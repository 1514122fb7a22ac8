"""What an edge does for its clients, once a request has been read and checked.

It has no socket; the HTTP side and the simulator's clients use the same object.
"""

import hashlib
import json
from collections.abc import Callable
from typing import Any

from batch_state import messages as m
from messaging import Component
from request_routing import (
    Call,
    InFlightRequest,
    JobRunner,
    LeaderClient,
    RequestLifecycle,
    RequestRouter,
    RetryBudget,
    Step,
    prefix_of,
)
from runtime import refused

from data_plane.responses import (
    ServiceResponse,
    completion_response,
    job_response,
    not_ready,
    results_response,
    submission_response,
)

__all__ = ["EdgeService"]

_PAGE = 1000
Told = Callable[[ServiceResponse], None]


def _digest(value: Any) -> str:
    return hashlib.blake2b(json.dumps(value, sort_keys=True).encode(), digest_size=16).hexdigest()


class EdgeService(Component):
    """Serves completions and batches of our own interface.

    `tree` gives the profiles in force; `why_unready` why the edge is not ready, or an empty string.
    """

    __slots__ = ("_budgets", "_carrier", "_holder", "_jobs", "_tree", "_why_unready")

    def __init__(
        self,
        carrier: RequestRouter,
        holder: LeaderClient,
        jobs: JobRunner,
        tree: Callable[[], Any],
        why_unready: Callable[[], str],
    ) -> None:
        self._carrier, self._holder, self._jobs = carrier, holder, jobs
        self._tree, self._why_unready = tree, why_unready
        self._budgets: dict[str, RetryBudget] = {}

    def unready(self, named: bool) -> ServiceResponse | None:
        """Return the refusal of an edge that is not ready; `named` as for `not_ready`."""
        reason = self._why_unready()
        return ServiceResponse.no(not_ready(reason, named)) if reason else None

    def _unknown(self, path: str, field: str) -> ServiceResponse | None:
        if self._tree().usable(path) is not None:
            return None
        return ServiceResponse.no(
            refused("unknown-path", f"{field}: no profile is called {path!r}", 404, field=field)
        )

    def complete(
        self,
        path: str,
        key: str,
        body: dict[str, Any],
        stream: bool,
        sink: Callable[[bytes], None],
        told: Callable[[Step, ServiceResponse], None],
    ) -> InFlightRequest | ServiceResponse:
        """Begin a completion; return its transaction in flight, or an answer given at once.

        `sink` gets a stream's events; `told` the last step and the answer, unless the client hung
        up.
        """
        if (answer := self.unready(bool(key)) or self._unknown(path, "model")) is not None:
            return answer
        env = self.node.env
        tx = RequestLifecycle(
            env.token() + env.token(),
            self._tree().usable(path),
            key,
            env.now(),
            self._budgets.setdefault(path, RetryBudget()),
        )
        call = Call(body, _digest([path, stream, body]), prefix_of(body), False, stream)

        def done(step: Step) -> None:
            if step.name != "gone":
                told(step, completion_response(step))

        return self._carrier.carry(tx, call, sink if stream else None, done)

    def submit(
        self, job_id: str, path: str, items: list[dict[str, Any]], due_ms: int, told: Told
    ) -> None:
        """Hand a batch in at the leader; `due_ms` is the time it is given, in milliseconds."""
        if (answer := self.unready(True) or self._unknown(path, "path")) is not None:
            told(answer)
            return
        bodies = [json.dumps(item, sort_keys=True) for item in items]

        def done(receipt: Any) -> None:
            answer = submission_response(job_id, receipt)
            self.node.env.log(
                "lot-handed-in",
                job=job_id,
                path=path,
                items=len(items),
                outcome=receipt.outcome if receipt is not None else "unknown",
            )
            told(answer)

        self._holder.ask(
            m.SubmitJob(
                job_id=job_id,
                digest=_digest([path, due_ms, bodies]),
                path=path,
                items=bodies,
                safe=self._tree().usable(path).repeatable,
                due_ms=due_ms,
                epoch=0,
                leader_ms=0,
            ),
            self.node.settings.force_ms,
            done,
        )

    def progress(self, job_id: str, told: Told) -> None:
        """Answer a batch's progress."""
        self._holder.ask(
            m.GetJob(job_id=job_id),
            self.node.settings.force_ms,
            lambda receipt: told(job_response(job_id, receipt)),
        )

    def results(self, job_id: str, from_index: int, limit: int, told: Told) -> None:
        """Answer a page of at most `limit` results, from index `from_index` on."""
        self._holder.ask(
            m.ListResults(job_id=job_id, from_index=from_index, limit=max(1, min(_PAGE, limit))),
            self.node.settings.force_ms,
            lambda receipt: told(results_response(job_id, from_index, receipt)),
        )

    def cancel(self, job_id: str, told: Told) -> None:
        """End a batch, and stop its items that run at this edge."""

        def done(receipt: Any) -> None:
            if receipt is not None and receipt.outcome == "known":
                self._jobs.stop(job_id, "ended here")
            self.node.env.log(
                "lot-ended",
                job=job_id,
                outcome=receipt.outcome if receipt is not None else "unknown",
            )
            told(job_response(job_id, receipt))

        self._holder.ask(m.CancelJob(job_id=job_id), self.node.settings.force_ms, done)
