"""The simulator's sockets: a send of the edge's carrier goes over the simulated network to a simulated
worker, and what the worker writes comes back in pieces that need not end where events do. Only sockets
are replaced here; the chart, the carrier, the items and the counter are those that serve.
"""

from collections.abc import Callable
from typing import Any

from circulation import Send

__all__ = ["SimSender"]

_CONNECT_MS = 300.0


class SimSender:
    __slots__ = ("_fleet", "_host")

    def __init__(self, fleet: Any, host: Any) -> None:
        self._fleet, self._host = fleet, host

    def __call__(
        self, send: Send, address: str, kind: str, headers: dict[str, str], body: dict[str, Any]
    ) -> Callable[[], None]:
        fleet, host, life = self._fleet, self._host, self._host.life
        time, network = fleet.time, fleet.network
        target = fleet.worker_at(address)
        state = {"last_ms": 0.0, "open": True}

        def here(what: Callable[[], None]) -> None:
            host.when_awake(lambda: what() if host.up and host.life == life else None, life)

        def reply(what: str, *args: Any) -> None:
            """In order, as on one connection; what is cut off on the way is never heard of."""
            if not network.passes(address, host.address):
                return
            state["last_ms"] = max(
                state["last_ms"], time.now_ms + network.delay(address, host.address)
            )
            time.after(state["last_ms"] - time.now_ms, lambda: here(lambda: arrived(what, *args)))

        def arrived(what: str, *args: Any) -> None:
            if not state["open"]:
                return
            if what == "head":
                send.head(*args)
            elif what == "data":
                at = time.rng.randrange(len(args[0]) + 1)
                for part in (args[0][:at], args[0][at:]):
                    if part:
                        send.data(part)
            elif what == "end":
                send.end()
            else:
                send.broke(what, what != "no connection")

        def abort() -> None:
            """A worker that looks at its connections finds this one closed a moment later."""
            was, state["open"] = state["open"], False
            if was and target is not None and target.watches:
                time.after(network.delay(host.address, address), target.look)

        fleet.history.add(
            "send",
            time.now_ms,
            worker=headers["X-Vaneledge-Worker"],
            transaction=headers["X-Vaneledge-Transaction"],
        )
        if target is None or not network.passes(host.address, address):
            time.after(_CONNECT_MS, lambda: here(lambda: arrived("no connection")))
        else:
            time.after(
                network.delay(host.address, address),
                lambda: target.call(headers, body, reply, lambda: state["open"]),
            )
        return abort
