"""Stubs of the control node's components that are not explored."""

from messaging import Component

__all__ = ["FixedFailureDetector", "NullConfigFeed"]


class FixedFailureDetector(Component):
    """A stub failure detector that reports exactly one voter as live."""

    __slots__ = ("_name",)

    def __init__(self, name: str) -> None:
        self._name = name

    def is_live(self, name: str) -> bool:
        """Whether `name` is the one voter that is reported as live."""
        return name == self._name

    def has_majority_contact(self, name: str) -> bool:
        """Whether a node reports contact with a majority of the voters: always."""
        return True

    def is_heard_directly(self, name: str, within_ms: int) -> bool:
        """Whether a node sent a message within the time: always."""
        return True


class NullConfigFeed(Component):
    """A stub of the config feed that sends nothing."""

    __slots__ = ()

    def publish(self, key: str, number: int, body: str) -> None:
        """Discard a new version of a key."""
