"""Responses about jobs of forwarded requests, made from the leader's messages.

Their values are typed; the platform's adapter serializes them. A refusal states that nothing was
accepted only if the leader refused, or if nothing was sent to it. Codes and texts of refusals are
part of the interface.
"""

from collections.abc import Callable

from batch_state.messages import (
    ForwardItem,
    ForwardResult,
    GetItemResponse,
    JobResponse,
    ListForwardResultsResponse,
)
from batch_state.outcomes import JobOutcome
from messaging import decode_as
from runtime import Refusal, doubtful, refused

from data_plane.responses import ServiceResponse

__all__ = [
    "ForwardResultsPage",
    "forward_cancellation_response",
    "forward_item_response",
    "forward_results_response",
    "forward_submission_response",
]

_BACKLOG_FULL_RETRY_MS = 1000
_STORES_FULL_RETRY_MS = 2000
_OUTCOME_UNKNOWN_RETRY_MS = 200

_SUBMISSION_REFUSALS: dict[str, Callable[[], Refusal]] = {
    JobOutcome.CONFLICT: lambda: refused(
        "lot-reused", "this id came before with other content; this content has not run", 409
    ),
    JobOutcome.BACKLOG_FULL: lambda: refused(
        "waiting-room-full", "the waiting room of this route is full", 429, _BACKLOG_FULL_RETRY_MS
    ),
    JobOutcome.UNKNOWN_PATH: lambda: refused("unknown-route", "no such route is in force", 404),
    JobOutcome.FULL: lambda: refused(
        "stores-full", "the stores have no room", 503, _STORES_FULL_RETRY_MS
    ),
}


class ForwardResultsPage:
    """A page of results; `next_position` starts the next page, `total` counts the job's items."""

    __slots__ = ("next_position", "results", "total")

    def __init__(self, results: list[ForwardResult], next_position: int, total: int) -> None:
        self.results = results
        self.next_position = next_position
        self.total = total


def forward_submission_response(
    job_id: str, message: JobResponse | None, sent: bool, leader_change_ms: int
) -> ServiceResponse[JobResponse]:
    """Return the response to a submission.

    Parameters
    ----------
    job_id
        The job's id.
    message
        The leader's response, or None if there was none.
    sent
        False if nothing was sent to any store.
    leader_change_ms
        The time in milliseconds in which the stores find that they have no leader and replace it.
    """
    if message is None and not sent:
        return ServiceResponse.refuse(
            refused(
                "holder-unknown",
                "nobody holds the log at this moment; nothing was taken",
                503,
                leader_change_ms,
            )
        )
    outcome = message.outcome if message is not None else JobOutcome.UNKNOWN
    if message is not None and outcome in (JobOutcome.ADMITTED, JobOutcome.KNOWN):
        return ServiceResponse.of_value(message, 202)
    if outcome in _SUBMISSION_REFUSALS:
        return ServiceResponse.refuse(_SUBMISSION_REFUSALS[outcome]())
    return ServiceResponse.refuse(
        doubtful(
            "lot-in-doubt",
            f"lot {job_id} may have been accepted; hand the same in again",
            _OUTCOME_UNKNOWN_RETRY_MS,
            504,
        )
    )


def _leader_silent() -> Refusal:
    return doubtful("stores-silent", "the stores did not answer", _OUTCOME_UNKNOWN_RETRY_MS, 503)


def _lookup_refusal(job_id: str, outcome: str) -> Refusal | None:
    """Return the refusal of a lookup that failed, or None if the leader's response is usable."""
    if outcome in (JobOutcome.UNKNOWN, JobOutcome.FULL):
        return _leader_silent()
    if outcome == JobOutcome.MISSING:
        return refused("unknown-lot", f"no lot {job_id}, or nothing more of it is kept", 404)
    return None


def forward_results_response(
    job_id: str, from_position: int, message: ListForwardResultsResponse | None
) -> ServiceResponse[ForwardResultsPage]:
    """Return the page of a job's results that starts at `from_position`, or a refusal."""
    if message is None:
        return ServiceResponse.refuse(_leader_silent())
    if (refusal := _lookup_refusal(job_id, message.outcome)) is not None:
        return ServiceResponse.refuse(refusal)
    results = [decode_as(ForwardResult, data) for data in message.rows]
    return ServiceResponse.of_value(
        ForwardResultsPage(results, from_position + len(results), message.total)
    )


def forward_item_response(
    job_id: str, message: GetItemResponse | None
) -> ServiceResponse[ForwardItem]:
    """Return the request that an item sends to a worker, or a refusal."""
    if message is None:
        return ServiceResponse.refuse(_leader_silent())
    if (refusal := _lookup_refusal(job_id, message.outcome)) is not None:
        return ServiceResponse.refuse(refusal)
    return ServiceResponse.of_value(decode_as(ForwardItem, message.call))


def forward_cancellation_response(
    job_id: str, message: JobResponse | None
) -> ServiceResponse[JobResponse]:
    """Return the response to a cancellation: the job's final state, or a refusal."""
    if message is None:
        return ServiceResponse.refuse(_leader_silent())
    if (refusal := _lookup_refusal(job_id, message.outcome)) is not None:
        return ServiceResponse.refuse(refusal)
    return ServiceResponse.of_value(message)
