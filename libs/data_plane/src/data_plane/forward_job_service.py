"""Jobs of forwarded requests: sends clients' submissions, reads and cancellations to the leader.

While the leader changes, requests are retried within the client's time: a submission as long as
there is time left for another one elsewhere, any other call until shortly before its client gives
up. When that has passed, or a draining edge has to answer, an unknown outcome is reported at once.
A response states that nothing was accepted only if nothing was sent, or if the leader
refused.
"""

import hashlib
from collections.abc import Callable, Iterable
from typing import Any

from batch_state.messages import (
    CancelJob,
    ForwardItem,
    GetItem,
    GetItemResponse,
    JobResponse,
    ListForwardResults,
    ListForwardResultsResponse,
    SubmitForwardJob,
)
from batch_state.outcomes import JobOutcome
from control_store import ProfileTree
from messaging import Component, Message, encode
from request_routing import JobRunner, LeaderClient, LeaderRequest

from data_plane.forward_job_responses import (
    ForwardResultsPage,
    forward_cancellation_response,
    forward_item_response,
    forward_results_response,
    forward_submission_response,
)
from data_plane.responses import ServiceResponse

__all__ = ["ForwardJobService"]

_PAGE_BYTES = 1 << 19
_DIGEST_BYTES = 16
# How much longer than it allows a client waits for a call about a job (docs/platform.md).
_CLIENT_GRACE_MS = 1500


def _digest(path: str, calls: Iterable[bytes], tokens: Iterable[int]) -> str:
    digest = hashlib.blake2b(path.encode(), digest_size=_DIGEST_BYTES)
    for call, count in zip(calls, tokens, strict=True):
        digest.update(b"%d %d " % (len(call), count))
        digest.update(call)
    return digest.hexdigest()


