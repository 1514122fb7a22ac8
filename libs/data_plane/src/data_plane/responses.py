"""What a client is answered.

This is the one place where receipts and last steps become a status, a body, a verdict and a retry
time. The HTTP side writes the answer out; the simulator's clients read it as it is.
"""

import json
from typing import Any

from messaging import decode
from request_routing import Step
from runtime import Refusal, doubtful, refused

__all__ = [
    "ServiceResponse",
    "forward_cancellation_response",
    "submission_response",
    "forward_item_response",
    "completion_response",
    "job_response",
    "not_ready",
    "forward_results_response",
    "results_response",
    "forward_submission_response",
]


class ServiceResponse:
    """A status with its body, or a refusal.

    `value` is the content of a positive answer that is not written out yet; `replayed` says that
    the answer was recorded under the idempotency key before.
    """

    __slots__ = ("body", "refusal", "replayed", "status", "value")

    def __init__(
        self,
        status: int,
        body: str,
        refusal: Refusal | None = None,
        replayed: bool = False,
        value: Any = None,
    ) -> None:
        self.status, self.body, self.refusal, self.replayed = status, body, refusal, replayed
        self.value = value

    @classmethod
    def no(cls, refusal: Refusal) -> "ServiceResponse":
        """Return the answer of a refusal."""
        return cls(refusal.status, json.dumps(refusal.body()), refusal)

    @classmethod
    def ok(cls, value: Any, status: int = 200) -> "ServiceResponse":
        """Return a positive answer with a JSON body."""
        return cls(status, json.dumps(value))

    @property
    def verdict(self) -> str:
        """The refusal's verdict, or "ran"."""
        return str(self.refusal.verdict) if self.refusal is not None else "ran"

    @property
    def code(self) -> str:
        """The refusal's code, or an empty string."""
        return self.refusal.code if self.refusal is not None else ""


def not_ready(reason: str, named: bool) -> Refusal:
    """Return the refusal of an edge that is not ready; nothing was sent on.

    `named` says that the request has a key or an id, under which it may have come through another
    edge before; the verdict is then doubtful.
    """
    make = doubtful if named else refused
    return make("not-ready", reason, retry_after_ms=1000, status=503)


def completion_response(step: Step) -> ServiceResponse:
    """Return the answer of a live completion, from its transaction's last step."""
    if step.name in ("finish", "replay"):
        return ServiceResponse(step.value[0], step.value[1], replayed=step.name == "replay")
    return ServiceResponse.no(step.refusal)


def submission_response(job_id: str, receipt: Any) -> ServiceResponse:
    """Return the answer to a batch handed in; without a receipt it may have been accepted."""
    outcome = receipt.outcome if receipt is not None else "unknown"
    if outcome in ("admitted", "known"):
        return ServiceResponse.ok(_shown(receipt), 201 if outcome == "admitted" else 200)
    refusals = {
        "conflict": lambda: refused(
            "lot-reused",
            "lot_id: this id came before with other content; this content has not run",
            409,
            field="lot_id",
        ),
        "no_room": lambda: refused(
            "waiting-room-full", "the waiting room of this path is full", 429, 2000
        ),
        "no_path": lambda: refused(
            "unknown-path", "path: no such profile is in force at the stores", 404, field="path"
        ),
        "full": lambda: refused("stores-full", "the stores have no room", 503, 5000),
    }
    if outcome in refusals:
        return ServiceResponse.no(refusals[outcome]())
    return ServiceResponse.no(
        doubtful(
            "lot-in-doubt",
            f"lot {job_id} may have been accepted; hand the same in again to learn which",
            1000,
        )
    )


def job_response(job_id: str, receipt: Any) -> ServiceResponse:
    """Return a batch's progress, or why there is none."""
    if receipt is None or receipt.outcome == "unknown":
        return ServiceResponse.no(doubtful("stores-silent", "the stores did not answer", 1000))
    if receipt.outcome == "missing":
        return ServiceResponse.no(
            refused("unknown-lot", f"lot_id: no lot {job_id} was accepted", 404, field="lot_id")
        )
    if receipt.outcome == "full":
        return ServiceResponse.no(refused("stores-full", "the stores have no room", 503, 5000))
    return ServiceResponse.ok(_shown(receipt))


