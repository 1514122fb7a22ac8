"""Stubs of the components that are not explored."""

from messaging import Component

__all__ = ["FixedFailureDetector", "NullConfigFeed"]


class FixedFailureDetector(Component):
    """A stub failure detector that takes exactly one voter for live."""

    __slots__ = ("_name",)

    def __init__(self, name: str) -> None:
        self._name = name

    def is_live(self, name: str) -> bool:
        """Whether `name` is the one voter that is taken for live."""
        return name == self._name

    def has_majority_contact(self, name: str) -> bool:
        """Whether a node is in contact with a majority: always."""
        return True

    def is_heard_directly(self, name: str, within_ms: int) -> bool:
        """Return that the voter's own heartbeats arrive, whatever the time asked for."""
        return True


class NullConfigFeed(Component):
    """A stub of the config feed without followers."""

    __slots__ = ()

    def publish(self, key: str, number: int, body: str) -> None:
        """Discard the version."""
