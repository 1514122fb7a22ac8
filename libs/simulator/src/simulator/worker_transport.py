"""The simulator's replacement for an edge's connections to workers.

Requests of the edge's request router go over the simulated network to simulated workers, and the
data of responses comes back in parts that are split at any byte, also within events. Only the
connections are simulated; request router and handlers are the production code.
"""

from collections.abc import Callable
from typing import Any

from request_routing import Attempt

from simulator.history import RowKind
from simulator.worker_runs import ReplyPart

__all__ = ["SimSender"]

_CONNECT_TIMEOUT_MS = 300.0


class SimSender:
    """Sends an edge's requests to simulated workers; implements `AttemptTransport`."""

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
        """Send a request to the worker at `address`, and return a function that aborts it."""
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
    """The connection for one request and its response."""

    __slots__ = (
        "_address",
        "_attempt",
        "_fleet",
        "_host",
        "_incarnation",
        "_last_ms",
        "_open",
        "_worker",
    )

    def __init__(self, fleet: Any, host: Any, attempt: Attempt, address: str) -> None:
        self._fleet, self._host, self._incarnation = fleet, host, host.incarnation
        self._attempt, self._address = attempt, address
        self._worker = fleet.worker_at(address)
        self._last_ms = 0.0
        self._open = True

    def open(self, headers: dict[str, str], body: dict[str, Any]) -> None:
        """Deliver the request after the network delay.

        If no worker listens at the address or the network is partitioned, the attempt fails after
        300 ms.
        """
        time, network = self._fleet.time, self._fleet.network
        if self._worker is None or not network.passes(self._host.address, self._address):
            time.after(_CONNECT_TIMEOUT_MS, lambda: self._arrive(ReplyPart.NO_CONNECTION))
            return
        time.after(
            network.delay(self._host.address, self._address),
            lambda: self._worker.call(headers, body, self._reply, lambda: self._open),
        )

    def abort(self) -> None:
        """Close the connection.

        A worker that watches its connections notices this after the network delay.
        """
        was_open, self._open = self._open, False
        target, network = self._worker, self._fleet.network
        if was_open and target is not None and target.watches_connections:
            self._fleet.time.after(
                network.delay(self._host.address, self._address), target.check_connections
            )

    def _reply(self, part: ReplyPart, *arguments: Any) -> None:
        """Deliver a part of the response after the network delay, in order with the others.

        It is lost if the network is partitioned when it is sent.
        """
        time, network = self._fleet.time, self._fleet.network
        if not network.passes(self._address, self._host.address):
            return
        due_ms = time.now_ms + network.delay(self._address, self._host.address)
        self._last_ms = max(self._last_ms, due_ms)
        time.after(self._last_ms - time.now_ms, lambda: self._arrive(part, *arguments))

    def _arrive(self, part: ReplyPart, *arguments: Any) -> None:
        """Handle a part of the response once the edge is awake, unless its process has ended."""
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
        """Pass data on in two parts, split at a random byte."""
        at = self._fleet.time.rng.randrange(len(data) + 1)
        for part in (data[:at], data[at:]):
            if part:
                self._attempt.data(part)
