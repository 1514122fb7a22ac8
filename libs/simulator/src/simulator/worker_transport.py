"""The simulator's replacement for an edge's sockets to workers.

What the edge's request router sends goes over the simulated network to a simulated worker, and what
the worker writes comes back in parts that need not end where events do. Only sockets are replaced;
requests, the request router, items and handlers are those that serve.
"""

from collections.abc import Callable
from typing import Any

from request_routing import Attempt

from simulator.history import RowKind
from simulator.worker_runs import ReplyPart

__all__ = ["SimSender"]

_CONNECT_MS = 300.0


class SimSender:
    """An edge's sender: a call sends one request to a worker and returns how to abort it."""

    __slots__ = ("_fleet", "_host")

    def __init__(self, fleet: Any, host: Any) -> None:
        self._fleet, self._host = fleet, host

    def __call__(
        self,
        attempt: Attempt,
        address: str,
        kind: str,
        headers: dict[str, str],
        body: dict[str, Any],
        method: str = "POST",
    ) -> Callable[[], None]:
        """Send a request to the worker at `address`; the returned function aborts it."""
        connection = _Connection(self._fleet, self._host, attempt, address)
        self._fleet.history.add(
            RowKind.SENT,
            self._fleet.time.now_ms,
            worker=headers["X-Vaneledge-Worker"],
            transaction=headers["X-Vaneledge-Transaction"],
        )
        connection.open(headers, body)
        return connection.abort


class _Connection:
    """One request on its way to a worker, and the answer."""

    __slots__ = (
        "_address",
        "_attempt",
        "_fleet",
        "_host",
        "_incarnation",
        "_last_ms",
        "_open",
        "_target",
    )

    def __init__(self, fleet: Any, host: Any, attempt: Attempt, address: str) -> None:
        self._fleet, self._host, self._incarnation = fleet, host, host.incarnation
        self._attempt, self._address = attempt, address
        self._target = fleet.worker_at(address)
        self._last_ms = 0.0
        self._open = True

    def open(self, headers: dict[str, str], body: dict[str, Any]) -> None:
        """Deliver the request, or find that nothing listens at the address."""
        time, network = self._fleet.time, self._fleet.network
        if self._target is None or not network.passes(self._host.address, self._address):
            time.after(_CONNECT_MS, lambda: self._arrive(ReplyPart.NO_CONNECTION))
            return
        time.after(
            network.delay(self._host.address, self._address),
            lambda: self._target.call(headers, body, self._reply, lambda: self._open),
        )

    def abort(self) -> None:
        """Close the connection; a worker that watches its connections notices a moment later."""
        was_open, self._open = self._open, False
        target, network = self._target, self._fleet.network
        if was_open and target is not None and target.watches_connections:
            self._fleet.time.after(
                network.delay(self._host.address, self._address), target.check_connections
            )

    def _reply(self, part: ReplyPart, *arguments: Any) -> None:
        """Deliver in order, as on one connection; what is cut off on the way never arrives."""
        time, network = self._fleet.time, self._fleet.network
        if not network.passes(self._address, self._host.address):
            return
        due_ms = time.now_ms + network.delay(self._address, self._host.address)
        self._last_ms = max(self._last_ms, due_ms)
        time.after(self._last_ms - time.now_ms, lambda: self._arrive(part, *arguments))

    def _arrive(self, part: ReplyPart, *arguments: Any) -> None:
        """Hand over what arrived once the edge is awake, if it is still the same process."""
        host, incarnation = self._host, self._incarnation

        def take() -> None:
            if host.up and host.incarnation == incarnation:
                self._handle(part, *arguments)

        host.when_awake(take, incarnation)

    def _handle(self, part: ReplyPart, *arguments: Any) -> None:
        if not self._open:
            return
        if part is ReplyPart.HEAD:
            self._attempt.head(*arguments)
        elif part is ReplyPart.DATA:
            self._deliver(arguments[0])
        elif part is ReplyPart.END:
            self._attempt.end()
        else:
            self._attempt.connection_failed(part.value, part is not ReplyPart.NO_CONNECTION)

    def _deliver(self, data: bytes) -> None:
        """Deliver data in two parts, split at any byte."""
        at = self._fleet.time.rng.randrange(len(data) + 1)
        for part in (data[:at], data[at:]):
            if part:
                self._attempt.data(part)
