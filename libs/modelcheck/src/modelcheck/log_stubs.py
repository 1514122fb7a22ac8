"""Stubs of the config feed and of a store's view of the fleet."""

from typing import cast

from config_feed.messages import KeyUpdate, KeyUpdates
from messaging import Component, Message, Origin, decode_as, encode

__all__ = ["BroadcastFeed", "FleetView"]


class BroadcastFeed(Component):
    """A stub of the control node's config feed that sends each new version to every store once."""

    __slots__ = ("_stores",)

    def __init__(self, stores: list[str]) -> None:
        self._stores = stores

    def publish(self, key: str, version: int, body: str) -> None:
        """Send one version of a key to every store."""
        item = encode(KeyUpdate(key=key, version=version, base_version=0, body=body))
        for address in self._stores:
            self.node.send(address, KeyUpdates(updates=[item]))


class FleetView(Component):
    """A stub of a store's view of the fleet: the log's key as received, and all stores as live."""

    __slots__ = ("_body", "_retired", "_rows", "_version")
    HANDLES = (KeyUpdates,)

    def __init__(self, rows: list[dict[str, str]], retired: list[str]) -> None:
        self._rows = rows
        self._retired = retired
        self._version = 0
        self._body = ""

    def receive(self, message: Message, origin: Origin) -> None:
        """Record the versions of the log's key that the config feed sends."""
        batch = cast(KeyUpdates, message)
        for data in batch.updates:
            update = decode_as(KeyUpdate, data)
            self.record_log_key(update.version, update.body)

    def record_log_key(self, version: int, body: str) -> None:
        """Record a version of the log's key, unless a newer one is known."""
        if version > self._version:
            self._version, self._body = version, body

    def update(self, rows: list[dict[str, str]], retired: list[str]) -> None:
        """Replace the rows of the live stores and the identities of the retired ones."""
        self._rows = rows
        self._retired = retired

    def log_key(self) -> tuple[int, str]:
        """Return the newest known version of the log's key and its body."""
        return self._version, self._body

    def store_rows(self) -> list[dict[str, str]]:
        """Return the rows of all live stores."""
        return self._rows

    def retired_stores(self) -> list[str]:
        """Return the identities of the stores that are being retired."""
        return self._retired

    def knows_fleet(self) -> bool:
        """Return False, so that no store bootstraps the log; the model does it."""
        return False
