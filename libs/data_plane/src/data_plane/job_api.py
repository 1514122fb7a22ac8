"""The HTTP routes of batch jobs: parse the request, call the service, write its response."""

from typing import Any

from aiohttp import web
from messaging.node_runner import awaited
from runtime import Refusal

from data_plane.edge_service import EdgeService
from data_plane.http_service import HttpService, http_response, read_json_body, refusal_response
from data_plane.request_bodies import SubmitJobBody
from data_plane.request_paths import read_id, read_page_bounds

__all__ = ["JobApi"]


class JobApi:
    """Adds the routes of batch jobs to `server`; `node` is the edge."""

    __slots__ = ("_node", "_service")

    def __init__(self, node: Any, service: EdgeService, server: HttpService) -> None:
        self._node = node
        self._service = service
        router = server.app.router
        router.add_put("/lots/{lot_id}", self._submit)
        router.add_get("/lots/{lot_id}", self._progress)
        router.add_get("/lots/{lot_id}/results", self._results)
        router.add_delete("/lots/{lot_id}", self._cancel)

    async def _submit(self, request: web.Request) -> web.StreamResponse:
        job_id = read_id(request, "lot_id")
        if isinstance(job_id, Refusal):
            return refusal_response(job_id)
        if (response := self._service.unready_response(True)) is not None:
            return http_response(response)
        body = await read_json_body(request, self._node.settings.max_body_bytes, SubmitJobBody)
        if isinstance(body, Refusal):
            return refusal_response(body)
        items = [item.model_dump(exclude_none=True) for item in body.items]
        return http_response(
            await awaited(
                lambda done: self._service.submit(job_id, body.path, items, body.due_ms, done)
            )
        )

    async def _progress(self, request: web.Request) -> web.StreamResponse:
        job_id = read_id(request, "lot_id")
        if isinstance(job_id, Refusal):
            return refusal_response(job_id)
        return http_response(await awaited(lambda done: self._service.progress(job_id, done)))

    async def _results(self, request: web.Request) -> web.StreamResponse:
        job_id = read_id(request, "lot_id")
        if isinstance(job_id, Refusal):
            return refusal_response(job_id)
        page = read_page_bounds(request)
        if isinstance(page, Refusal):
            return refusal_response(page)
        return http_response(
            await awaited(
                lambda done: self._service.results(job_id, page.from_index, page.limit, done)
            )
        )

    async def _cancel(self, request: web.Request) -> web.StreamResponse:
        job_id = read_id(request, "lot_id")
        if isinstance(job_id, Refusal):
            return refusal_response(job_id)
        return http_response(await awaited(lambda done: self._service.cancel(job_id, done)))
