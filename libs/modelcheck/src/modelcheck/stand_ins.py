"""What stands around the cores under the explorer in place of parts that are not explored."""

from messaging import Part

__all__ = ["NoFeed", "Trusted"]


class Trusted(Part):
    """Stands where a node's knowledge of its neighbours does: it takes one voter for alive."""

    __slots__ = ("_name",)

    def __init__(self, name: str) -> None:
        self._name = name

    def live(self, name: str) -> bool:
        return name == self._name

    def hears(self, name: str) -> bool:
        return True

    def heard_itself(self, name: str, within_ms: int) -> bool:
        return True


class NoFeed(Part):
    """Stands where the feed does; nobody follows it here."""

    __slots__ = ()

    def publish(self, key: str, number: int, body: str) -> None:
        return None