class ForwardJobService(Component):
    """Serves jobs of forwarded requests; callbacks are called on the node's thread.

    Parameters
    ----------
    leader_client
        Sends requests to the leader.
    jobs
        Runs items at this edge.
    profiles
        Returns the version and the tree of the profiles in force at this edge.
    """

    __slots__ = ("_answer_by_ms", "_jobs", "_leader_client", "_open", "_profiles")

    def __init__(
        self,
        leader_client: LeaderClient,
        jobs: JobRunner,
        profiles: Callable[[], tuple[int, ProfileTree]],
    ) -> None:
        self._leader_client = leader_client
        self._jobs = jobs
        self._profiles = profiles
        self._answer_by_ms: int | None = None
        self._open: set[LeaderRequest] = set()

    def limit_deadlines(self, due_ms: int) -> None:
        """Respond to all calls, later ones too, by `due_ms` of the node's clock."""
        self._answer_by_ms = due_ms
        for request in self._open:
            request.limit_deadline(due_ms)

    def _ask_leader(
        self, message: Message, wait_ms: int, on_response: Callable[[Any], None]
    ) -> LeaderRequest:
        """Send a request to the leader; `on_response` gets None if there is no response in time."""

        def on_leader_response(response: Any) -> None:
            self._open.discard(request)
            on_response(response)

        request = self._leader_client.request(message, wait_ms, on_leader_response)
        self._open.add(request)
        if self._answer_by_ms is not None:
            request.limit_deadline(self._answer_by_ms)
        return request

    def _grace_ms(self) -> int:
        """Return for how long a call is retried beyond the time that its client allows.

        The answer leaves a heartbeat interval before the client gives up, the longest that this
        node's periodic work delays it.
        """
        return _CLIENT_GRACE_MS - self.node.settings.heartbeat_ms

    def _submission_ms(self, client_ms: int) -> int:
        """Return for how long a submission is sent to the leader.

        After that an answer may still take as long as its stamp is valid. What is then left of the
        client's time is enough for another request to the leader, from another edge.
        """
        settings = self.node.settings
        return max(0, client_ms - settings.max_submission_age_ms - settings.request_timeout_ms)

    def submit(
        self,
        job_id: str,
        path: str,
        items: list[ForwardItem],
        tokens: list[int],
        client_ms: int,
        on_response: Callable[[ServiceResponse[JobResponse]], None],
    ) -> None:
        """Submit a job to the leader.

        Parameters
        ----------
        job_id
            The job's id.
        path
            The name of a profile that isn't abstract.
        items
            The job's items.
        tokens
            The expected tokens of each item.
        client_ms
            How long the client waits, in milliseconds. The response comes early enough for a retry
            at another edge.
        on_response
            Receives the response.
        """

        def on_leader_response(message: JobResponse | None) -> None:
            response = forward_submission_response(
                job_id, message, request.attempts > 0, self.node.settings.leader_failure_ms
            )
            self.node.env.log(
                "job-submitted",
                "INFO" if response.refusal is None else "WARNING",
                job=job_id,
                path=path,
                items=len(items),
                code=response.code,
            )
            on_response(response)

        request = self._ask_leader(
            self._submission(job_id, path, items, tokens),
            self._submission_ms(client_ms),
            on_leader_response,
        )

    def _submission(
        self, job_id: str, path: str, items: list[ForwardItem], tokens: list[int]
    ) -> SubmitForwardJob:
        number, profile_tree = self._profiles()
        profile = profile_tree.usable(path)
        assert profile is not None, f"no usable profile is called {path!r}"
        calls = [encode(item) for item in items]
        return SubmitForwardJob(
            job_id=job_id,
            digest=_digest(path, calls, tokens),
            path=path,
            item_ids=[item.item_id for item in items],
            tokens=tokens,
            calls=calls,
            attempts=profile.attempts or 1,
            due_ms=profile.due_ms or 0,
            keep_ms=profile.keep_ms or self.node.settings.keep_ms,
            version=number,
            epoch=0,
            leader_ms=0,
        )

    def results(
        self,
        job_id: str,
        from_position: int,
        wait_ms: int,
        on_response: Callable[[ServiceResponse[ForwardResultsPage]], None],
    ) -> None:
        """Request a page of results, waiting up to `wait_ms` milliseconds for the first.

        The leader holds each request for at most `request_timeout_ms`, so that a change of the
        leader is noticed soon.
        """
        end_ms = self.node.env.now() + wait_ms

        def remaining_ms() -> int:
            return max(0, end_ms - self.node.env.now())

        def request_page() -> None:
            self._ask_leader(
                ListForwardResults(
                    job_id=job_id,
                    from_position=from_position,
                    limit_bytes=_PAGE_BYTES,
                    wait_ms=min(remaining_ms(), self.node.settings.request_timeout_ms),
                ),
                remaining_ms() + self._grace_ms(),
                on_page,
            )

        def on_page(message: ListForwardResultsResponse | None) -> None:
            if _more_may_come(message) and self.node.env.now() < end_ms:
                request_page()
            else:
                on_response(forward_results_response(job_id, from_position, message))

        request_page()

    def item(
        self,
        job_id: str,
        item_id: str,
        on_response: Callable[[ServiceResponse[ForwardItem]], None],
    ) -> None:
        """Look up the request that one item sends to a worker."""

        def on_item(message: GetItemResponse | None) -> None:
            on_response(forward_item_response(job_id, message))

        self._ask_leader(GetItem(job_id=job_id, item_id=item_id), self._grace_ms(), on_item)

    def cancel(
        self, job_id: str, on_response: Callable[[ServiceResponse[JobResponse]], None]
    ) -> None:
        """Cancel a job; once the leader has confirmed it, stop its items at this edge."""

        def on_leader_response(message: JobResponse | None) -> None:
            outcome = message.outcome if message is not None else JobOutcome.UNKNOWN
            if outcome == JobOutcome.KNOWN:
                self._jobs.stop(job_id, "job cancelled")
            self.node.env.log("job-cancelled", job=job_id, outcome=outcome)
            on_response(forward_cancellation_response(job_id, message))

        self._ask_leader(CancelJob(job_id=job_id), self._grace_ms(), on_leader_response)


def _more_may_come(message: ListForwardResultsResponse | None) -> bool:
    """Whether a page is empty although further results may still follow."""
    return (
        message is not None
        and message.outcome == JobOutcome.KNOWN
        and not message.rows
        and not message.complete
    )
