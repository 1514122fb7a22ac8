"""Client for nodes that are not voters: changes and reads keys through the control nodes.

It asks the control node that probably owns the key, then the others in turn. A change carries one
identifier in all attempts, so that a retry after silence learns what became of the first one. The
next node is asked while the one before may still reply; the first conclusive reply counts.
"""

from collections.abc import Callable, Iterable

from messaging import Component, Message

from control_store.messages import Change, ChangeResult, ReadKey

__all__ = ["ControlClient"]

Done = Callable[[str, int, str], None]


class _Asking:
    """A change or read in progress, with the control nodes to ask in turn."""

    __slots__ = ("done", "due_ms", "make", "next_ms", "order", "sends")

    def __init__(
        self, make: Callable[[], Message], order: list[str], due_ms: int, done: Done
    ) -> None:
        self.make = make
        self.order = order
        self.due_ms = due_ms
        self.done = done
        self.sends = 0
        self.next_ms = 0


class ControlClient(Component):
    """Changes and reads control keys on behalf of a node that is not a voter.

    `addresses` gives the link addresses of all known control nodes. `likely` gives addresses for a
    key, the first of which is most likely its owner's.
    """

    __slots__ = ("_addresses", "_askings", "_likely")

    def __init__(
        self,
        addresses: Callable[[], Iterable[str]],
        likely: Callable[[str], list[str]] = lambda key: [],
    ) -> None:
        self._addresses = addresses
        self._likely = likely
        self._askings: list[_Asking] = []

    def change(self, key: str, version: int, body: str, done: Done) -> None:
        """Replace `version` of a key by `body`; `done` gets the outcome, the version and the body.

        The outcome is a value of `Outcome`; "doubt" after twice force_ms without a conclusive
        reply.
        """
        change_id = self.node.env.token()
        self._begin(
            key,
            lambda: Change(key=key, version=version, change_id=change_id, body=body, hops=0),
            done,
        )

    def read(self, key: str, done: Done) -> None:
        """Read a key; `done` gets the outcome, the version and the body, as for `change`."""
        self._begin(key, lambda: ReadKey(key=key, hops=0), done)

    def _begin(self, key: str, make: Callable[[], Message], done: Done) -> None:
        likely = self._likely(key)
        others = [address for address in self._addresses() if address not in likely]
        self.node.env.rng.shuffle(others)
        asking = _Asking(
            make, likely + others, self.node.env.now() + 2 * self.node.settings.force_ms, done
        )
        if not asking.order:
            done("doubt", 0, "")
            return
        self._askings.append(asking)
        self._send(asking)

    def _send(self, asking: _Asking) -> None:
        settings, now_ms = self.node.settings, self.node.env.now()
        asking.next_ms = now_ms + settings.request_timeout_ms // 2
        address = asking.order[asking.sends % len(asking.order)]
        asking.sends += 1
        number = asking.sends

        def answered(receipt: ChangeResult | None) -> None:
            if asking not in self._askings:
                return
            if receipt is not None and receipt.outcome not in ("doubt", "refused"):
                self._finish(asking, receipt.outcome, receipt.version, receipt.body)
            elif receipt is not None and number == asking.sends:
                asking.next_ms = min(
                    asking.next_ms, self.node.env.now() + settings.leader_heartbeat_ms // 2
                )

        self.node.request(address, asking.make(), settings.request_timeout_ms * 2, answered)

    def _finish(self, asking: _Asking, outcome: str, version: int, body: str) -> None:
        self._askings.remove(asking)
        asking.done(outcome, version, body)

    def tick(self) -> None:
        """Give up overdue requests, and send the others to the next control node if due."""
        now_ms = self.node.env.now()
        for asking in list(self._askings):
            if now_ms >= asking.due_ms:
                self._finish(asking, "doubt", 0, "")
            elif now_ms >= asking.next_ms:
                self._send(asking)
