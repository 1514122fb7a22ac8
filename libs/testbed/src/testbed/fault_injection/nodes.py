"""Runs a node's own process with fault injection.

Only the interfaces to the outside are replaced: the wall clock, the disk, the links to other nodes,
and the sender of an edge's requests to workers.
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

from testbed.fault_injection.disks import PowerLossDisk
from testbed.fault_injection.injected_faults import InjectedFaults

__all__ = ["run_node"]

_POLL_S = 0.02


class _SteppedEnvironment(ProcessEnvironment):
    def __init__(self, address: str, faults: InjectedFaults) -> None:
        super().__init__(address)
        self._faults = faults

    def wall(self) -> int:
        return super().wall() + self._faults.step_ms


class _FaultyLinks(LinkTransport):
    """Drops messages that are cut off or drawn to be lost, and delays those of slow processes."""

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
            lambda sender, *rest: (
                deliver(sender, *rest) if faults.can_receive_from(sender) else None
            ),
        )
        self._faults = faults
        self._rng = random.Random()

    def send(self, to: str, request_id: int, in_reply_to: int, message: Message) -> None:
        faults = self._faults
        if not faults.can_send_to(to) or (to != self._address and self._rng.random() < faults.loss):
            return
        if to == self._address or not faults.delay_ms(to):
            super().send(to, request_id, in_reply_to, message)
        else:
            asyncio.get_running_loop().call_later(
                faults.delay_ms(to) / 1000, super().send, to, request_id, in_reply_to, message
            )


class _HeldResponse:
    """Holds a worker's response back until a cut is over, as a TCP connection does."""

    def __init__(self, send: Attempt, address: str, faults: InjectedFaults) -> None:
        self._send, self._address, self._faults = send, address, faults
        self._pending: list[tuple[str, tuple[Any, ...]]] = []

    def _enqueue(self, name: str, *values: Any) -> None:
        self._pending.append((name, values))
        if len(self._pending) == 1:
            self._deliver()

    def _deliver(self) -> None:
        while (
            self._pending
            and self._faults.can_receive_from(self._address)
            and self._faults.can_send_to(self._address)
        ):
            name, values = self._pending.pop(0)
            getattr(self._send, name)(*values)
        if self._pending:
            asyncio.get_running_loop().call_later(_POLL_S, self._deliver)

    def head(self, *values: Any) -> None:
        """Pass the head of the response on, once there is no cut."""
        self._enqueue("head", *values)

    def data(self, chunk: bytes) -> None:
        """Pass a chunk of the response on, once there is no cut."""
        self._enqueue("data", chunk)

    def end(self) -> None:
        """Pass the end of the response on, once there is no cut."""
        self._enqueue("end")

    def connection_failed(self, *values: Any) -> None:
        """Pass the failure of the connection on, once there is no cut."""
        self._enqueue("connection_failed", *values)


class _FaultySender(HttpSender):
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
        if not (self._faults.can_send_to(address) and self._faults.can_receive_from(address)):
            return (
                asyncio.get_running_loop()
                .call_later(self._connect_ms / 1000, send.connection_failed, "no connection", False)
                .cancel
            )
        return super().__call__(
            _HeldResponse(send, address, self._faults), address, kind, headers, body, method
        )


def _with_faults(base: type, faults: InjectedFaults, seed: int) -> type:
    class FaultyProcess(base):
        def make_environment(self) -> _SteppedEnvironment:
            return _SteppedEnvironment(self.settings.link, faults)

        def make_transport(self, deliver: Any) -> _FaultyLinks:
            return _FaultyLinks(
                self.settings.link, self.settings.request_timeout_ms, deliver, faults
            )

        def make_sender(self) -> _FaultySender:
            return _FaultySender(self.settings.request_timeout_ms, faults)

        def open_disk(self) -> PowerLossDisk:
            self.disk = PowerLossDisk(super().open_disk(), seed)
            return self.disk

        async def on_start(self) -> None:
            await super().on_start()
            self.add_future(faults.follow())

    return FaultyProcess


def run_node(
    settings: Settings, path: str, flags: dict[str, Any], faults: InjectedFaults, seed: int
) -> None:
    """Run the process of the role in `settings` until it ends.

    Parameters
    ----------
    path, flags
        The file and the command-line flags that the settings were read from.
    seed
        Draws which unflushed writes reach the disk early.
    """
    base = {"edge": EdgeProcess, "store": StoreProcess, "control": ControlProcess}[settings.role]
    run_process(_with_faults(base, faults, seed), settings, path, flags)
