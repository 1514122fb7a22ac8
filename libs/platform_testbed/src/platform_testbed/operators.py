"""The platform's operator, who configures the system through its control API.

It sends the first configuration until it is accepted, then changes as complete configurations or as
patches, some of them concurrent or invalid. It also retires stores, and reads the configuration
back when the day ends.
"""

import asyncio
import contextlib
import copy
import json
import random
from typing import Any

import aiohttp
from simulator.history import History

from platform_testbed.site import Deployment

__all__ = ["Operator", "apply_patch"]

_DEFINITE_ERRORS = (400, 409, 412, 413, 422)


def apply_patch(settings: dict[str, Any], change: dict[str, Any]) -> dict[str, Any]:
    """Return a copy of a configuration with a patch applied: rows replaced, added and removed."""
    changed = copy.deepcopy(settings)
    changed["revision"] = change["revision"]
    for part, rows in change.get("upsert", {}).items():
        by_name = {row["name"]: row for row in rows}
        kept = [by_name.pop(row["name"], row) for row in changed.get(part, [])]
        changed[part] = kept + list(by_name.values())
    for part, names in change.get("remove", {}).items():
        changed[part] = [row for row in changed.get(part, []) if row["name"] not in names]
    return changed


class Operator:
    """The operator of a day; `settings` is the newest configuration known to be in force."""

    def __init__(
        self, deployment: Deployment, fleet: Any, history: History, clock: Any, seed: int
    ) -> None:
        self.deployment, self.fleet, self.history, self.clock = deployment, fleet, history, clock
        self.rng = random.Random(f"operator/{seed}")
        self.settings: dict[str, Any] = {}
        self.newest_probe: dict[str, Any] = {}
        self._session: aiohttp.ClientSession | None = None
        self._count = 0

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def _request(
        self, node: str, method: str, path: str, body: Any, headers: dict[str, str]
    ) -> tuple[int, bytes]:
        if self._session is None:
            self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))
        url = f"http://{node}{path}"
        for _ in range(3):
            async with self._session.request(
                method,
                url,
                json=body,
                headers=headers,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=1.0 + len(json.dumps(body)) / 1e6),
            ) as answer:
                if answer.status != 307:
                    return answer.status, await answer.read()
                url = answer.headers["Location"]
        return 307, b""

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        limit_s: float = 20.0,
        start: int | None = None,
    ) -> tuple[int, bytes, str]:
        """Call one control node after another until one gives a definite answer.

        Definite are successes, the statuses 400, 409, 412, 413 and 422, and any third other 4xx
        status apart from 408 and 429. Pauses between attempts grow up to 1 s.

        Returns
        -------
        tuple
            Status, body and address of the node; status 0 if there was no definite answer within
            `limit_s`.
        """
        end_ms, pause_s, client_errors = self.clock() + limit_s * 1000, 0.05, 0
        index = self.rng.randrange(1000) if start is None else start
        while self.clock() < end_ms:
            nodes = self.fleet.published_control_addresses()
            node = nodes[index % len(nodes)]
            index += 1
            try:
                status, data = await self._request(node, method, path, body, headers or {})
                if 200 <= status < 300 or status in _DEFINITE_ERRORS:
                    return status, data, node
                client_errors += 400 <= status < 500 and status not in (408, 429)
                if client_errors >= 3:
                    return status, data, node
            except (aiohttp.ClientError, OSError, TimeoutError, KeyError):
                pass
            await asyncio.sleep(min(pause_s, max(0.0, end_ms - self.clock()) / 1000))
            pause_s = min(1.0, pause_s * 1.6)
        return 0, b"", ""

    async def send_settings(
        self,
        body: dict[str, Any],
        complete: dict[str, Any],
        base: int,
        method: str = "PUT",
        valid: bool = True,
        what: str = "",
        limit_s: float = 20.0,
        start: int | None = None,
    ) -> dict[str, Any]:
        """Send a change on top of version `base` and return its row.

        The row's outcome is `acked`, `refused` or `unclear` (no definite answer).

        Parameters
        ----------
        body
            Body of the call: a configuration, or a patch.
        complete
            The configuration that results from it.
        valid
            Whether the configuration is valid; the system must not acknowledge an invalid one.
        start
            Number of the control node to call first; random if None.
        """
        self._count += 1
        row = self.history.add(
            "order",
            self.clock(),
            name=f"o{self._count}",
            revision=body.get("revision", 0),
            base=base,
            settings=complete,
            valid=valid,
            what=what,
            method=method,
            status=0,
            acked_ms=0.0,
            outcome="unclear",
            answered_ms=0.0,
        )
        status, data, node = await self.call(
            method, "/vaneledge/settings", body, {"If-Match": str(base)}, limit_s, start
        )
        row.update(
            status=status,
            answered_ms=round(self.clock(), 2),
            node=node,
            text=data.decode(errors="replace")[:300],
        )
        if 200 <= status < 300:
            row.update(outcome="acked", acked_ms=row["answered_ms"])
            if valid and body.get("revision", 0) > self.settings.get("revision", 0):
                self.settings = complete
        elif status:
            row["outcome"] = "refused"
        return row

    async def bootstrap(self, limit_s: float = 30.0) -> bool:
        """Send the first configuration; return whether it was acknowledged within `limit_s`."""
        first = self.deployment.first_settings()
        row = await self.send_settings(first, first, 0, what="first", limit_s=limit_s)
        return row["outcome"] == "acked"

    def _next(self, by: int = 0) -> int:
        return self.settings["revision"] + 1 + self.rng.randrange(4) + by

    async def change(self, what: str, complete: bool = False) -> dict[str, Any]:
        """Send a valid change on top of the newest version, as a patch or `complete`.

        `what` is `move` (a route to another service), `split` (a route between two services),
        `timeout`, `add` (a route), `many` (24 routes), `remove` (an added route) or `back` (all
        routes to the first service). If the outcome is unclear or the version was outdated, the
        newest configuration is read.
        """
        base = self.settings["revision"]
        patch = self._patch(what)
        changed = apply_patch(self.settings, patch)
        row = await self.send_settings(
            changed if complete else patch, changed, base, "PUT" if complete else "PATCH", what=what
        )
        if row["outcome"] == "unclear" or row["status"] == 412:
            await self.refresh_settings()
        return row

    def _patch(self, what: str) -> dict[str, Any]:
        kinds = [kind for kind in self.deployment.kinds.values() if kind.route_type != "bulk"]
        kind = self.rng.choice(kinds)
        rows, removed = [], []
        if what == "move":
            rows = [self.deployment.route_row(kind, backend=self.deployment.services[1])]
        elif what == "back":
            rows = [self.deployment.route_row(kind) for kind in kinds]
        elif what == "split":
            row = self.deployment.route_row(
                kind,
                shares=[
                    {"backend": self.deployment.services[0], "share": 80},
                    {"backend": self.deployment.services[1], "share": 20},
                ],
            )
            del row["backend"]
            rows = [row]
        elif what == "timeout":
            rows = [
                self.deployment.route_row(
                    kind, giveUpMs=kind.give_up_ms + 100 * self.rng.randrange(1, 9)
                )
            ]
        elif what == "add":
            rows = [self._extra_route()]
        elif what == "many":
            rows = [self._extra_route() for _ in range(24)]
        elif what == "remove":
            removed = [
                row["name"] for row in self.settings["routes"] if row["name"].startswith("x-")
            ][:1]
        return {"revision": self._next(), "upsert": {"routes": rows}, "remove": {"routes": removed}}

    def _extra_route(self) -> dict[str, Any]:
        number = f"{self.rng.getrandbits(24):06x}"
        return self.deployment.route_row(
            self.deployment.kinds["lookup"], name=f"x-{number}", pathStart=f"/x{number}/"
        )

    async def race(self) -> list[dict[str, Any]]:
        """Send two changes on top of the same version to different nodes; at most one may win."""
        base = self.settings["revision"]
        bodies = [
            {
                "revision": base + 1 + index + self.rng.randrange(3),
                "upsert": {"routes": [self._extra_route()]},
                "remove": {},
            }
            for index in range(2)
        ]
        rows = await asyncio.gather(
            *[
                self.send_settings(
                    body, apply_patch(self.settings, body), base, "PATCH", what="race", start=index
                )
                for index, body in enumerate(bodies)
            ]
        )
        await self.refresh_settings()
        return list(rows)

    async def bad(self) -> list[dict[str, Any]]:
        """Send invalid configurations, one of each kind."""
        return [
            await self.send_settings(
                body,
                body if isinstance(body, dict) and "routes" in body else self.settings,
                base,
                method,
                False,
                what,
                limit_s=6.0,
            )
            for what, method, base, body in self._invalid()
        ]

    def _invalid(self) -> list[tuple[str, str, int, dict[str, Any]]]:
        base, current = self.settings["revision"], copy.deepcopy(self.settings)
        route = current["routes"][0]
        old_number = {**current, "revision": base - 1 if base else 0}
        unknown_service = {
            **current,
            "revision": base + 2,
            "routes": [*current["routes"][1:], {**route, "backend": "nobody", "shares": []}],
        }
        unknown_service["routes"][-1].pop("shares")
        same_place = {
            **current,
            "revision": base + 2,
            "routes": [*current["routes"], {**route, "name": "again"}],
        }
        weightless = {**route, "shares": [{"backend": self.deployment.services[0], "share": 0}]}
        weightless.pop("backend", None)
        no_weight = {
            **current,
            "revision": base + 2,
            "routes": [weightless, *current["routes"][1:]],
        }
        no_time = {
            "revision": base + 2,
            "upsert": {"routes": [{**route, "giveUpMs": 0}]},
            "remove": {},
        }
        stale_base = {**current, "revision": base + 3}
        return [
            ("old-number", "PUT", base, old_number),
            ("unknown-service", "PUT", base, unknown_service),
            ("same-place", "PUT", base, same_place),
            ("no-weight", "PUT", base, no_weight),
            ("no-time", "PATCH", base, no_time),
            ("stale-base", "PUT", max(0, base - 1), stale_base),
        ]

    async def refresh_settings(self) -> None:
        """Read the configuration in force, on which the next change is based."""
        status, data, _ = await self.call("GET", "/vaneledge/settings", limit_s=10.0)
        if status == 200:
            self.settings = json.loads(data)

    async def read_back(self, contact_ms: int, limit_s: float = 15.0) -> dict[str, Any]:
        """Read the configuration repeatedly for `contact_ms` and record the last one read.

        If none was read by then, reading continues until the first one, for `limit_s` in total.
        """
        began_ms, last = self.clock(), (0, b"")
        while self.clock() < began_ms + limit_s * 1000:
            status, data, _ = await self.call("GET", "/vaneledge/settings", limit_s=3.0)
            if status == 200:
                last = (status, data)
            if last[0] and self.clock() > began_ms + contact_ms:
                break
            await asyncio.sleep(0.3)
        settings = None
        if last[0]:
            with contextlib.suppress(ValueError):
                settings = json.loads(last[1])
        return self.history.add("read-back", self.clock(), status=last[0], settings=settings)

    async def retire(self, name: str, over_s: int = 10, limit_s: float = 25.0) -> dict[str, Any]:
        """Order that a store be emptied within `over_s` and poll until it is; return its row."""
        status, _, _ = await self.call(
            "POST", f"/vaneledge/retire/{name}", {"overS": over_s}, limit_s=4.0
        )
        row = self.history.add(
            "retire", self.clock(), node=name, status=status, state="", finished_ms=0.0
        )
        end_ms = self.clock() + limit_s * 1000
        while status in (200, 409, 0) and self.clock() < end_ms:
            poll_status, data, _ = await self.call("GET", f"/vaneledge/retire/{name}", limit_s=2.0)
            if poll_status == 200:
                row["state"] = json.loads(data).get("state", "")
                if row["state"] == "finished":
                    row["finished_ms"] = round(self.clock(), 2)
                    break
            await asyncio.sleep(0.25)
        return row
