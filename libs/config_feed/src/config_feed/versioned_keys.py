"""The newest version of each control key at one node, with the patch from the version before it.

The versions of a key only increase; callers check this before they store one. A change of a large
body is also kept as a merge patch, to be sent to nodes that hold the version before it.
"""

import json
from collections.abc import Callable
from typing import Any

from messaging import encode

from config_feed.messages import KeyUpdate
from config_feed.patches import merge, merge_diff

__all__ = ["VersionWatcher", "VersionedKeys"]

VersionWatcher = Callable[[str, int, str], None]
"""Called with the key, version and body of each version that this node accepts."""

_MIN_PATCHED_CHARACTERS = 1024


class _VersionedBody:
    """A version of a key and its whole JSON body."""

    __slots__ = ("body", "version")

    def __init__(self, version: int, body: str) -> None:
        self.version = version
        self.body = body


_NO_ENTRY = _VersionedBody(0, "")


class VersionedKeys:
    """Stores the newest version of each key and builds updates for nodes with older versions."""

    __slots__ = ("_entries", "_patches", "_watchers")

    def __init__(self) -> None:
        self._entries: dict[str, _VersionedBody] = {}
        self._patches: dict[str, KeyUpdate] = {}
        self._watchers: list[VersionWatcher] = []

    def watch(self, watcher: VersionWatcher) -> None:
        """Register a function that `notify` calls."""
        self._watchers.append(watcher)

    def notify(self, key: str, version: int, body: str) -> None:
        """Call all watchers, in the order in which they were registered."""
        for watcher in self._watchers:
            watcher(key, version, body)

    def version(self, key: str) -> int:
        """Return the version of a key, or 0 if none is stored."""
        return self._entries.get(key, _NO_ENTRY).version

    def body(self, key: str) -> str:
        """Return the body of a key, or an empty string if none is stored."""
        return self._entries.get(key, _NO_ENTRY).body

    def value(self, key: str) -> Any:
        """Return the decoded JSON body of a key, or None if none is stored."""
        body = self.body(key)
        return json.loads(body) if body else None

    def versions(self) -> dict[str, int]:
        """Return the version of each key."""
        return {key: entry.version for key, entry in self._entries.items()}

    def make_patch(self, key: str, version: int, body: str) -> KeyUpdate | None:
        """Return a patch from the stored version to the next one.

        Returns None if the body is small, `version` is not the next one, or a merge patch cannot
        express the change.
        """
        current = self._entries.get(key, _NO_ENTRY)
        is_next = current.version and version == current.version + 1
        if not is_next or len(body) <= _MIN_PATCHED_CHARACTERS:
            return None
        patch = merge_diff(current.body, body)
        if merge(current.body, patch) != body:
            return None
        return KeyUpdate(key=key, version=version, base_version=current.version, body=patch)

    def store(self, key: str, version: int, body: str, patch: KeyUpdate | None = None) -> None:
        """Replace the stored version of a key, and its patch by the given one or by none."""
        if patch is None:
            self._patches.pop(key, None)
        else:
            self._patches[key] = patch
        self._entries[key] = _VersionedBody(version, body)

    def apply_patch(self, patch: KeyUpdate) -> None:
        """Store the result of a patch; the stored version must be the base version of the patch."""
        self.store(patch.key, patch.version, merge(self.body(patch.key), patch.body), patch)

    def latest_update(self, key: str) -> KeyUpdate:
        """Return an update to the stored version: its patch if there is one, or the whole body."""
        patch = self._patches.get(key)
        if patch is not None and patch.version == self.version(key):
            return patch
        return self._full_update(key)

    def missing_updates(self, their_versions: dict[str, int]) -> list[bytes]:
        """Return encoded updates for the keys of which a node holds an older version or none."""
        return [
            encode(self._update_from(key, their_versions.get(key, 0)))
            for key, version in self.versions().items()
            if version > their_versions.get(key, 0)
        ]

    def _update_from(self, key: str, their_version: int) -> KeyUpdate:
        update = self.latest_update(key)
        return update if update.base_version == their_version else self._full_update(key)

    def _full_update(self, key: str) -> KeyUpdate:
        entry = self._entries[key]
        return KeyUpdate(key=key, version=entry.version, base_version=0, body=entry.body)
