"""The workers' calls: a heartbeat with their load, and a leave. Any edge takes them for all."""

from typing import Any

from aiohttp import web
from request_routing import WorkerUpdate
from runtime import Refusal, refused

from data_plane.http_service import HttpService, json_response, read_json_body, refusal_response
from data_plane.request_bodies import HeartbeatBody, LeaveBody

__all__ = ["WorkerApi"]


class WorkerApi:
    """The HTTP routes of workers."""

    __slots__ = ("_node",)

    def __init__(self, node: Any, desk: HttpService) -> None:
        self._node = node
        desk.app.router.add_post("/workers/beat", self._beat)
        desk.app.router.add_post("/workers/leave", self._leave)

    async def _beat(self, request: web.Request) -> web.Response:
        beat = await read_json_body(request, self._node.settings.max_body_bytes, HeartbeatBody)
        if isinstance(beat, Refusal):
            return refusal_response(beat)
        taken = self._node.roster.hear(WorkerUpdate(**beat.model_dump(), leaving=False))
        if not taken:
            return refusal_response(
                refused(
                    "outdated",
                    "this incarnation has left or was replaced",
                    409,
                    field="incarnation",
                )
            )
        labels = frozenset(beat.labels)
        return json_response(
            {
                "enrolled": self._node.profile_tree().allows_worker(beat.identity, labels),
                "heartbeat_ms": self._node.settings.heartbeat_ms,
            }
        )

    async def _leave(self, request: web.Request) -> web.Response:
        leave = await read_json_body(request, self._node.settings.max_body_bytes, LeaveBody)
        if isinstance(leave, Refusal):
            return refusal_response(leave)
        known = next(
            (
                worker
                for worker in self._node.roster.all()
                if worker.identity == leave.identity and worker.incarnation == leave.incarnation
            ),
            None,
        )
        self._node.roster.hear(
            WorkerUpdate(
                identity=leave.identity,
                incarnation=leave.incarnation,
                address=known.address if known else "",
                zone=known.zone if known else "",
                labels=sorted(known.labels) if known else [],
                beat=known.beat if known else 0,
                running=0,
                waiting=0,
                slots=1,
                cache_use=0.0,
                leaving=True,
            )
        )
        return json_response({"left": True})
