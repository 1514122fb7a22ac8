"""The service that runs one node in a process, with its connections and its clock.

Components never block: functions that take time report their result to a callback. Coroutines wait
for such a result with `awaited`.
"""

import asyncio
import random
import secrets
from collections.abc import Callable
from typing import Any

from mode import Service
from runtime import boot_ms, log, wall_ms
from runtime.settings import Settings

from messaging.components import Node
from messaging.links import LinkTransport
from messaging.message import Message

__all__ = ["NodeRunner", "ProcessEnvironment", "awaited"]

_TOKEN_BYTES = 6
_MIN_TICK_MS = 5
_TICKS_PER_DELTA = 2
_TICKS_PER_HEARTBEAT = 8


class ProcessEnvironment:
    """The environment of a node in a real process; see `messaging.Environment`."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.rng = random.Random()
        self.transport: LinkTransport | None = None

    def now(self) -> int:
        """Return the time since boot in milliseconds."""
        return boot_ms()

    def wall(self) -> int:
        """Return the wall-clock time in milliseconds since the Unix epoch."""
        return wall_ms()

    def token(self) -> str:
        """Return 12 random hexadecimal digits."""
        return secrets.token_hex(_TOKEN_BYTES)

    def send(self, to: str, request_id: int, in_reply_to: int, message: Message) -> None:
        """Send a message; it is dropped if no transport is set yet."""
        if self.transport is not None:
            self.transport.send(to, request_id, in_reply_to, message)

    def log(self, event: str, level: str = "INFO", **fields: Any) -> None:
        """Write one log line as a JSON object."""
        log(event, level, **fields)


def awaited(start: Callable[[Callable[[Any], None]], Any]) -> asyncio.Future[Any]:
    """Return a future for the result of a function that reports it to a callback.

    `start` is called with the callback. Calls of the callback after the first are ignored.
    """
    future = asyncio.get_running_loop().create_future()

    def done(value: Any) -> None:
        if not future.done():
            future.set_result(value)

    start(done)
    return future


class NodeRunner(Service):
    """Runs a node: delivers its messages and calls its `tick` at regular intervals.

    `worst_tick_ms` is the longest duration of a tick so far. An error in a tick is logged and
    crashes the service.
    """

    def __init__(
        self, node: Node, env: ProcessEnvironment, transport: LinkTransport | None = None
    ) -> None:
        super().__init__()
        self.node = node
        self.worst_tick_ms = 0
        self._tick_ms = _tick_interval_ms(node.settings)
        self._transport = transport or LinkTransport(
            env.address, node.settings.request_timeout_ms, node.receive
        )
        env.transport = self._transport
        self._transport.on_refused = self._connection_refused
        self._transport.on_closed = self._connection_closed

    def _connection_refused(self, address: str) -> None:
        for component in self.node.components:
            component.connection_refused(address)

    def _connection_closed(self, address: str) -> None:
        for component in self.node.components:
            component.connection_closed(address)

    async def on_start(self) -> None:
        """Start the transport and the periodic ticks."""
        await self.add_runtime_dependency(self._transport)
        self.add_future(self._run())

    async def _run(self) -> None:
        while not self.should_stop:
            started_ms = boot_ms()
            try:
                self.node.tick()
            except Exception as error:
                log("tick-failed", "ERROR", reason=repr(error))
                raise
            took_ms = boot_ms() - started_ms
            self.worst_tick_ms = max(self.worst_tick_ms, took_ms)
            await asyncio.sleep(max(1, self._tick_ms - took_ms) / 1000)


def _tick_interval_ms(settings: Settings) -> int:
    """Return the interval between the starts of two ticks.

    There are at least two ticks in `delta_ms` and eight in `heartbeat_ms`, unless the interval
    would be shorter than 5 ms.
    """
    of_delta_ms: int = settings.delta_ms // _TICKS_PER_DELTA
    of_heartbeat_ms: int = settings.heartbeat_ms // _TICKS_PER_HEARTBEAT
    return max(_MIN_TICK_MS, min(of_delta_ms, of_heartbeat_ms))
