"""Interfaces of the surrounding store node that the replicated log uses."""

from collections.abc import Callable
from typing import Protocol

from replicated_log.configuration import MemberRow

__all__ = ["CHANGE_DONE", "ChangeCallback", "FleetView", "KeyClient"]

ChangeCallback = Callable[[str, int, str], None]

CHANGE_DONE = "ok"
"""The outcome of a successful change of a control key."""


class KeyClient(Protocol):
    """A client that changes control keys by compare-and-set (`control_store.ControlClient`)."""

    def change(self, key: str, version: int, body: str, done: ChangeCallback) -> None:
        """Replace `version` of a key by `body`.

        `done` is called with the outcome and with the version and body now in force; the version is
        0 if they aren't known.
        """
        ...


class FleetView(Protocol):
    """The view that one store has of the fleet."""

    def log_key(self) -> tuple[int, str]:
        """Return the latest version and body of the log's control key that this store received."""
        ...

    def store_rows(self) -> list[MemberRow]:
        """Return the live stores, including this one, ordered by identity."""
        ...

    def retired_stores(self) -> list[str]:
        """Return the identities of the stores that are being retired."""
        ...

    def knows_fleet(self) -> bool:
        """Whether the list of live stores is reliable.

        This store has then run for long enough to have heard from all live nodes, and it is in
        contact with a majority of the control nodes.
        """
        ...

    def record_log_key(self, version: int, body: str) -> None:
        """Record a version of the log's control key that a control node returned directly."""
        ...
