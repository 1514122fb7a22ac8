"""The platform's operator.

It sends the first configuration until it is taken, then changes, whole or as a patch, at times two
at once or invalid ones, orders stores to be emptied, and reads the configuration back when the day
ends.
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

__all__ = ["Operator", "patched"]

_FINAL = (400, 409, 412, 413, 422)


def patched(settings: dict[str, Any], change: dict[str, Any]) -> dict[str, Any]:
    """Return what a patch makes of a configuration."""
    made = copy.deepcopy(settings)
    made["revision"] = change["revision"]
    for part, rows in change.get("upsert", {}).items():
        by_name = {row["name"]: row for row in rows}
        held = [by_name.pop(row["name"], row) for row in made.get(part, [])]
        made[part] = held + list(by_name.values())
    for part, names in change.get("remove", {}).items():
        made[part] = [row for row in made.get(part, []) if row["name"] not in names]
    return made


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

    # -- calls ---------------------------------------------------------------------------------

    async def _once(
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
        """Call one control node after another until one gives a clear answer.

        Pauses between attempts grow up to 1 s. Return status, body and node; status 0 means that
        there was no clear answer within `limit_s`.
        """
        end_ms, pause_s, others = self.clock() + limit_s * 1000, 0.05, 0
        place = self.rng.randrange(1000) if start is None else start
        while self.clock() < end_ms:
            nodes = self.fleet.published_control_addresses()
            node = nodes[place % len(nodes)]
            place += 1
            try:
                status, data = await self._once(node, method, path, body, headers or {})
                if 200 <= status < 300 or status in _FINAL:
                    return status, data, node
                others += 400 <= status < 500 and status not in (408, 429)
                if others >= 3:
                    return status, data, node
            except (aiohttp.ClientError, OSError, TimeoutError, KeyError):
                pass
            await asyncio.sleep(min(pause_s, max(0.0, end_ms - self.clock()) / 1000))
            pause_s = min(1.0, pause_s * 1.6)
        return 0, b"", ""

    # -- configurations ------------------------------------------------------------------------

    async def order(
        self,
        body: dict[str, Any],
        whole: dict[str, Any],
        base: int,
        method: str = "PUT",
        valid: bool = True,
        what: str = "",
        limit_s: float = 20.0,
        start: int | None = None,
    ) -> dict[str, Any]:
        """Send a configuration on top of version `base` and return its row.

        `body` is what is sent, `whole` the configuration that it makes, `valid` whether it has to
        be taken. The row's outcome is `acked`, `refused` or `unclear`.
        """
        self._count += 1
        row = self.history.add(
            "order",
            self.clock(),
            name=f"o{self._count}",
            revision=body.get("revision", 0),
            base=base,
            settings=whole,
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
                self.settings = whole
        elif status:
            row["outcome"] = "refused"
        return row

    async def found(self, limit_s: float = 30.0) -> bool:
        """Send the first configuration; return whether it was acknowledged."""
        first = self.deployment.first_settings()
        row = await self.order(first, first, 0, what="first", limit_s=limit_s)
        return row["outcome"] == "acked"

    def _next(self, by: int = 0) -> int:
        return self.settings["revision"] + 1 + self.rng.randrange(4) + by

    async def change(self, what: str, whole: bool = False) -> dict[str, Any]:
        """Send a valid change on top of the newest version, whole or as a patch.

        `what` is `move`, `split`, `timeout`, `add`, `many`, `remove` or `back`.
        """
        base = self.settings["revision"]
        patch = self._patch(what)
        made = patched(self.settings, patch)
        row = await self.order(
            made if whole else patch, made, base, "PUT" if whole else "PATCH", what=what
        )
        if row["outcome"] == "unclear" or row["status"] == 412:
            await self.catch_up()
        return row

    def _patch(self, what: str) -> dict[str, Any]:
        kinds = [kind for kind in self.deployment.kinds.values() if kind.route_type != "bulk"]
        kind = self.rng.choice(kinds)
        rows, gone = [], []
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
            gone = [row["name"] for row in self.settings["routes"] if row["name"].startswith("x-")][
                :1
            ]
        return {"revision": self._next(), "upsert": {"routes": rows}, "remove": {"routes": gone}}

    def _extra_route(self) -> dict[str, Any]:
        number = f"{self.rng.getrandbits(24):06x}"
        return self.deployment.route_row(
            self.deployment.kinds["lookup"], name=f"x-{number}", pathStart=f"/x{number}/"
        )

    async def race(self) -> list[dict[str, Any]]:
        """Send two changes on top of the same version at different nodes; one may win."""
        base = self.settings["revision"]
        bodies = [
            {
                "revision": base + 1 + place + self.rng.randrange(3),
                "upsert": {"routes": [self._extra_route()]},
                "remove": {},
            }
            for place in range(2)
        ]
        rows = await asyncio.gather(
            *[
                self.order(
                    body, patched(self.settings, body), base, "PATCH", what="race", start=place
                )
                for place, body in enumerate(bodies)
            ]
        )
        await self.catch_up()
        return list(rows)

    async def bad(self) -> list[dict[str, Any]]:
        """Send invalid configurations, each of another kind."""
        return [
            await self.order(
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
        base, made = self.settings["revision"], copy.deepcopy(self.settings)
        route = made["routes"][0]
        old = {**made, "revision": base - 1 if base else 0}
        unknown = {
            **made,
            "revision": base + 2,
            "routes": [*made["routes"][1:], {**route, "backend": "nobody", "shares": []}],
        }
        unknown["routes"][-1].pop("shares")
        twice = {
            **made,
            "revision": base + 2,
            "routes": [*made["routes"], {**route, "name": "again"}],
        }
        weightless = {**route, "shares": [{"backend": self.deployment.services[0], "share": 0}]}
        weightless.pop("backend", None)
        nothing = {**made, "revision": base + 2, "routes": [weightless, *made["routes"][1:]]}
        at_once = {
            "revision": base + 2,
            "upsert": {"routes": [{**route, "giveUpMs": 0}]},
            "remove": {},
        }
        stale = {**made, "revision": base + 3}
        return [
            ("old-number", "PUT", base, old),
            ("unknown-service", "PUT", base, unknown),
            ("same-place", "PUT", base, twice),
            ("no-weight", "PUT", base, nothing),
            ("no-time", "PATCH", base, at_once),
            ("stale-base", "PUT", max(0, base - 1), stale),
        ]

    async def catch_up(self) -> None:
        """Read the configuration in force, which the next change builds on."""
        status, data, _ = await self.call("GET", "/vaneledge/settings", limit_s=10.0)
        if status == 200:
            self.settings = json.loads(data)

    async def read_back(self, contact_ms: int, limit_s: float = 15.0) -> dict[str, Any]:
        """Read the configuration for `contact_ms`, longer until one comes; record the last one.

        Reading ends after `limit_s` at the latest.
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

    # -- stores to be emptied ------------------------------------------------------------------

    async def retire(self, name: str, over_s: int = 10, limit_s: float = 25.0) -> dict[str, Any]:
        """Order a store to be emptied within `over_s` and follow it to the end; return its row."""
        status, _, _ = await self.call(
            "POST", f"/vaneledge/retire/{name}", {"overS": over_s}, limit_s=4.0
        )
        row = self.history.add(
            "retire", self.clock(), node=name, status=status, state="", finished_ms=0.0
        )
        end_ms = self.clock() + limit_s * 1000
        while status in (200, 409, 0) and self.clock() < end_ms:
            seen, data, _ = await self.call("GET", f"/vaneledge/retire/{name}", limit_s=2.0)
            if seen == 200:
                row["state"] = json.loads(data).get("state", "")
                if row["state"] == "finished":
                    row["finished_ms"] = round(self.clock(), 2)
                    break
            await asyncio.sleep(0.25)
        return row
