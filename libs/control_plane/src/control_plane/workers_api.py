"""HTTP interface of a control node for the list of workers: `/workers`.

Workers send heartbeats and report when they leave; operators read the list. Workers also send
heartbeats to the edges, independently of this list.
"""

import json
from typing import Annotated, Literal

from aiohttp import web
from control_store import WorkerReport
from data_plane.http_service import HttpService, json_response, read_json_body, refusal_response
from messaging.node_runner import awaited
from pydantic import BaseModel, ConfigDict, Field
from runtime import Refusal, doubtful, is_valid_unicode, refused

from control_plane.nodes import ControlNode

__all__ = ["WorkersApi"]

Text = Annotated[str, Field(min_length=1, max_length=255)]
_MAX_SLOTS = 1_000_000
_MAX_IDENTITY_CHARS = 255
_MAX_MODELS = 256
_RETRY_AFTER_MS = 1000


class _Model(BaseModel):
    """A model that a worker has loaded."""

    model_config = ConfigDict(extra="forbid", strict=True, defer_build=True)
    name: Text
    revision: int | None = None
    adapters: list[Text] | None = None


class _HeartbeatBody(BaseModel):
    """The body of a worker's heartbeat; `seq` is its sequence number."""

    model_config = ConfigDict(extra="forbid", strict=True, defer_build=True)
    address: Text
    zone: Text
    label: Text
    slots: int = Field(ge=0, le=_MAX_SLOTS)
    state: Literal["serving", "draining"] = "serving"
    seq: int = Field(ge=0, le=1 << 53)
    models: list[_Model] = Field(default_factory=list, max_length=_MAX_MODELS)


def _read_identity(request: web.Request) -> str | Refusal:
    """Return the worker's identity in the path, or a refusal of one that no worker can have."""
    identity = request.match_info["name"]
    if len(identity) <= _MAX_IDENTITY_CHARS and is_valid_unicode(identity):
        return identity
    return refused("bad-field", "name: at most 255 characters of Unicode", field="name")


class WorkersApi:
    """The handlers of `/workers`; the constructor registers them at `service`."""

    __slots__ = ("_node",)

    def __init__(self, node: ControlNode, service: HttpService) -> None:
        self._node = node
        router = service.app.router
        router.add_get("/workers", self._show)
        router.add_put("/workers/{name:.+}", self._heartbeat)
        router.add_delete("/workers/{name:.+}", self._leave)

    async def _show(self, request: web.Request) -> web.Response:
        workers = self._node.worker_list
        return json_response({"version": workers.version, "workers": workers.rows()})

    async def _heartbeat(self, request: web.Request) -> web.Response:
        identity = _read_identity(request)
        if isinstance(identity, Refusal):
            return refusal_response(identity)
        body = await read_json_body(request, self._node.settings.max_body_bytes, _HeartbeatBody)
        if isinstance(body, Refusal):
            return refusal_response(body)
        models = [model.model_dump(exclude_none=True) for model in body.models]
        return await self._report(
            WorkerReport(
                identity=identity,
                address=body.address,
                zone=body.zone,
                label=body.label,
                slots=body.slots,
                state=body.state,
                seq=body.seq,
                models=json.dumps(models),
            )
        )

    async def _leave(self, request: web.Request) -> web.Response:
        identity = _read_identity(request)
        if isinstance(identity, Refusal):
            return refusal_response(identity)
        return await self._report(
            WorkerReport(
                identity=identity,
                address="",
                zone="",
                label="",
                slots=0,
                state="gone",
                seq=0,
                models="[]",
            )
        )

    async def _report(self, report: WorkerReport) -> web.Response:
        outcome = await awaited(lambda done: self._node.worker_list.report(report, done))
        if outcome == "refused":
            return refusal_response(
                refused(
                    "not-in-touch",
                    "this node hears no majority of the voters, or not the list's "
                    "owner; ask another",
                    503,
                    _RETRY_AFTER_MS,
                )
            )
        if outcome != "ok":
            return refusal_response(
                doubtful(
                    "worker-in-doubt",
                    "not known in time whether the edges have it; say it again",
                    _RETRY_AFTER_MS,
                )
            )
        return json_response({"worker": report.identity, "state": report.state})
