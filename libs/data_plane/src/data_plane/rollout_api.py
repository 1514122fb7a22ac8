"""HTTP routes of training rollouts: validate the request, call the service, write its response."""

from typing import Any

from aiohttp import web
from messaging.node_runner import awaited
from runtime import Refusal

from data_plane.http_service import HttpService, http_response, read_json_body, refusal_response
from data_plane.request_paths import read_id, read_page_bounds
from data_plane.rollout_service import RolloutBody, RolloutService

__all__ = ["RolloutApi"]


class RolloutApi:
    """Adds the routes of rollouts to an HTTP server.

    Parameters
    ----------
    node
        The edge; its settings limit the size of a body.
    service
        Serves the requests.
    server
        The server that gets the routes.
    """

    __slots__ = ("_node", "_service")

    def __init__(self, node: Any, service: RolloutService, server: HttpService) -> None:
        self._node = node
        self._service = service
        router = server.app.router
        router.add_put("/rollouts/{rollout_id}", self._submit)
        router.add_get("/rollouts/{rollout_id}", self._progress)
        router.add_get("/rollouts/{rollout_id}/results", self._results)
        router.add_delete("/rollouts/{rollout_id}", self._cancel)

    async def _submit(self, request: web.Request) -> web.StreamResponse:
        rollout_id = read_id(request, "rollout_id")
        if isinstance(rollout_id, Refusal):
            return refusal_response(rollout_id)
        body = await read_json_body(request, self._node.settings.max_body_bytes, RolloutBody)
        if isinstance(body, Refusal):
            return refusal_response(body)
        return http_response(
            await awaited(lambda done: self._service.submit(rollout_id, body, done))
        )

    async def _progress(self, request: web.Request) -> web.StreamResponse:
        rollout_id = read_id(request, "rollout_id")
        if isinstance(rollout_id, Refusal):
            return refusal_response(rollout_id)
        return http_response(await awaited(lambda done: self._service.progress(rollout_id, done)))

    async def _results(self, request: web.Request) -> web.StreamResponse:
        rollout_id = read_id(request, "rollout_id")
        if isinstance(rollout_id, Refusal):
            return refusal_response(rollout_id)
        page = read_page_bounds(request)
        if isinstance(page, Refusal):
            return refusal_response(page)
        return http_response(
            await awaited(
                lambda done: self._service.results(rollout_id, page.from_index, page.limit, done)
            )
        )

    async def _cancel(self, request: web.Request) -> web.StreamResponse:
        rollout_id = read_id(request, "rollout_id")
        if isinstance(rollout_id, Refusal):
            return refusal_response(rollout_id)
        return http_response(await awaited(lambda done: self._service.cancel(rollout_id, done)))
