"""HTTP interface of a control node for the configuration: `/profiles`.

Operators read the tree of profiles, replace it, change it by a merge patch, and query where the
values of a profile come from. Each change names the version that it replaces.
"""

import json
import secrets
from typing import Any

from aiohttp import web
from config_feed.patches import apply_patch
from control_store import NO_BASE, Change, FindChange, ProfileTree, check_tree, explain
from data_plane.control_keys import PROFILES_KEY
from data_plane.http_service import HttpService, json_response, read_json_body, refusal_response
from runtime import Refusal, refused

from control_plane.key_operations import change_response, read_key, submit
from control_plane.nodes import ControlNode
from control_plane.request_bodies import (
    ConfigurationBody,
    ConfigurationPatchBody,
    change_identity,
)

__all__ = ["ProfilesApi"]

_NO_PROFILES = '{"profiles": {}}'


class ProfilesApi:
    """The handlers of `/profiles`; the constructor registers them at `service`."""

    __slots__ = ("_node",)

    def __init__(self, node: ControlNode, service: HttpService) -> None:
        self._node = node
        router = service.app.router
        router.add_get("/profiles", self._show)
        router.add_put("/profiles", self._replace)
        router.add_patch("/profiles", self._patch)
        router.add_get("/profiles/{name:.+}/explained", self._explain)

    async def _show(self, request: web.Request) -> web.Response:
        result = await read_key(self._node.owner, PROFILES_KEY)
        if isinstance(result, Refusal):
            return refusal_response(result)
        return json_response(
            {"version": result.version, "tree": json.loads(result.body or _NO_PROFILES)}
        )

    async def _replace(self, request: web.Request) -> web.Response:
        limit_bytes = self._node.settings.max_body_bytes
        body = await read_json_body(request, limit_bytes, ConfigurationBody)
        if isinstance(body, Refusal):
            return refusal_response(body)
        return await self._propose(body, body.tree)

    async def _patch(self, request: web.Request) -> web.Response:
        limit_bytes = self._node.settings.max_body_bytes
        body = await read_json_body(request, limit_bytes, ConfigurationPatchBody)
        if isinstance(body, Refusal):
            return refusal_response(body)
        result = await read_key(self._node.owner, PROFILES_KEY)
        if isinstance(result, Refusal):
            return refusal_response(result)
        if result.version != body.version:
            return await self._look_up(body)
        tree = json.loads(result.body or _NO_PROFILES)
        return await self._propose(body, apply_patch(tree, body.patch))

    async def _look_up(self, body: ConfigurationPatchBody) -> web.Response:
        """Look up a patch whose version is not the one in force, since it may be a retry."""
        change_id = body.change_id or secrets.token_hex(8)
        query = FindChange(
            key=PROFILES_KEY,
            change_id=change_identity(change_id, body),
            version=body.version,
            base=NO_BASE,
            number=NO_BASE,
            hops=0,
        )
        return change_response(await submit(self._node.owner, query), change_id)

    async def _propose(
        self, body: ConfigurationBody | ConfigurationPatchBody, tree: dict[str, Any]
    ) -> web.Response:
        """Propose a tree to replace the version that the body names, if the tree is valid."""
        checked = check_tree(tree)
        if checked.is_error():
            return refusal_response(
                refused(
                    "bad-tree",
                    f"{len(checked.error)} problems; nothing was changed",
                    422,
                    field=checked.error[0]["at"],
                    problems=checked.error,
                )
            )
        change_id = body.change_id or secrets.token_hex(8)
        change = Change(
            key=PROFILES_KEY,
            version=body.version,
            change_id=change_identity(change_id, body),
            hops=0,
            body=json.dumps(checked.ok, sort_keys=True),
        )
        return change_response(await submit(self._node.owner, change), change_id)

    async def _explain(self, request: web.Request) -> web.Response:
        result = await read_key(self._node.owner, PROFILES_KEY)
        if isinstance(result, Refusal):
            return refusal_response(result)
        name = request.match_info["name"]
        explained = explain(ProfileTree.from_body(result.body), name)
        if not explained:
            return refusal_response(
                refused(
                    "unknown-profile",
                    f"no profile is called {name!r}",
                    404,
                    field="name",
                )
            )
        return json_response({"version": result.version, **explained})
