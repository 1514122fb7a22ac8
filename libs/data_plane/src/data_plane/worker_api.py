"""HTTP routes of workers: heartbeats with their load, and leaving.

A worker may call any edge; the registry forwards its updates to the other edges.
"""

from typing import Any

from aiohttp import web
from request_routing import WorkerUpdate
from runtime import Refusal, refused

from data_plane.http_service import HttpService, json_response, read_json_body, refusal_response
from data_plane.request_bodies import HeartbeatBody, LeaveBody

__all__ = ["WorkerApi"]


class WorkerApi:
    """Adds the routes of workers to an HTTP server.

    Parameters
    ----------
    node
        The edge, whose registry gets the updates.
    server
        The server that gets the routes.
    """

    __slots__ = ("_node",)

    def __init__(self, node: Any, server: HttpService) -> None:
        self._node = node
        server.app.router.add_post("/workers/beat", self._heartbeat)
        server.app.router.add_post("/workers/leave", self._leave)

    async def _heartbeat(self, request: web.Request) -> web.Response:
        body = await read_json_body(request, self._node.settings.max_body_bytes, HeartbeatBody)
        if isinstance(body, Refusal):
            return refusal_response(body)
        accepted = self._node.registry.apply_update(
            WorkerUpdate(**body.model_dump(), leaving=False)
        )
        if not accepted:
            return refusal_response(
                refused(
                    "outdated",
                    "this incarnation has left or was replaced",
                    409,
                    field="incarnation",
                )
            )
        labels = frozenset(body.labels)
        return json_response(
            {
                "enrolled": self._node.profile_tree().allows_worker(body.identity, labels),
                "beat_ms": self._node.settings.heartbeat_ms,
            }
        )

    async def _leave(self, request: web.Request) -> web.Response:
        body = await read_json_body(request, self._node.settings.max_body_bytes, LeaveBody)
        if isinstance(body, Refusal):
            return refusal_response(body)
        self._node.registry.apply_update(self._leave_update(body))
        return json_response({"left": True})

    def _leave_update(self, body: LeaveBody) -> WorkerUpdate:
        """Return the update that marks an incarnation as leaving.

        Its address, zone, labels and last heartbeat are those in the registry, or empty if the
        registry doesn't know the incarnation.
        """
        known = next(
            (
                worker
                for worker in self._node.registry.all()
                if worker.identity == body.identity and worker.incarnation == body.incarnation
            ),
            None,
        )
        return WorkerUpdate(
            identity=body.identity,
            incarnation=body.incarnation,
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
