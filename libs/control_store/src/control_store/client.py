"""How a node that doesn't vote changes and reads keys: it asks the control node whose duty the key should be, as far as
it knows, then the others in turn, naming a change id, so that asking again after silence learns what became of
the first asking. The next one is asked while the one before may still answer; the first word that is sure counts.
"""

from collections.abc import Callable, Iterable

from messaging import Message, Part

from control_store.messages import Change, Changed, ReadKey

__all__ = ["ControlClient"]

Done = Callable[[str, int, str], None]


class _Asking:
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


class ControlClient(Part):
    """`likely` gives addresses for a key, the first of which probably has the duty."""

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
        change_id = self.node.env.token()
        self._begin(
            key,
            lambda: Change(key=key, version=version, change_id=change_id, body=body, hops=0),
            done,
        )

    def read(self, key: str, done: Done) -> None:
        self._begin(key, lambda: ReadKey(key=key, hops=0), done)

    def _begin(self, key: str, make: Callable[[], Message], done: Done) -> None:
        likely = self._likely(key)
        others = [address for address in self._addresses() if address not in likely]
        self.node.env.rng.shuffle(others)
        asking = _Asking(
            make, likely + others, self.node.env.now() + 2 * self.node.params.force_ms, done
        )
        if not asking.order:
            done("doubt", 0, "")
            return
        self._askings.append(asking)
        self._send(asking)

    def _send(self, asking: _Asking) -> None:
        params, now_ms = self.node.params, self.node.env.now()
        asking.next_ms = now_ms + params.ask_ms // 2
        address = asking.order[asking.sends % len(asking.order)]
        asking.sends += 1
        number = asking.sends

        def answered(receipt: Changed | None) -> None:
            if asking not in self._askings:
                return
            if receipt is not None and receipt.outcome not in ("doubt", "refused"):
                self._finish(asking, receipt.outcome, receipt.version, receipt.body)
            elif receipt is not None and number == asking.sends:
                asking.next_ms = min(asking.next_ms, self.node.env.now() + params.pulse_ms // 2)

        self.node.ask(address, asking.make(), params.ask_ms * 2, answered)

    def _finish(self, asking: _Asking, outcome: str, version: int, body: str) -> None:
        self._askings.remove(asking)
        asking.done(outcome, version, body)

    def tick(self) -> None:
        now_ms = self.node.env.now()
        for asking in list(self._askings):
            if now_ms >= asking.due_ms:
                self._finish(asking, "doubt", 0, "")
            elif now_ms >= asking.next_ms:
                self._send(asking)
