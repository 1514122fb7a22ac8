"""A disk that keeps unflushed writes in memory, so that killing the process acts as a power loss.

Unflushed writes are lost then, except for those, drawn from a seed, that reached the disk early.
"""

import random
from collections.abc import Callable

from storage import DiskFullError, FolderDisk
from storage.disk import RESERVED_SHARE, SMALL_BYTES

__all__ = ["PowerLossDisk"]

_EARLY_WRITE_SHARE = 0.3


class PowerLossDisk:
    """A disk with the interface of FolderDisk that loses unflushed writes when the process dies.

    Parameters
    ----------
    inner
        The disk that flushed writes go to. Its capacity limit is lifted and enforced here instead,
        because it doesn't know of pending writes.
    seed
        Draws which writes, and how much of each, reach `inner` before they are flushed.
    """

    __slots__ = ("_files", "_inner", "_pending", "_rng", "capacity_bytes")

    def __init__(self, inner: FolderDisk, seed: int) -> None:
        self._inner = inner
        self._rng = random.Random(seed)
        self._files = {name: bytearray(inner.read(name)) for name in inner.names()}
        self._pending: dict[str, list[tuple[str, int, bytes]]] = {}
        self.capacity_bytes = inner.capacity_bytes
        inner.capacity_bytes = 1 << 60

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self._files)

    def read(self, name: str) -> bytes:
        """Return the content of a file; KeyError if there is none of this name."""
        return bytes(self._files[name])

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Return up to `size` bytes from `offset`; empty beyond the end or without such a file."""
        return bytes(self._files.get(name, b"")[offset : offset + size])

    def has_room(self, size: int, urgent: bool = False) -> bool:
        """Return whether `size` more bytes fit; urgent writes may use the reserve."""
        limit = self.capacity_bytes if urgent else self.capacity_bytes * (1 - RESERVED_SHARE)
        return (
            self._inner.has_room(0, True)
            and sum(len(content) for content in self._files.values()) + size <= limit
        )

    def write(self, name: str, offset: int, data: bytes, urgent: bool = False) -> None:
        """Write without flushing; DiskFullError if the file's growth exceeds the capacity."""
        content = self._files.get(name, bytearray())
        if not self.has_room(max(0, offset + len(data) - len(content)), urgent):
            raise DiskFullError(name)
        if len(content) < offset:
            content.extend(b"\0" * (offset - len(content)))
        content[offset : offset + len(data)] = data
        self._files[name] = content
        if self._rng.random() < _EARLY_WRITE_SHARE:
            self._apply(name, ("write", offset, data[: self._rng.randrange(len(data) + 1)]))
        self._pending.setdefault(name, []).append(("write", offset, data))

    def start_writeback(self) -> None:
        """Start the writeback of the wrapped disk."""
        self._inner.start_writeback()

    def truncate(self, name: str, size: int) -> None:
        """Cut or extend a file to `size` bytes without flushing."""
        if name in self._files:
            content = self._files[name]
            del content[size:]
            content.extend(b"\0" * (size - len(content)))
            self._pending.setdefault(name, []).append(("truncate", size, b""))

    def remove(self, name: str) -> None:
        """Remove a file without flushing."""
        if self._files.pop(name, None) is not None:
            self._pending.setdefault(name, []).append(("remove", 0, b""))

    def _apply(self, name: str, row: tuple[str, int, bytes]) -> None:
        kind, at, data = row
        if kind == "write":
            self._inner.write(name, at, data, True)
        elif kind == "truncate":
            self._inner.truncate(name, at)
        else:
            self._inner.remove(name)

    def flush(self, names: list[str], done: Callable[[bool], None]) -> None:
        """Flush these files and all removals made so far; `done` is called with the success."""
        removed = [
            name
            for name, rows in self._pending.items()
            if any(kind == "remove" for kind, _, _ in rows)
        ]
        for name in {*names, *removed}:
            for row in self._pending.pop(name, []):
                self._apply(name, row)
        self._inner.flush(names, done)

    def replace(self, name: str, data: bytes, done: Callable[[bool], None]) -> None:
        """Replace a whole file durably; `done(False)` if it exceeds the capacity."""
        if len(data) > SMALL_BYTES and not self.has_room(len(data), True):
            self._inner.flush([], lambda ok: done(False))
            return
        self._pending.pop(name, None)
        self._files[name] = bytearray(data)
        self._inner.replace(name, data, done)

    def quarantine(self) -> None:
        """Quarantine the content of the wrapped disk and go on with an empty one."""
        self._inner.quarantine()
        self._files.clear()
        self._pending.clear()

    def close(self) -> None:
        """Apply pending writes and close the wrapped disk; an orderly stop loses nothing."""
        for name, rows in self._pending.items():
            for row in rows:
                self._apply(name, row)
        self._pending.clear()
        self._inner.close()
