"""Serves completions and batch jobs of vaneledge's own HTTP API, after a request was validated.

It opens no socket; the HTTP modules and the simulator's clients call the same service.
"""

import hashlib
import json
from collections.abc import Callable
from typing import Any

from batch_state.messages import CancelJob, GetJob, JobResponse, ListResults, SubmitJob
from batch_state.outcomes import JobOutcome
from control_store import ProfileTree
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

from data_plane.job_responses import job_response, results_response, submission_response
from data_plane.responses import ServiceResponse, completion_response, not_ready

__all__ = ["EdgeService", "OnResponse"]

OnResponse = Callable[[ServiceResponse[None]], None]

_MAX_PAGE_RESULTS = 1000
_DIGEST_BYTES = 16


def _digest(value: Any) -> str:
    data = json.dumps(value, sort_keys=True).encode()
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()


class EdgeService(Component):
    """Serves completions and batch jobs; callbacks are called on the node's thread.

    Parameters
    ----------
    router
        Sends completions to workers.
    leader_client
        Sends requests about jobs to the leader.
    jobs
        Runs items at this edge.
    profile_tree
        Returns the profiles in force.
    why_unready
        Returns why the edge is not ready, or an empty string if it is.
    """

    __slots__ = (
        "_jobs",
        "_leader_client",
        "_profile_tree",
        "_retry_budgets",
        "_router",
        "_why_unready",
    )

    def __init__(
        self,
        router: RequestRouter,
        leader_client: LeaderClient,
        jobs: JobRunner,
        profile_tree: Callable[[], ProfileTree],
        why_unready: Callable[[], str],
    ) -> None:
        self._router = router
        self._leader_client = leader_client
        self._jobs = jobs
        self._profile_tree = profile_tree
        self._why_unready = why_unready
        self._retry_budgets: dict[str, RetryBudget] = {}

    def unready_response(self, has_id: bool) -> ServiceResponse[None] | None:
        """Return a refusal if the edge is not ready, else None; `has_id` as for `not_ready`."""
        reason = self._why_unready()
        return ServiceResponse.refuse(not_ready(reason, has_id)) if reason else None

    def _unknown_path_response(self, path: str, field: str) -> ServiceResponse[None] | None:
        """Return a refusal if no usable profile is called `path`, else None.

        `field` is the request's field that the refusal names.
        """
        if self._profile_tree().usable(path) is not None:
            return None
        return ServiceResponse.refuse(
            refused("unknown-path", f"{field}: no profile is called {path!r}", 404, field=field)
        )

    def complete(
        self,
        path: str,
        key: str,
        body: dict[str, Any],
        stream: bool,
        on_event: Callable[[bytes], None],
        on_end: Callable[[Step, ServiceResponse[None]], None],
    ) -> InFlightRequest | ServiceResponse[None]:
        """Start a completion; return the request in flight, or a refusal if it can't be started.

        Parameters
        ----------
        path
            The name of its profile.
        key
            The idempotency key, or an empty string.
        body
            The request for the worker.
        stream
            Whether the response is streamed.
        on_event
            Receives the events of a stream.
        on_end
            Receives the last step and the response, unless the client disconnected.
        """
        refusal = self.unready_response(bool(key)) or self._unknown_path_response(path, "model")
        if refusal is not None:
            return refusal
        env = self.node.env
        lifecycle = RequestLifecycle(
            env.token() + env.token(),
            self._profile_tree().usable(path),
            key,
            env.now(),
            self._retry_budgets.setdefault(path, RetryBudget()),
        )
        call = Call(body, _digest([path, stream, body]), prefix_of(body), False, stream)

        def on_last_step(step: Step) -> None:
            if step.kind != "gone":
                on_end(step, completion_response(step))

        return self._router.start(lifecycle, call, on_event if stream else None, on_last_step)

    def submit(
        self,
        job_id: str,
        path: str,
        items: list[dict[str, Any]],
        due_ms: int,
        on_response: OnResponse,
    ) -> None:
        """Submit a job to the leader; `due_ms` is its deadline in milliseconds from now."""
        refusal = self.unready_response(True) or self._unknown_path_response(path, "path")
        if refusal is not None:
            on_response(refusal)
            return
        bodies = [json.dumps(item, sort_keys=True) for item in items]

        def on_leader_response(message: JobResponse | None) -> None:
            response = submission_response(job_id, message)
            self.node.env.log(
                "job-submitted",
                job=job_id,
                path=path,
                items=len(items),
                outcome=message.outcome if message is not None else JobOutcome.UNKNOWN,
            )
            on_response(response)

        profile = self._profile_tree().usable(path)
        assert profile is not None, f"no usable profile is called {path!r}"
        self._leader_client.request(
            SubmitJob(
                job_id=job_id,
                digest=_digest([path, due_ms, bodies]),
                path=path,
                items=bodies,
                safe=profile.repeatable,
                due_ms=due_ms,
                epoch=0,
                leader_ms=0,
            ),
            self.node.settings.force_ms,
            on_leader_response,
        )

    def progress(self, job_id: str, on_response: OnResponse) -> None:
        """Look up a job's progress."""
        self._leader_client.request(
            GetJob(job_id=job_id),
            self.node.settings.force_ms,
            lambda message: on_response(job_response(job_id, message)),
        )

    def results(self, job_id: str, from_index: int, limit: int, on_response: OnResponse) -> None:
        """Request a page of at most `limit` results that starts at index `from_index`."""
        limit = max(1, min(_MAX_PAGE_RESULTS, limit))
        self._leader_client.request(
            ListResults(job_id=job_id, from_index=from_index, limit=limit),
            self.node.settings.force_ms,
            lambda message: on_response(results_response(job_id, from_index, message)),
        )

    def cancel(self, job_id: str, on_response: OnResponse) -> None:
        """Cancel a job; once the leader has confirmed it, stop its items at this edge."""

        def on_leader_response(message: JobResponse | None) -> None:
            outcome = message.outcome if message is not None else JobOutcome.UNKNOWN
            if outcome == JobOutcome.KNOWN:
                self._jobs.stop(job_id, "job cancelled")
            self.node.env.log("job-cancelled", job=job_id, outcome=outcome)
            on_response(job_response(job_id, message))

        self._leader_client.request(
            CancelJob(job_id=job_id), self.node.settings.force_ms, on_leader_response
        )
