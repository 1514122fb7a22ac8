"""HTTP interface of a control node for taking machines out of service: `/retired`, `/forgotten`.

A control node or store is retired, and can be stopped once a spare has replaced it. Edges and
stores that are permanently lost are removed from the serving set, so that no change waits for them.
"""

import secrets

from aiohttp import web
from control_store import Change, ChangeResult, Outcome
from data_plane.control_keys import LOG_KEY, RETIRED_KEY
from data_plane.http_service import HttpService, json_response, read_json_body, refusal_response
from messaging.node_runner import awaited
from runtime import Refusal, refused

from control_plane.key_operations import change_response, read_key, submit
from control_plane.member_status import describe
from control_plane.nodes import ControlNode
from control_plane.request_bodies import ForgetMachinesBody, RetirementBody, change_identity
from control_plane.retired_machines import RetiredMachines

__all__ = ["RetirementApi"]


class RetirementApi:
    """The handlers of `/retired` and `/forgotten`; the constructor registers them at `service`."""

    __slots__ = ("_node",)

    def __init__(self, node: ControlNode, service: HttpService) -> None:
        self._node = node
        service.app.router.add_post("/retired", self._retire)
        service.app.router.add_post("/forgotten", self._forget)

    async def _retire(self, request: web.Request) -> web.Response:
        body = await read_json_body(request, self._node.settings.max_body_bytes, RetirementBody)
        if isinstance(body, Refusal):
            return refusal_response(body)
        read = await read_key(self._node.owner, RETIRED_KEY)
        if isinstance(read, Refusal):
            return refusal_response(read)
        body.identity = self._identity_of(body.identity)
        retired = RetiredMachines.from_body(read.body)
        if not body.undo and not self._may_retire(body.identity, retired):
            return refusal_response(
                refused(
                    "unknown-machine",
                    f"no control or store machine is called {body.identity!r}",
                    404,
                    field="identity",
                )
            )
        return await self._propose(body, read.version, retired)

    async def _propose(
        self, body: RetirementBody, version: int, retired: RetiredMachines
    ) -> web.Response:
        change_id = body.change_id or secrets.token_hex(8)
        changed = (
            retired.without_identity(body.identity)
            if body.undo
            else retired.with_identity(body.identity)
        )
        change = Change(
            key=RETIRED_KEY,
            version=version,
            change_id=change_identity(change_id, body),
            hops=0,
            body=changed.body(),
        )
        result = await submit(self._node.owner, change)
        if result.outcome != Outcome.OK:
            return change_response(result, change_id)
        return json_response(
            {
                "version": result.version,
                "change_id": change_id,
                "identity": body.identity,
                "says": describe(self._node, self._role_of(body.identity), body.identity, ""),
            }
        )

    def _identity_of(self, name: str) -> str:
        """Return the identity of the machine with this node name, or `name` if there is none."""
        infos = [
            info
            for role in ("control", "store")
            for info in self._node.membership.nodes_in_role(
                role, self._node.settings.removal_timeout_ms
            )
        ]
        return next((info.identity for info in infos if info.name == name), name)

    def _may_retire(self, identity: str, retired: RetiredMachines) -> bool:
        """Whether this node knows the machine as a control node or store, or as retired."""
        node = self._node
        log = node.config_feed.value(LOG_KEY) or {"members": []}
        info = node.membership.node_info(identity)
        return (
            identity in retired.identities
            or identity in node.acceptor.voters
            or identity == node.acceptor.identity
            or any(row["identity"] == identity for row in log["members"])
            or (info is not None and info.role != "edge")
        )

    def _role_of(self, identity: str) -> str:
        """Return the role of a machine, judged by its identity if the machine is not known."""
        info = self._node.membership.node_info(identity)
        if info is not None:
            return info.role
        return "store" if identity.startswith("store") else "control"

    async def _forget(self, request: web.Request) -> web.Response:
        """Remove machines that the operator declares lost from the serving set, unless live."""
        node = self._node
        body = await read_json_body(request, node.settings.max_body_bytes, ForgetMachinesBody)
        if isinstance(body, Refusal):
            return refusal_response(body)
        unknown = sorted(set(body.links) - node.config_feed.serving_set())
        if unknown:
            reason = f"not on the roll: {', '.join(unknown)}"
            return refusal_response(refused("unknown-machine", reason, 404, field="links"))
        live = sorted(
            set(body.links) & node.config_feed.live_links(node.settings.removal_timeout_ms)
        )
        if live:
            reason = f"heard lately: {', '.join(live)}"
            return refusal_response(refused("still-live", reason, 409, field="links"))
        result: ChangeResult = await awaited(
            lambda done: node.serving_set.remove_lost(body.links, done)
        )
        return change_response(result, "")
