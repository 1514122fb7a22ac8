"""The disk as cores see it, and the one under a data folder. A write is lazy: it lasts only once a
flush that began after it is reported done. Part of the room is kept back for urgent writes, so that
ending lots, trimming and snapshots still work on a disk that refuses everything else. A failed
flush breaks the disk for good, since what the kernel then still holds cannot be known. Small files
that are replaced whole (identities, fences) are tried whatever the room is said to be."""

import errno
import os
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Protocol

__all__ = ["Disk", "DiskFull", "FolderDisk", "KEPT_BACK"]

KEPT_BACK = 0.2
SMALL_BYTES = 4096
_FULL = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


class DiskFull(Exception):
    pass


class Disk(Protocol):
    def names(self) -> list[str]: ...
    def read(self, name: str) -> bytes: ...
    def read_at(self, name: str, offset: int, size: int) -> bytes: ...
    def write(self, name: str, offset: int, data: bytes, urgent: bool = False) -> None: ...
    def truncate(self, name: str, size: int) -> None: ...
    def remove(self, name: str) -> None: ...
    def flush(self, names: list[str], done: Callable[[bool], None]) -> None: ...
    def replace(self, name: str, data: bytes, done: Callable[[bool], None]) -> None: ...
    def roomy(self, size: int, urgent: bool = False) -> bool: ...


class FolderDisk:
    def __init__(self, folder: str, room_bytes: int, call: Callable[[Callable[[], None]], None],
                 on_broken: Callable[[], None] = lambda: None) -> None:
        self.room_bytes = room_bytes
        self._folder = Path(folder)
        self._folder.mkdir(parents=True, exist_ok=True)
        self._call = call
        self._broken = False
        self._on_broken = on_broken
        self._handles: dict[str, int] = {}
        self._sizes = {path.name: path.stat().st_size for path in self._folder.iterdir() if path.is_file()}
        for name in [name for name in self._sizes if name.endswith(".tmp")]:
            self.remove(name)
        self._worker = ThreadPoolExecutor(1, thread_name_prefix="stacks")

    def names(self) -> list[str]:
        return sorted(self._sizes)

    def read(self, name: str) -> bytes:
        return (self._folder / name).read_bytes()

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        return os.pread(self._handle(name), size, offset) if name in self._sizes else b""

    def roomy(self, size: int, urgent: bool = False) -> bool:
        limit = self.room_bytes if urgent else self.room_bytes * (1 - KEPT_BACK)
        return not self._broken and sum(self._sizes.values()) + size <= limit

    def write(self, name: str, offset: int, data: bytes, urgent: bool = False) -> None:
        if not self.roomy(max(0, offset + len(data) - self._sizes.get(name, 0)), urgent):
            raise DiskFull(name)
        try:
            written = os.pwrite(self._handle(name), data, offset)
        except OSError as error:
            if error.errno in _FULL:
                raise DiskFull(name) from error
            raise
        self._sizes[name] = max(self._sizes.get(name, 0), offset + written)
        if written < len(data):
            raise DiskFull(name)

    def truncate(self, name: str, size: int) -> None:
        if name in self._sizes:
            os.ftruncate(self._handle(name), size)
            self._sizes[name] = size

    def remove(self, name: str) -> None:
        handle = self._handles.pop(name, None)
        if handle is not None:
            self._worker.submit(os.close, handle)
        self._sizes.pop(name, None)
        (self._folder / name).unlink(missing_ok=True)

    def flush(self, names: list[str], done: Callable[[bool], None]) -> None:
        handles = [self._handle(name) for name in names if name in self._sizes]
        self._worker.submit(self._flush, handles, done)

    def replace(self, name: str, data: bytes, done: Callable[[bool], None]) -> None:
        if len(data) > SMALL_BYTES and not self.roomy(len(data), True):
            self._call(lambda: done(False))
            return
        handle = self._handles.pop(name, None)
        if handle is not None:
            self._worker.submit(os.close, handle)
        self._sizes[name] = len(data)
        self._worker.submit(self._replace, name, data, done)

    def close(self) -> None:
        self._worker.shutdown(wait=True)
        for handle in self._handles.values():
            os.close(handle)
        self._handles.clear()

    def _handle(self, name: str) -> int:
        handle = self._handles.get(name)
        if handle is None:
            handle = os.open(self._folder / name, os.O_RDWR | os.O_CREAT, 0o644)
            self._handles[name] = handle
            self._sizes.setdefault(name, 0)
        return handle

    def _flush(self, handles: list[int], done: Callable[[bool], None]) -> None:
        try:
            for handle in handles:
                os.fsync(handle)
            self._flush_folder()
        except OSError:
            self._broken = True
            self._call(self._on_broken)
        ok = not self._broken
        self._call(lambda: done(ok))

    def _replace(self, name: str, data: bytes, done: Callable[[bool], None]) -> None:
        ok = not self._broken
        try:
            path = self._folder / f"{name}.tmp"
            with open(path, "wb") as page:
                page.write(data)
                page.flush()
                os.fsync(page.fileno())
            os.replace(path, self._folder / name)
            self._flush_folder()
        except OSError:
            ok = False
        self._call(lambda: done(ok))

    def _flush_folder(self) -> None:
        handle = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def set_aside(self) -> None:
        """Moves all files out of sight into a folder beside them, for whoever wants to look."""
        count = sum(1 for path in self._folder.iterdir() if path.is_dir())
        aside = self._folder / f"set-aside-{count + 1}"
        aside.mkdir()
        for name in list(self._sizes):
            handle = self._handles.pop(name, None)
            if handle is not None:
                os.close(handle)
            os.replace(self._folder / name, aside / name)
        self._sizes.clear()
