"""How a node that doesn't vote changes and reads keys: it asks live control nodes in turn, naming a
change id, so that asking again after silence learns what became of the first asking."""

from collections.abc import Callable, Iterable

from catalogue.messages import Change, Changed, ReadKey
from vellum import Message, Part

__all__ = ["ControlClient"]

Done = Callable[[str, int, str], None]


class ControlClient(Part):
    __slots__ = ("_addresses",)

    def __init__(self, addresses: Callable[[], Iterable[str]]) -> None:
        self._addresses = addresses

    def change(self, key: str, version: int, body: str, done: Done) -> None:
        change_id = self.node.env.token()
        self._try(lambda: Change(key=key, version=version, change_id=change_id, body=body, hops=0), done)

    def read(self, key: str, done: Done) -> None:
        self._try(lambda: ReadKey(key=key, hops=0), done)

    def _try(self, make: Callable[[], Message], done: Done) -> None:
        due_ms = self.node.env.now() + 2 * self.node.params.force_ms
        order = list(self._addresses())
        self.node.env.rng.shuffle(order)

        def ask(index: int) -> None:
            if self.node.env.now() >= due_ms or not order:
                done("doubt", 0, "")
                return
            self.node.ask(order[index % len(order)], make(), self.node.params.ask_ms * 2,
                          lambda receipt: answered(receipt, index))

        def answered(receipt: Changed | None, index: int) -> None:
            if receipt is None or receipt.outcome in ("doubt", "refused"):
                ask(index + 1)
            else:
                done(receipt.outcome, receipt.version, receipt.body)

        ask(0)
