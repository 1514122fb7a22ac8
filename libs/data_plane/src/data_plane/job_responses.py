"""Responses of vaneledge's own HTTP API about batch jobs, made from the leader's messages.

If the leader did not respond, or doesn't know the outcome itself, a request may have had an effect,
and the response has the verdict `may_have_run`. Codes and texts of refusals are part of the
interface.
"""

import json
from collections.abc import Callable
from typing import Any

from batch_state.messages import JobResponse, ListResultsResponse, ResultRow
from batch_state.outcomes import JobOutcome
from messaging import decode_as
from runtime import Refusal, doubtful, refused

from data_plane.responses import ServiceResponse

__all__ = ["job_response", "results_response", "submission_response"]

_BACKLOG_FULL_RETRY_MS = 2000
_STORES_FULL_RETRY_MS = 5000
_OUTCOME_UNKNOWN_RETRY_MS = 1000


def _stores_full() -> Refusal:
    return refused("stores-full", "the stores have no room", 503, _STORES_FULL_RETRY_MS)


def _leader_silent() -> Refusal:
    return doubtful("stores-silent", "the stores did not answer", _OUTCOME_UNKNOWN_RETRY_MS)


_SUBMISSION_REFUSALS: dict[str, Callable[[], Refusal]] = {
    JobOutcome.CONFLICT: lambda: refused(
        "lot-reused",
        "lot_id: this id came before with other content; this content has not run",
        409,
        field="lot_id",
    ),
    JobOutcome.BACKLOG_FULL: lambda: refused(
        "waiting-room-full", "the waiting room of this path is full", 429, _BACKLOG_FULL_RETRY_MS
    ),
    JobOutcome.UNKNOWN_PATH: lambda: refused(
        "unknown-path", "path: no such profile is in force at the stores", 404, field="path"
    ),
    JobOutcome.FULL: _stores_full,
}


def submission_response(job_id: str, message: JobResponse | None) -> ServiceResponse[None]:
    """Return the response to a submission; without a response of the leader it is doubtful."""
    outcome = message.outcome if message is not None else JobOutcome.UNKNOWN
    if message is not None and outcome in (JobOutcome.ADMITTED, JobOutcome.KNOWN):
        status = 201 if outcome == JobOutcome.ADMITTED else 200
        return ServiceResponse.of_json(_progress_row(message), status)
    if outcome in _SUBMISSION_REFUSALS:
        return ServiceResponse.refuse(_SUBMISSION_REFUSALS[outcome]())
    return ServiceResponse.refuse(
        doubtful(
            "lot-in-doubt",
            f"lot {job_id} may have been accepted; hand the same in again to learn which",
            _OUTCOME_UNKNOWN_RETRY_MS,
        )
    )


def _lookup_refusal(job_id: str, outcome: str) -> Refusal | None:
    """Return the refusal of a lookup that failed, or None if the leader's response is usable."""
    if outcome == JobOutcome.UNKNOWN:
        return _leader_silent()
    if outcome == JobOutcome.MISSING:
        return refused("unknown-lot", f"lot_id: no lot {job_id} was accepted", 404, field="lot_id")
    if outcome == JobOutcome.FULL:
        return _stores_full()
    return None


def job_response(job_id: str, message: JobResponse | None) -> ServiceResponse[None]:
    """Return a job's progress, or a refusal."""
    if message is None:
        return ServiceResponse.refuse(_leader_silent())
    if (refusal := _lookup_refusal(job_id, message.outcome)) is not None:
        return ServiceResponse.refuse(refusal)
    return ServiceResponse.of_json(_progress_row(message))


def results_response(
    job_id: str, from_index: int, message: ListResultsResponse | None
) -> ServiceResponse[None]:
    """Return the page of a job's results that starts at index `from_index`, or a refusal."""
    if message is None:
        return ServiceResponse.refuse(_leader_silent())
    if message.outcome == JobOutcome.BEYOND_END:
        return ServiceResponse.refuse(
            refused("beyond", f"from: the lot has {message.total} items", 416, field="from")
        )
    if (refusal := _lookup_refusal(job_id, message.outcome)) is not None:
        return ServiceResponse.refuse(refusal)
    rows = [_result_row(decode_as(ResultRow, data)) for data in message.rows]
    return ServiceResponse.of_json(
        {
            "lot_id": job_id,
            "from": from_index,
            "results": rows,
            "listed": message.listed,
            "total": message.total,
            "ended": message.cancelled,
            "next": from_index + len(rows),
        }
    )


def _progress_row(message: JobResponse) -> dict[str, Any]:
    """Return a job's progress as JSON."""
    all_listed = message.listed >= message.total
    return {
        "lot_id": message.job_id,
        "path": message.path,
        "state": "ended" if message.cancelled else "done" if all_listed else "open",
        "total": message.total,
        "finished": message.finished,
        "listed": message.listed,
        "running": message.running,
        "due_ms": message.due_ms,
    }


def _result_row(row: ResultRow) -> dict[str, Any]:
    """Return a result as JSON; a body that is not JSON itself becomes a string."""
    shown: dict[str, Any] = {
        "index": row.index,
        "verdict": row.outcome if row.outcome != "refused" else "not_run",
    }
    try:
        shown["body"] = json.loads(row.body)
    except ValueError:
        shown["body"] = row.body
    return shown
