"""A simulated disk.

Writes survive the end of the process. When the machine loses power, writes that were not flushed
may be lost, each on its own and in whole or in part, so a later write may survive an earlier one.
Flushes and replacements take virtual time and are done one after another. The capacity can be
reduced and restored, and all files can be wiped or damaged.
"""

from collections.abc import Callable
from enum import Enum
from typing import Any

from storage.disk import RESERVED_SHARE, SMALL_BYTES, DiskFullError

__all__ = ["FLUSH_MS", "SimDisk"]

FLUSH_MS = 3.0
"""The average duration of a flush."""


class _ChangeKind(Enum):
    WRITE = "write"
    TRUNCATE = "truncate"
    REMOVE = "remove"


_Change = tuple[_ChangeKind, int, bytes]
"""A change that is not durable yet: its kind, its offset (or new size), and the bytes written."""


class SimDisk:
    """A disk of `capacity_bytes` with the interface of `storage.FolderDisk`.

    A flush takes between 0.5 and 1.5 times `flush_ms` of virtual time. `flushes` counts the
    completed flushes, `quarantine_count` how often damaged content was quarantined. The disk has to
    be bound to a host (`bind`) before a flush or replacement.
    """

    __slots__ = (
        "_busy_until_ms",
        "_durable",
        "_files",
        "_full_capacity_bytes",
        "_host",
        "_pending",
        "capacity_bytes",
        "flush_ms",
        "flushes",
        "quarantine_count",
        "time",
    )

    def __init__(self, time: Any, capacity_bytes: int, flush_ms: float = FLUSH_MS) -> None:
        self.time = time
        self._files: dict[str, bytearray] = {}
        self._durable: dict[str, bytearray] = {}
        self._pending: dict[str, list[_Change]] = {}
        self._busy_until_ms = 0.0
        self._host: Any = None
        self.capacity_bytes = self._full_capacity_bytes = capacity_bytes
        self.flush_ms = flush_ms
        self.flushes = 0
        self.quarantine_count = 0

    def bind(self, host: Any) -> None:
        """Attach the disk to a host whose process is about to start; its write queue is empty."""
        self._host = host
        self._busy_until_ms = 0.0

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self._files)

    def read(self, name: str) -> bytes:
        """Return the contents of a file; KeyError if it does not exist."""
        return bytes(self._files[name])

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Return up to `size` bytes from `offset`; none past the end or if there is no file."""
        return bytes(self._files.get(name, b"")[offset : offset + size])

    def has_room(self, size: int, urgent: bool = False) -> bool:
        """Return whether `size` more bytes fit; only urgent writes may use the reserved share."""
        limit = self.capacity_bytes if urgent else self.capacity_bytes * (1 - RESERVED_SHARE)
        return sum(len(data) for data in self._files.values()) + size <= limit

    def write(self, name: str, offset: int, data: bytes, urgent: bool = False) -> None:
        """Write without flushing; DiskFullError if there is no space for the file's growth."""
        growth = max(0, offset + len(data) - len(self._files.get(name, b"")))
        if not self.has_room(growth, urgent):
            raise DiskFullError(name)
        _put(self._files.setdefault(name, bytearray()), offset, data)
        self._pending.setdefault(name, []).append((_ChangeKind.WRITE, offset, data))

    def start_writeback(self) -> None:
        """Do nothing, as this disk has no write buffer."""
        return

    def truncate(self, name: str, size: int) -> None:
        """Shorten or extend a file to `size` bytes without flushing."""
        if name in self._files:
            _resize(self._files[name], size)
            self._pending.setdefault(name, []).append((_ChangeKind.TRUNCATE, size, b""))

    def remove(self, name: str) -> None:
        """Remove a file without flushing."""
        if self._files.pop(name, None) is not None:
            self._pending.setdefault(name, []).append((_ChangeKind.REMOVE, 0, b""))

    def flush(self, names: list[str], done: Callable[[bool], None]) -> None:
        """Flush the named files and all files removed so far, then call `done(True)`.

        Changes made after this call are not part of the flush. `done` is not called if the process
        ends before.
        """
        counts = {name: len(self._pending.get(name, [])) for name in names}
        counts.update(
            {
                name: len(changes)
                for name, changes in self._pending.items()
                if name not in counts and any(kind is _ChangeKind.REMOVE for kind, _, _ in changes)
            }
        )

        def flushed() -> None:
            self.flushes += 1
            for name, count in counts.items():
                changes = self._pending.get(name, [])
                for change in changes[:count]:
                    self._make_durable(name, change)
                del changes[:count]
            done(True)

        self._schedule(flushed)

    def replace(self, name: str, data: bytes, done: Callable[[bool], None]) -> None:
        """Replace a file atomically and durably, then call `done(True)`.

        `done(False)` is called, and the file not changed, if there is no space for more than
        SMALL_BYTES.
        """
        if len(data) > SMALL_BYTES and not self.has_room(len(data), True):
            self._schedule(lambda: done(False))
            return

        def replaced() -> None:
            self._files[name] = bytearray(data)
            self._durable[name] = bytearray(data)
            self._pending.pop(name, None)
            done(True)

        self._schedule(replaced)

    def quarantine(self) -> None:
        """Remove all files because their contents are damaged, and count the event."""
        self.quarantine_count += 1
        self._files.clear()
        self._durable.clear()
        self._pending.clear()

    def _schedule(self, action: Callable[[], None]) -> None:
        """Run `action` after all earlier work of the disk, unless the process ends before."""
        host, incarnation = self._host, self._host.incarnation
        start_ms = max(self.time.now_ms, self._busy_until_ms)
        self._busy_until_ms = start_ms + self.flush_ms * (0.5 + self.time.rng.random())

        def due() -> None:
            if host.incarnation == incarnation and host.up:
                host.when_awake(action, incarnation)

        self.time.after(self._busy_until_ms - self.time.now_ms, due)

    def _make_durable(self, name: str, change: _Change) -> None:
        kind, at, data = change
        if kind is _ChangeKind.REMOVE:
            self._durable.pop(name, None)
        elif kind is _ChangeKind.TRUNCATE:
            if name in self._durable:
                _resize(self._durable[name], at)
        else:
            _put(self._durable.setdefault(name, bytearray()), at, data)

    def lose_power(self) -> None:
        """Decide for each unflushed change at random whether it is lost, durable, or cut short."""
        rng = self.time.rng
        for name, changes in self._pending.items():
            for kind, at, data in changes:
                if rng.random() < 0.5:
                    part = data if rng.random() < 0.8 else data[: rng.randrange(len(data) + 1)]
                    self._make_durable(name, (kind, at, part))
        self._pending.clear()
        self._files = {name: bytearray(data) for name, data in self._durable.items()}

    def fill(self) -> None:
        """Reduce the capacity to 110% of the space in use."""
        self.capacity_bytes = int(sum(len(data) for data in self._files.values()) * 1.1)

    def restore_capacity(self) -> None:
        """Restore the full capacity; files are kept."""
        self.capacity_bytes = self._full_capacity_bytes

    def wipe(self) -> None:
        """Remove all files, as if the disk were replaced by an empty one."""
        self._files.clear()
        self._durable.clear()
        self._pending.clear()

    def damage(self, name: str, offset: int) -> None:
        """Invert the byte at `offset` of a file, in its current and its durable contents."""
        for copy in (self._files, self._durable):
            if name in copy and offset < len(copy[name]):
                copy[name][offset] ^= 0x_FF


def _put(content: bytearray, offset: int, data: bytes) -> None:
    if len(content) < offset:
        content.extend(b"\0" * (offset - len(content)))
    content[offset : offset + len(data)] = data


def _resize(content: bytearray, size: int) -> None:
    if size < len(content):
        del content[size:]
    else:
        content.extend(b"\0" * (size - len(content)))
