"""What the log needs of the node around it."""

from collections.abc import Callable
from typing import Protocol

from replicated_log.configuration import MemberRow

__all__ = ["CHANGE_DONE", "ChangeCallback", "FleetView", "KeyClient"]

ChangeCallback = Callable[[str, int, str], None]

CHANGE_DONE = "ok"
"""The outcome of a change of a control key that was made."""


class KeyClient(Protocol):
    """Changes control keys by compare-and-set (`control_store.ControlClient`)."""

    def change(self, key: str, version: int, body: str, done: ChangeCallback) -> None:
        """Replace `version` of a key by `body`.

        `done` gets the outcome and, if known, the version and the body in force.
        """
        ...


class FleetView(Protocol):
    """What this store knows about the fleet."""

    def log_key(self) -> tuple[int, str]:
        """Return the version and the body of the log's control key, as far as they have come."""
        ...

    def store_rows(self) -> list[MemberRow]:
        """Return the live stores, this one among them, ordered by identity."""
        ...

    def retired_stores(self) -> list[str]:
        """Return the identities of the stores that are to leave."""
        ...

    def knows_fleet(self) -> bool:
        """Whether this store is up long enough to know who lives, and hears a control majority."""
        ...

    def learned(self, number: int, body: str) -> None:
        """Take the log's control key in a version that control has told this store itself."""
        ...
