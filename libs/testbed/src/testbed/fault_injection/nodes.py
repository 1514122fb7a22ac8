"""The programs' own processes with fault injection around them.

Only what touches the outside is replaced: the clock, the disk, the links, and an edge's sender.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from control_plane.process import ControlProcess
from data_plane.edge_process import EdgeProcess
from data_plane.process import run_process
from data_plane.sender import HttpSender
from data_plane.store_process import StoreProcess
from messaging import Message
from messaging.links import LinkTransport
from messaging.node_runner import ProcessEnvironment
from request_routing import Attempt
from runtime import Settings

from testbed.fault_injection.disks import PowerDisk
from testbed.fault_injection.injected_faults import InjectedFaults

__all__ = ["run_node"]

_POLL_S = 0.02


class _Env(ProcessEnvironment):
    def __init__(self, address: str, faults: InjectedFaults) -> None:
        super().__init__(address)
        self._faults = faults

    def wall(self) -> int:
        return super().wall() + self._faults.step_ms


class _Links(LinkTransport):
    """Drops messages that a cut stops, loses some, and delays those on slow links."""

    def __init__(
        self,
        address: str,
        wait_ms: int,
        deliver: Callable[[str, int, int, Message], None],
        faults: InjectedFaults,
    ) -> None:
        super().__init__(
            address,
            wait_ms,
            lambda sender, *rest: deliver(sender, *rest) if faults.lets_in(sender) else None,
        )
        self._faults = faults
        self._rng = random.Random()

    def send(self, to: str, request_id: int, in_reply_to: int, message: Message) -> None:
        faults = self._faults
        if not faults.lets_out(to) or (to != self._address and self._rng.random() < faults.loss):
            return
        if to == self._address or not faults.wait_ms(to):
            super().send(to, request_id, in_reply_to, message)
        else:
            asyncio.get_running_loop().call_later(
                faults.wait_ms(to) / 1000, super().send, to, request_id, in_reply_to, message
            )


class _Held:
    """Holds a worker's answer back during a cut, as sockets do, until the cut is over."""

    def __init__(self, send: Attempt, address: str, faults: InjectedFaults) -> None:
        self._send, self._address, self._faults = send, address, faults
        self._rows: list[tuple[str, tuple[Any, ...]]] = []

    def _tell(self, name: str, *values: Any) -> None:
        self._rows.append((name, values))
        if len(self._rows) == 1:
            self._pass_on()

    def _pass_on(self) -> None:
        while (
            self._rows
            and self._faults.lets_in(self._address)
            and self._faults.lets_out(self._address)
        ):
            name, values = self._rows.pop(0)
            getattr(self._send, name)(*values)
        if self._rows:
            asyncio.get_running_loop().call_later(_POLL_S, self._pass_on)

    def head(self, *values: Any) -> None:
        """Pass the head of the answer on once the link is open."""
        self._tell("head", *values)

    def data(self, chunk: bytes) -> None:
        """Pass a chunk on once the link is open."""
        self._tell("data", chunk)

    def end(self) -> None:
        """Pass the end on once the link is open."""
        self._tell("end")

    def connection_failed(self, *values: Any) -> None:
        """Pass the failure on once the link is open."""
        self._tell("connection_failed", *values)


class _Sender(HttpSender):
    __slots__ = ("_connect_ms", "_faults")

    def __init__(self, connect_ms: int, faults: InjectedFaults) -> None:
        super().__init__(connect_ms)
        self._connect_ms, self._faults = connect_ms, faults

    def __call__(
        self,
        send: Attempt,
        address: str,
        kind: str,
        headers: dict[str, str],
        body: dict[str, Any],
        method: str = "POST",
    ) -> Callable[[], None]:
        if not (self._faults.lets_out(address) and self._faults.lets_in(address)):
            return (
                asyncio.get_running_loop()
                .call_later(self._connect_ms / 1000, send.connection_failed, "no connection", False)
                .cancel
            )
        return super().__call__(
            _Held(send, address, self._faults), address, kind, headers, body, method
        )


def _surrounded(base: type, faults: InjectedFaults, seed: int) -> type:
    class Surrounded(base):
        def make_environment(self) -> _Env:
            return _Env(self.settings.link, faults)

        def make_transport(self, deliver: Any) -> _Links:
            return _Links(self.settings.link, self.settings.request_timeout_ms, deliver, faults)

        def make_sender(self) -> _Sender:
            return _Sender(self.settings.request_timeout_ms, faults)

        def open_disk(self) -> PowerDisk:
            self.disk = PowerDisk(super().open_disk(), seed)
            return self.disk

        async def on_start(self) -> None:
            await super().on_start()
            self.add_future(faults.follow())

    return Surrounded


def run_node(
    settings: Settings, path: str, flags: dict[str, Any], faults: InjectedFaults, seed: int
) -> None:
    """Run the program of the role in `settings` until it ends.

    `path` and `flags` are where the settings came from; `seed` draws which unflushed writes
    survive.
    """
    base = {"edge": EdgeProcess, "store": StoreProcess, "control": ControlProcess}[settings.role]
    run_process(_surrounded(base, faults, seed), settings, path, flags)
