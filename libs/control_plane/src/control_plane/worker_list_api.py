"""HTTP interface of the list of workers at a control node.

Workers send heartbeats and report that they leave; operators read the list. Workers send heartbeats
to the edges as well, independently of this list.
"""

import json
from typing import Annotated, Any, Literal

from aiohttp import web
from control_store import WorkerReport
from data_plane.http_service import HttpService, answer_refusal, json_answer, read_call
from messaging.node_runner import awaited
from pydantic import BaseModel, ConfigDict, Field
from runtime import Refusal, doubtful, refused

__all__ = ["WorkerListApi"]

Text = Annotated[str, Field(min_length=1, max_length=255)]


class _Model(BaseModel):
    """A model that a worker has loaded."""

    model_config = ConfigDict(extra="forbid", strict=True, defer_build=True)
    name: Text
    revision: int | None = None
    adapters: list[Text] | None = None


class _Beat(BaseModel):
    """The body of a worker's heartbeat."""

    model_config = ConfigDict(extra="forbid", strict=True, defer_build=True)
    address: Text
    zone: Text
    label: Text
    slots: int = Field(ge=0, le=1_000_000)
    state: Literal["serving", "draining"] = "serving"
    seq: int = Field(ge=0, le=1 << 53)
    models: list[_Model] = Field(default_factory=list, max_length=256)


class WorkerListApi:
    """Registers the handlers of `/workers` at `desk`."""

    __slots__ = ("_node",)

    def __init__(self, node: Any, desk: HttpService) -> None:
        self._node = node
        router = desk.app.router
        router.add_get("/workers", self._show)
        router.add_put("/workers/{name:.+}", self._beat)
        router.add_delete("/workers/{name:.+}", self._leave)

    async def _show(self, request: web.Request) -> web.Response:
        node = self._node
        return json_answer({"version": node.worker_list.number, "workers": node.worker_list.rows()})

    async def _beat(self, request: web.Request) -> web.Response:
        call = await read_call(request, self._node.settings.max_body_bytes, _Beat)
        if isinstance(call, Refusal):
            return answer_refusal(call)
        models = [row.model_dump(exclude_none=True) for row in call.models]
        return await self._report(
            WorkerReport(
                identity=request.match_info["name"],
                address=call.address,
                zone=call.zone,
                label=call.label,
                slots=call.slots,
                state=call.state,
                seq=call.seq,
                models=json.dumps(models),
            )
        )

    async def _leave(self, request: web.Request) -> web.Response:
        return await self._report(
            WorkerReport(
                identity=request.match_info["name"],
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
            return answer_refusal(
                refused(
                    "not-in-touch",
                    "this node hears no majority of the voters, or not the list's "
                    "owner; ask another",
                    503,
                    1000,
                )
            )
        if outcome != "ok":
            return answer_refusal(
                doubtful(
                    "worker-in-doubt",
                    "not known in time whether the edges have it; say it again",
                    1000,
                )
            )
        return json_answer({"worker": report.identity, "state": report.state})