def results_response(job_id: str, from_index: int, receipt: Any) -> ServiceResponse:
    """Return a page of a batch's results, from index `from_index` on."""
    if receipt is not None and receipt.outcome == "beyond":
        return ServiceResponse.no(
            refused("beyond", f"from: the lot has {receipt.total} items", 416, field="from")
        )
    if receipt is None or receipt.outcome != "known":
        return job_response(job_id, receipt)
    rows = [_result(decode(data)) for data in receipt.rows]
    return ServiceResponse.ok(
        {
            "lot_id": job_id,
            "from": from_index,
            "results": rows,
            "listed": receipt.listed,
            "total": receipt.total,
            "ended": receipt.cancelled,
            "next": from_index + len(rows),
        }
    )


# -- lots of forwarded calls -----------------------------------------------------------------------


def forward_submission_response(job_id: str, receipt: Any, sent: bool) -> ServiceResponse:
    """Return the answer to a forwarded batch handed in; `sent` says that the leader was asked.

    A refusal that promises that nothing was taken is the leader's own word, or there was nobody to
    ask.
    """
    outcome = receipt.outcome if receipt is not None else "unknown"
    if outcome in ("admitted", "known"):
        return ServiceResponse(202, "", value=receipt)
    if receipt is None and not sent:
        return ServiceResponse.no(
            refused(
                "holder-unknown", "nobody holds the log at this moment; nothing was taken", 503, 500
            )
        )
    refusals = {
        "conflict": lambda: refused(
            "lot-reused", "this id came before with other content; this content has not run", 409
        ),
        "no_room": lambda: refused(
            "waiting-room-full", "the waiting room of this route is full", 429, 1000
        ),
        "no_path": lambda: refused("unknown-route", "no such route is in force", 404),
        "full": lambda: refused("stores-full", "the stores have no room", 503, 2000),
    }
    if outcome in refusals:
        return ServiceResponse.no(refusals[outcome]())
    return ServiceResponse.no(
        doubtful(
            "lot-in-doubt", f"lot {job_id} may have been accepted; hand the same in again", 200, 504
        )
    )


def _no_word(job_id: str, receipt: Any) -> ServiceResponse | None:
    if receipt is None or receipt.outcome in ("unknown", "full"):
        return ServiceResponse.no(doubtful("stores-silent", "the stores did not answer", 200, 503))
    if receipt.outcome == "missing":
        return ServiceResponse.no(
            refused("unknown-lot", f"no lot {job_id}, or nothing more of it is kept", 404)
        )
    return None


def forward_results_response(job_id: str, from_position: int, receipt: Any) -> ServiceResponse:
    """Return a page of a forwarded batch's results.

    The value is the results, each with its item's id, outcome and text; the next position; and the
    batch's size.
    """
    if (answer := _no_word(job_id, receipt)) is not None:
        return answer
    rows = [decode(data) for data in receipt.rows]
    return ServiceResponse(200, "", value=(rows, from_position + len(rows), receipt.total))


def forward_item_response(job_id: str, receipt: Any) -> ServiceResponse:
    """Return one item; the value is the request that it makes of a worker."""
    if (answer := _no_word(job_id, receipt)) is not None:
        return answer
    return ServiceResponse(200, "", value=decode(receipt.call))


def forward_cancellation_response(job_id: str, receipt: Any) -> ServiceResponse:
    """Return the answer to a forwarded batch's end; the value is the receipt."""
    return _no_word(job_id, receipt) or ServiceResponse(200, "", value=receipt)


def _shown(receipt: Any) -> dict[str, Any]:
    state = "ended" if receipt.cancelled else "done" if receipt.listed >= receipt.total else "open"
    return {
        "lot_id": receipt.job_id,
        "path": receipt.path,
        "state": state,
        "total": receipt.total,
        "finished": receipt.finished,
        "listed": receipt.listed,
        "running": receipt.running,
        "due_ms": receipt.due_ms,
    }


def _result(row: Any) -> dict[str, Any]:
    shown: dict[str, Any] = {
        "index": row.index,
        "verdict": row.outcome if row.outcome != "refused" else "not_run",
    }
    try:
        shown["body"] = json.loads(row.body)
    except ValueError:
        shown["body"] = row.body
    return shown
