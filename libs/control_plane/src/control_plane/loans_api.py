"""HTTP interface of a control node for the loans of whole workers: `/loans`.

Operators and borrowers list, grant and recall loans. A lent worker itself reports when it is free
again, with the number of its loan and the weights that it has loaded.
"""

from typing import Annotated

from aiohttp import web
from capacity_sharing import LoanOutcome, LoanStatus
from data_plane.http_service import HttpService, json_response, read_json_body, refusal_response
from messaging.node_runner import awaited
from pydantic import BaseModel, ConfigDict, Field
from runtime import MAX_WHOLE_NUMBER, Refusal, doubtful, refused

from control_plane.nodes import ControlNode

__all__ = ["LoansApi"]

Text = Annotated[str, Field(min_length=1, max_length=128)]
Weights = Annotated[str, Field(max_length=128, pattern=r"^[\x21-\x7e]*$")]
_MAX_DURATION_MS = 24 * 3600 * 1000
_RETRY_AFTER_MS = 1000


class _GrantBody(BaseModel):
    """The body of a grant; the borrower has `recall_ms` to return the worker after a recall."""

    model_config = ConfigDict(extra="forbid", strict=True)
    borrower: Text
    weights: Weights = ""
    lease_ms: int = Field(60_000, ge=1000, le=_MAX_DURATION_MS)
    recall_ms: int = Field(5000, ge=100, le=_MAX_DURATION_MS)


class _RecallBody(BaseModel):
    """The body of a recall."""

    model_config = ConfigDict(extra="forbid", strict=True)
    reason: str = Field("an operator wants it back", min_length=1, max_length=256)


class _ReturnBody(BaseModel):
    """The body of a worker's report that it is free again."""

    model_config = ConfigDict(extra="forbid", strict=True)
    loan: int = Field(ge=1, le=MAX_WHOLE_NUMBER)
    weights: Weights = ""


class LoansApi:
    """The handlers of `/loans`; the constructor registers them at `service`."""

    __slots__ = ("_node",)

    def __init__(self, node: ControlNode, service: HttpService) -> None:
        self._node = node
        router = service.app.router
        router.add_get("/loans", self._show)
        router.add_put("/loans/{worker}", self._grant)
        router.add_post("/loans/{worker}/recalled", self._recall)
        router.add_post("/loans/{worker}/returned", self._return)

    async def _show(self, request: web.Request) -> web.Response:
        return json_response(
            {"version": self._node.loans.version, "loans": self._node.loans.rows()}
        )

    async def _grant(self, request: web.Request) -> web.Response:
        body = await read_json_body(request, self._node.settings.max_body_bytes, _GrantBody)
        if isinstance(body, Refusal):
            return refusal_response(body)
        worker = request.match_info["worker"]
        return _response(
            worker,
            await awaited(
                lambda done: self._node.loans.grant(
                    worker, body.borrower, body.weights, body.lease_ms, body.recall_ms, done
                )
            ),
        )

    async def _recall(self, request: web.Request) -> web.Response:
        body = await read_json_body(request, self._node.settings.max_body_bytes, _RecallBody)
        if isinstance(body, Refusal):
            return refusal_response(body)
        worker = request.match_info["worker"]
        return _response(
            worker, await awaited(lambda done: self._node.loans.recall(worker, body.reason, done))
        )

    async def _return(self, request: web.Request) -> web.Response:
        body = await read_json_body(request, self._node.settings.max_body_bytes, _ReturnBody)
        if isinstance(body, Refusal):
            return refusal_response(body)
        worker = request.match_info["worker"]
        return _response(
            worker,
            await awaited(
                lambda done: self._node.loans.return_worker(worker, body.loan, body.weights, done)
            ),
        )


def _response(worker: str, outcome: LoanOutcome) -> web.Response:
    """Return the response to an operation on a loan."""
    if outcome.status is LoanStatus.REFUSED:
        return refusal_response(
            refused(
                "loan-refused",
                f"{worker}: {outcome.reason}; nothing was changed",
                409,
                field="worker",
            )
        )
    if outcome.loan is None:
        reason = f"{outcome.reason}; look at the loans, and say it again"
        return refusal_response(doubtful("loan-in-doubt", reason, _RETRY_AFTER_MS))
    return json_response({"worker": worker, **outcome.loan.row()})
