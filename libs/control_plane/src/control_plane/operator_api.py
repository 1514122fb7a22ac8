"""HTTP interface of a control node for operators.

It reads and changes the tree of profiles, whole or by a merge patch, always based on the version
replaced; it lists the members with their status, and retires machines.
"""

import json
import secrets
from typing import Any

from aiohttp import web
from config_feed.patches import apply_patch
from control_store import (
    NO_BASE,
    Change,
    ChangeResult,
    FindChange,
    Outcome,
    ProfileTree,
    ReadKey,
    check_tree,
    explain,
)
from data_plane.control_keys import PROFILES_KEY, RETIRED_KEY
from data_plane.http_service import HttpService, answer_refusal, json_answer, read_call
from messaging.node_runner import awaited
from runtime import Refusal, doubtful, refused

from control_plane.operator_bodies import (
    ConfigurationBody,
    ConfigurationPatchBody,
    ForgetOrder,
    RetirementOrder,
    identity_of,
)
from control_plane.retirement import retired_body
from control_plane.status_text import says, says_edge

__all__ = ["OperatorApi"]


class OperatorApi:
    """Registers the handlers of the operators' calls at `desk`."""

    __slots__ = ("_node",)

    def __init__(self, node: Any, desk: HttpService) -> None:
        self._node = node
        router = desk.app.router
        router.add_get("/profiles", self._show)
        router.add_put("/profiles", self._send)
        router.add_patch("/profiles", self._patch)
        router.add_get("/profiles/{name:.+}/explained", self._explain)
        router.add_get("/members", self._members)
        router.add_post("/retired", self._retire)
        router.add_post("/forgotten", self._forget)

    async def _ask(self, message: Any) -> ChangeResult:
        return await awaited(lambda done: self._node.owner.submit(message, done))

    async def _parsed(self, request: web.Request, model: Any) -> Any:
        return await read_call(request, self._node.settings.max_body_bytes, model)

    # -- profiles ------------------------------------------------------------------------------

    async def _read(self, key: str) -> ChangeResult | Refusal:
        receipt = await self._ask(ReadKey(key=key, hops=0))
        if receipt.outcome != Outcome.OK:
            return refused(
                "no-majority", receipt.reason or "no majority of the voters can be heard", 503, 1000
            )
        return receipt

    async def _show(self, request: web.Request) -> web.Response:
        receipt = await self._read(PROFILES_KEY)
        if isinstance(receipt, Refusal):
            return answer_refusal(receipt)
        return json_answer(
            {"version": receipt.version, "tree": json.loads(receipt.body or '{"profiles": {}}')}
        )

    async def _send(self, request: web.Request) -> web.Response:
        call = await self._parsed(request, ConfigurationBody)
        if isinstance(call, Refusal):
            return answer_refusal(call)
        return await self._keep(call, call.tree)

    async def _patch(self, request: web.Request) -> web.Response:
        call = await self._parsed(request, ConfigurationPatchBody)
        if isinstance(call, Refusal):
            return answer_refusal(call)
        receipt = await self._read(PROFILES_KEY)
        if isinstance(receipt, Refusal):
            return answer_refusal(receipt)
        if receipt.version != call.version:
            return await self._find(call)
        tree = json.loads(receipt.body or '{"profiles": {}}')
        return await self._keep(call, apply_patch(tree, call.patch))

    async def _find(self, call: ConfigurationPatchBody) -> web.Response:
        """Look up a patch that is not based on the version in force: it may be a retry."""
        change_id = call.change_id or secrets.token_hex(8)
        receipt = await self._ask(
            FindChange(
                key=PROFILES_KEY,
                change_id=identity_of(change_id, call),
                version=call.version,
                base=NO_BASE,
                number=NO_BASE,
                hops=0,
            )
        )
        return self._answer(receipt, change_id)

    async def _keep(
        self, call: ConfigurationBody | ConfigurationPatchBody, tree: Any
    ) -> web.Response:
        checked = check_tree(tree)
        if checked.is_error():
            return answer_refusal(
                refused(
                    "bad-tree",
                    f"{len(checked.error)} problems; nothing was changed",
                    422,
                    field=checked.error[0]["at"],
                    problems=checked.error,
                )
            )
        change_id = call.change_id or secrets.token_hex(8)
        receipt = await self._ask(
            Change(
                key=PROFILES_KEY,
                version=call.version,
                change_id=identity_of(change_id, call),
                hops=0,
                body=json.dumps(checked.ok, sort_keys=True),
            )
        )
        return self._answer(receipt, change_id)

    def _answer(self, receipt: ChangeResult, change_id: str) -> web.Response:
        if receipt.outcome == Outcome.OK:
            return json_answer({"version": receipt.version, "change_id": change_id})
        if receipt.outcome == Outcome.LOST:
            return answer_refusal(
                refused(
                    "version-replaced",
                    f"{receipt.reason}; this change will not take effect",
                    409,
                    field="version",
                )
            )
        if receipt.outcome == Outcome.REFUSED:
            return answer_refusal(refused("not-founded", receipt.reason, 503, 1000))
        if receipt.outcome == Outcome.FORGOTTEN:
            return answer_refusal(
                doubtful(
                    "change-forgotten",
                    f"{receipt.reason}; read the profiles to see what is in place",
                    1000,
                )
            )
        return answer_refusal(
            doubtful(
                "change-in-doubt",
                f"{receipt.reason}; send the same with change_id {change_id} "
                "to learn what became of it",
                1000,
            )
        )

    async def _explain(self, request: web.Request) -> web.Response:
        receipt = await self._read(PROFILES_KEY)
        if isinstance(receipt, Refusal):
            return answer_refusal(receipt)
        name = request.match_info["name"]
        told = explain(ProfileTree.of_body(receipt.body), name)
        if not told:
            return answer_refusal(
                refused("unknown-profile", f"no profile is called {name!r}", 404, field="name")
            )
        return json_answer({"version": receipt.version, **told})

    # -- members -------------------------------------------------------------------------------

    async def _members(self, request: web.Request) -> web.Response:
        node = self._node
        now_ms = node.env.now()
        settings = node.settings
        voters = node.voter.voters
        rows = []
        for role in ("control", "store", "edge"):
            for card in sorted(
                node.neighbours.of_role(role, settings.gone_ms), key=lambda row: row.address
            ):
                confirmed = node.config_feed.confirmed.get(card.identity)
                rows.append(
                    {
                        "role": role,
                        "name": card.name,
                        "identity": card.identity,
                        "link": card.address,
                        "http": card.http,
                        "zone": card.zone,
                        "standing": "live" if node.neighbours.live(card.identity) else "silent",
                        "ready": card.ready,
                        "feed": confirmed[2] if confirmed else None,
                    }
                )
        rows.append(
            {
                "role": "control",
                "name": settings.node_name or node.address,
                "identity": node.voter.identity,
                "link": node.address,
                "http": settings.http,
                "zone": settings.zone,
                "standing": "live",
                "ready": not node.why_unready(),
                "feed": node.config_feed.numbers(),
            }
        )
        for row in rows:
            row["says"] = self._says(row["role"], row["identity"], row["link"])
        known = {row["identity"] for row in rows}
        rows += [
            {
                "role": "control",
                "name": address,
                "identity": name,
                "link": address,
                "http": "",
                "zone": "",
                "standing": "gone",
                "ready": False,
                "feed": None,
                "says": self._says("control", name, address),
            }
            for name, address in voters.items()
            if name not in known
        ]
        return json_answer(
            {
                "asked": node.voter.identity,
                "at_ms": now_ms,
                "members": rows,
                "voters": sorted(voters),
                "voters_number": node.voter.list_number,
                "steward": node.founding.steward(),
                "keys": node.owner.epochs(),
                "roll": sorted(node.config_feed.roll()),
                "log": node.config_feed.value("log"),
                "retired": (node.config_feed.value(RETIRED_KEY) or {}).get("identities", []),
                "feed": node.config_feed.numbers(),
                "place": node.config_feed.place,
            }
        )

    def _says(self, role: str, identity: str, link: str) -> str:
        node = self._node
        if role == "edge":
            return says_edge(link, node.config_feed.roll())
        log = node.config_feed.value("log") or {"members": [], "holder": ""}
        retired = (node.config_feed.value(RETIRED_KEY) or {}).get("identities", [])
        members = (
            [row["identity"] for row in log["members"]]
            if role == "store"
            else list(node.voter.voters)
        )
        live = [card.identity for card in node.neighbours.of_role(role, node.settings.dead_ms)]
        spares = [name for name in live if name not in members and name not in retired]
        if role == "store":
            return says(
                role, identity, members, log["holder"], retired, spares, node.settings.store_count
            )
        return says(
            role,
            identity,
            members,
            node.founding.steward() or "",
            retired,
            spares,
            node.settings.control_count,
        )

    async def _retire(self, request: web.Request) -> web.Response:
        call = await self._parsed(request, RetirementOrder)
        if isinstance(call, Refusal):
            return answer_refusal(call)
        receipt = await self._read(RETIRED_KEY)
        if isinstance(receipt, Refusal):
            return answer_refusal(receipt)
        kept = json.loads(receipt.body) if receipt.body else {}
        names = set(kept.get("identities", ()))
        call.identity = self._identity(call.identity)
        change_id = call.change_id or secrets.token_hex(8)
        if not call.undo and call.identity not in names and not self._known(call.identity):
            return answer_refusal(
                refused(
                    "unknown-machine",
                    f"no control or store machine is called {call.identity!r}",
                    404,
                    field="identity",
                )
            )
        names = names - {call.identity} if call.undo else names | {call.identity}
        receipt = await self._ask(
            Change(
                key=RETIRED_KEY,
                version=receipt.version,
                change_id=identity_of(change_id, call),
                hops=0,
                body=retired_body(
                    names,
                    {
                        name: identity
                        for name, identity in kept.get("names", {}).items()
                        if identity in names
                    },
                ),
            )
        )
        if receipt.outcome != Outcome.OK:
            return self._answer(receipt, change_id)
        card = self._node.neighbours.known(call.identity)
        role = (
            card.role
            if card is not None
            else "store"
            if call.identity.startswith("store")
            else "control"
        )
        return json_answer(
            {
                "version": receipt.version,
                "change_id": change_id,
                "identity": call.identity,
                "says": self._says(role, call.identity, ""),
            }
        )

    async def _forget(self, request: web.Request) -> web.Response:
        """Remove machines that the operator declares lost from the roster."""
        call = await self._parsed(request, ForgetOrder)
        if isinstance(call, Refusal):
            return answer_refusal(call)
        unknown = sorted(set(call.links) - self._node.config_feed.roll())
        if unknown:
            return answer_refusal(
                refused(
                    "unknown-machine", f"not on the roll: {', '.join(unknown)}", 404, field="links"
                )
            )
        live = sorted(
            set(call.links) & self._node.config_feed.heard_links(self._node.settings.gone_ms)
        )
        if live:
            return answer_refusal(
                refused("still-live", f"heard lately: {', '.join(live)}", 409, field="links")
            )
        receipt = await awaited(lambda done: self._node.roll.forget(call.links, done))
        return self._answer(receipt, "")

    def _identity(self, name: str) -> str:
        """Return the identity of the machine with this node name, or the name if unknown."""
        cards = [
            card
            for role in ("control", "store")
            for card in self._node.neighbours.of_role(role, self._node.settings.gone_ms)
        ]
        return next((card.identity for card in cards if card.name == name), name)

    def _known(self, identity: str) -> bool:
        node = self._node
        log = node.config_feed.value("log") or {"members": []}
        card = node.neighbours.known(identity)
        return (
            identity in node.voter.voters
            or identity == node.voter.identity
            or any(row["identity"] == identity for row in log["members"])
            or (card is not None and card.role != "edge")
        )
