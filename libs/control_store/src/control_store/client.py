"""Client with which nodes other than control nodes change and read keys.

It sends a request to the control node that probably owns the key, then to the others in turn. A
change has the same identifier in all attempts, so that a retry gets the result of an attempt whose
reply was lost. The next node is tried while earlier ones may still reply; the first conclusive
reply is used.
"""

from collections.abc import Callable, Iterable
from typing import cast

from messaging import Component, Message

from control_store.messages import Change, ChangeResult, Outcome, ReadKey

__all__ = ["ClientCallback", "ControlClient"]

ClientCallback = Callable[[str, int, str], None]
"""Called with the outcome (a value of `Outcome`), the version and the body."""


class _PendingRequest:
    """A change or read in progress, and the addresses of the control nodes to try in turn.

    It is given up at `due_ms` and sent to the next node at `retry_ms`, both on the node's clock.
    """

    __slots__ = ("addresses", "attempts", "done", "due_ms", "make_message", "retry_ms")

    def __init__(
        self,
        make_message: Callable[[], Change | ReadKey],
        addresses: list[str],
        due_ms: int,
        done: ClientCallback,
    ) -> None:
        self.make_message = make_message
        self.addresses = addresses
        self.due_ms = due_ms
        self.done = done
        self.attempts = 0
        self.retry_ms = 0

    def next_address(self) -> str:
        """Return the address for the next attempt, and count the attempt."""
        address = self.addresses[self.attempts % len(self.addresses)]
        self.attempts += 1
        return address


class ControlClient(Component):
    """Changes and reads control keys on behalf of a node that is not a control node.

    Parameters
    ----------
    addresses
        Returns the link addresses of all known control nodes.
    likely
        Returns the link addresses to try first for a key, most probable owner first.
    """

    __slots__ = ("_addresses", "_likely", "_pending")

    def __init__(
        self,
        addresses: Callable[[], Iterable[str]],
        likely: Callable[[str], list[str]] = lambda key: [],
    ) -> None:
        self._addresses = addresses
        self._likely = likely
        self._pending: list[_PendingRequest] = []

    def change(self, key: str, version: int, body: str, done: ClientCallback) -> None:
        """Replace the value of a key at `version` by `body`.

        `done` gets the outcome, the version and the body. The outcome is DOUBT if no control node
        is known, or after twice force_ms without a conclusive reply.
        """
        change_id = self.node.env.token()
        self._submit(
            key,
            lambda: Change(key=key, version=version, change_id=change_id, body=body, hops=0),
            done,
        )

    def read(self, key: str, done: ClientCallback) -> None:
        """Read a key; `done` is called as for `change`."""
        self._submit(key, lambda: ReadKey(key=key, hops=0), done)

    def _submit(
        self, key: str, make_message: Callable[[], Change | ReadKey], done: ClientCallback
    ) -> None:
        likely = self._likely(key)
        others = [address for address in self._addresses() if address not in likely]
        self.node.env.rng.shuffle(others)
        due_ms = self.node.env.now() + 2 * self.node.settings.force_ms
        request = _PendingRequest(make_message, likely + others, due_ms, done)
        if not request.addresses:
            done(Outcome.DOUBT, 0, "")
            return
        self._pending.append(request)
        self._send(request)

    def _send(self, request: _PendingRequest) -> None:
        settings = self.node.settings
        request.retry_ms = self.node.env.now() + settings.request_timeout_ms // 2
        address = request.next_address()
        attempt = request.attempts
        self.node.request(
            address,
            request.make_message(),
            settings.request_timeout_ms * 2,
            lambda reply: self._replied(request, attempt, reply),
        )

    def _replied(self, request: _PendingRequest, attempt: int, reply: Message | None) -> None:
        if request not in self._pending or reply is None:
            return
        result = cast(ChangeResult, reply)
        if result.outcome not in (Outcome.DOUBT, Outcome.REFUSED):
            self._finish(request, result.outcome, result.version, result.body)
        elif attempt == request.attempts:
            soon_ms = self.node.env.now() + self.node.settings.leader_heartbeat_ms // 2
            request.retry_ms = min(request.retry_ms, soon_ms)

    def _finish(self, request: _PendingRequest, outcome: str, version: int, body: str) -> None:
        self._pending.remove(request)
        request.done(outcome, version, body)

    def tick(self) -> None:
        """Give up overdue requests, and send the others to the next control node when due."""
        now_ms = self.node.env.now()
        for request in list(self._pending):
            if now_ms >= request.due_ms:
                self._finish(request, Outcome.DOUBT, 0, "")
            elif now_ms >= request.retry_ms:
                self._send(request)
