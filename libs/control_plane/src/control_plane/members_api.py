"""HTTP interface of a control node for the members of the fleet: `/members`.

It lists this node, every node described to it within `removal_timeout_ms`, and the remaining
voters, each with its status according to this node.
"""

from typing import Any

from aiohttp import web
from data_plane.control_keys import LOG_KEY, RETIRED_KEY
from data_plane.http_service import HttpService, json_response
from membership.messages import NodeInfo

from control_plane.member_status import describe
from control_plane.nodes import ControlNode

__all__ = ["MembersApi"]

_ROLES = ("control", "store", "edge")
_LIVE, _SILENT, _GONE = "live", "silent", "gone"


class MembersApi:
    """The handler of `/members`; the constructor registers it at `service`."""

    __slots__ = ("_node",)

    def __init__(self, node: ControlNode, service: HttpService) -> None:
        self._node = node
        service.app.router.add_get("/members", self._show)

    async def _show(self, request: web.Request) -> web.Response:
        node = self._node
        rows = self._rows()
        for row in rows:
            row["says"] = describe(node, row["role"], row["identity"], row["link"])
        return json_response(
            {
                "asked": node.acceptor.identity,
                "at_ms": node.env.now(),
                "members": rows,
                "voters": sorted(node.acceptor.voters),
                "voters_number": node.acceptor.list_number,
                "steward": node.voter_list_manager.coordinator(),
                "keys": node.owner.ownership(),
                "roll": sorted(node.config_feed.serving_set()),
                "log": node.config_feed.value(LOG_KEY),
                "retired": (node.config_feed.value(RETIRED_KEY) or {}).get("identities", []),
                "feed": node.config_feed.versions(),
                "place": node.config_feed.position,
            }
        )

    def _rows(self) -> list[dict[str, Any]]:
        """Return the JSON rows of the known nodes, of this node, and of the remaining voters."""
        node = self._node
        rows = [
            self._known_row(role, info)
            for role in _ROLES
            for info in sorted(
                node.membership.nodes_in_role(role, node.settings.removal_timeout_ms),
                key=lambda info: info.address,
            )
        ]
        rows.append(self._own_row())
        known = {row["identity"] for row in rows}
        rows += [
            _lost_voter_row(identity, address)
            for identity, address in node.acceptor.voters.items()
            if identity not in known
        ]
        return rows

    def _known_row(self, role: str, info: NodeInfo) -> dict[str, Any]:
        report = self._node.config_feed.reports.get(info.identity)
        return {
            "role": role,
            "name": info.name,
            "identity": info.identity,
            "link": info.address,
            "http": info.http,
            "zone": info.zone,
            "standing": _LIVE if self._node.membership.is_live(info.identity) else _SILENT,
            "ready": info.ready,
            "feed": report.versions if report else None,
        }

    def _own_row(self) -> dict[str, Any]:
        node = self._node
        return {
            "role": "control",
            "name": node.settings.node_name or node.address,
            "identity": node.acceptor.identity,
            "link": node.address,
            "http": node.settings.http,
            "zone": node.settings.zone,
            "standing": _LIVE,
            "ready": not node.why_unready(),
            "feed": node.config_feed.versions(),
        }


def _lost_voter_row(identity: str, address: str) -> dict[str, Any]:
    return {
        "role": "control",
        "name": address,
        "identity": identity,
        "link": address,
        "http": "",
        "zone": "",
        "standing": _GONE,
        "ready": False,
        "feed": None,
    }
