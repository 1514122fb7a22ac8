"""The disk as the sans-I/O cores see it, and its implementation on a data folder.

A write is lazy: it is durable only once a flush that began after it has been reported done. One
thread does all work on the device in order, so a slow device delays only callers that wait for a
flush. A fifth of the space is reserved for urgent writes, so that ending lots, trimming and
snapshots still work on a disk that refuses everything else. A failed flush breaks the disk for
good, since what the kernel still holds is then unknown; after a full device the work is tried
again. Small files that are replaced whole (identities, fences) are written whatever the accounting
of space says.
"""

import errno
import os
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from enum import Enum, auto
from pathlib import Path
from typing import NamedTuple, Protocol

__all__ = ["RESERVED_SHARE", "Disk", "DiskFullError", "FolderDisk"]

RESERVED_SHARE = 0.2
"""The share of the space that only urgent writes may use."""

SMALL_BYTES = 4096
"""Up to this size a file is replaced even where there is no space left."""

_WRITEBACK_BYTES = 1 << 18
_DEVICE_FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


class _StepKind(Enum):
    """What a lazy step does to its file."""

    WRITE = auto()
    TRUNCATE = auto()
    REMOVE = auto()


class _Step(NamedTuple):
    """Lazy work on one file; steps are numbered in the order in which they were submitted.

    `offset` is where `data` is written, or the size to truncate to.
    """

    number: int
    kind: _StepKind
    name: str
    offset: int
    data: bytes


class DiskFullError(Exception):
    """A write was refused because it would exceed the space allowed; its argument is the file."""


class Disk(Protocol):
    """What the cores need of a disk; sizes and offsets are in bytes.

    Callbacks are called on the caller's event loop, with True once the data is durable and False if
    it isn't.
    """

    def names(self) -> list[str]:
        """Return the names of all files in order."""
        ...

    def read(self, name: str) -> bytes:
        """Return a file's contents, including lazy writes."""
        ...

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Return up to `size` bytes at an offset, or nothing if there is no such file."""
        ...

    def write(self, name: str, offset: int, data: bytes, urgent: bool = False) -> None:
        """Write lazily. Raises DiskFullError.

        Without `urgent` it is raised once the part that isn't reserved is used up.
        """
        ...

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size, lazily."""
        ...

    def remove(self, name: str) -> None:
        """Remove a file, lazily."""
        ...

    def flush(self, names: list[str], done: Callable[[bool], None]) -> None:
        """Make all earlier work on these files durable."""
        ...

    def replace(self, name: str, data: bytes, done: Callable[[bool], None]) -> None:
        """Replace a file as a whole, atomically and durably."""
        ...

    def has_room(self, size: int, urgent: bool = False) -> bool:
        """Whether so many more bytes may be written."""
        ...

    def start_writeback(self) -> None:
        """Start writing lazy work to the device, without a flush."""
        ...


class FolderDisk:
    """A Disk on the files of one folder.

    `capacity_bytes` limits the space used. `call` runs a function on the caller's event loop; it
    runs all callbacks, and `on_broken` after an input/output error other than a full device.
    """

    def __init__(
        self,
        folder: str,
        capacity_bytes: int,
        call: Callable[[Callable[[], None]], None],
        on_broken: Callable[[], None] = lambda: None,
    ) -> None:
        self.capacity_bytes = capacity_bytes
        self._folder = Path(folder)
        self._folder.mkdir(parents=True, exist_ok=True)
        self._call = call
        self._broken = self._full = False
        self._on_broken = on_broken
        self._handles: dict[str, int] = {}
        self._readers: dict[str, int] = {}
        self._sizes = {
            path.name: path.stat().st_size for path in self._folder.iterdir() if path.is_file()
        }
        self._used_bytes = sum(self._sizes.values())
        self._steps: list[_Step] = []
        self._steps_size_bytes = 0
        self._unapplied: list[_Step] = []
        self._last_submitted, self._last_completed = 0, 0
        self._last_step: dict[str, int] = {}
        self._folder_changed = False
        self._worker = ThreadPoolExecutor(1, thread_name_prefix="storage")
        for name in [name for name in self._sizes if name.endswith(".tmp")]:
            self.remove(name)

    # -- on the caller's thread --------------------------------------------------------------------

    def names(self) -> list[str]:
        """Return the names of all files in order."""
        return sorted(self._sizes)

    def read(self, name: str) -> bytes:
        """Return a file's contents, after the lazy work on it is done."""
        self._catch_up(name)
        return (self._folder / name).read_bytes()

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Return up to `size` bytes at an offset, or nothing if there is no such file."""
        if name not in self._sizes:
            return b""
        self._catch_up(name)
        handle = self._readers.get(name)
        if handle is None:
            handle = self._readers[name] = os.open(self._folder / name, os.O_RDONLY)
        return os.pread(handle, size, offset)

    def has_room(self, size: int, urgent: bool = False) -> bool:
        """Whether so many more bytes may be written; False once the device is full or broken."""
        limit = self.capacity_bytes if urgent else self.capacity_bytes * (1 - RESERVED_SHARE)
        return not self._broken and not self._full and self._used_bytes + size <= limit

    def write(self, name: str, offset: int, data: bytes, urgent: bool = False) -> None:
        """Write lazily. Raises DiskFullError if it exceeds the capacity; see `has_room`."""
        if not self.has_room(max(0, offset + len(data) - self._sizes.get(name, 0)), urgent):
            raise DiskFullError(name)
        self._resize(name, max(self._sizes.get(name, 0), offset + len(data)))
        self._submit(_StepKind.WRITE, name, offset, data)
        if self._steps_size_bytes > _WRITEBACK_BYTES:
            self.start_writeback()

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size, lazily; a file that doesn't exist is left alone."""
        if name in self._sizes:
            self._resize(name, size)
            self._submit(_StepKind.TRUNCATE, name, size, b"")

    def remove(self, name: str) -> None:
        """Remove a file, lazily; a file that doesn't exist is no error."""
        self._forget(name)
        self._submit(_StepKind.REMOVE, name, 0, b"")

    def start_writeback(self) -> None:
        """Start the lazy work on the device without a flush, with what it refused when full."""
        if self._steps or self._full:
            self._worker.submit(self._apply, self._take_steps())

    def flush(self, names: list[str], done: Callable[[bool], None]) -> None:
        """Make all earlier work on these files durable, then call `done`."""
        self._worker.submit(
            self._flush, self._take_steps(), [name for name in names if name in self._sizes], done
        )

    def replace(self, name: str, data: bytes, done: Callable[[bool], None]) -> None:
        """Replace a file as a whole, atomically and durably, then call `done`.

        The new contents go to a temporary file that is flushed and renamed. A file of more than
        SMALL_BYTES is refused where there is no capacity left, and `done` gets False.
        """
        if len(data) > SMALL_BYTES and not self.has_room(len(data), True):
            self._call(lambda: done(False))
            return
        self._forget(name)
        self._resize(name, len(data))
        self._last_submitted += 1
        self._last_step[name] = self._last_submitted
        self._worker.submit(
            self._replace, self._take_steps(), self._last_submitted, name, data, done
        )

    def close(self) -> None:
        """Finish the lazy work, without a flush, and close all files."""
        self.start_writeback()
        self._worker.shutdown(wait=True)
        for handle in [*self._handles.values(), *self._readers.values()]:
            os.close(handle)
        self._handles.clear()
        self._readers.clear()

    def quarantine(self) -> None:
        """Move all files into a new subfolder, where they are kept for inspection."""
        self._wait()
        count = sum(1 for path in self._folder.iterdir() if path.is_dir())
        quarantine = self._folder / f"set-aside-{count + 1}"
        quarantine.mkdir()
        for name in list(self._sizes):
            for handles in (self._handles, self._readers):
                if name in handles:
                    os.close(handles.pop(name))
            os.replace(self._folder / name, quarantine / name)
        self._sizes.clear()
        self._used_bytes = 0
        self._folder_changed = True

    def _resize(self, name: str, size: int) -> None:
        self._used_bytes += size - self._sizes.get(name, 0)
        self._sizes[name] = size

    def _forget(self, name: str) -> None:
        self._used_bytes -= self._sizes.pop(name, 0)
        reader = self._readers.pop(name, None)
        if reader is not None:
            os.close(reader)

    def _submit(self, kind: _StepKind, name: str, offset: int, data: bytes) -> None:
        self._last_submitted += 1
        self._last_step[name] = self._last_submitted
        self._steps.append(_Step(self._last_submitted, kind, name, offset, data))
        self._steps_size_bytes += len(data)

    def _take_steps(self) -> list[_Step]:
        steps, self._steps, self._steps_size_bytes = self._steps, [], 0
        return steps

    def _catch_up(self, name: str) -> None:
        """Wait for lazy work on a file that is about to be read."""
        if self._last_step.get(name, 0) > self._last_completed:
            self._wait()

    def _wait(self) -> None:
        self.start_writeback()
        self._worker.submit(lambda: None).result()

    # -- on the worker's thread --------------------------------------------------------------------

    def _apply(self, steps: list[_Step]) -> bool:
        """Do the steps in order; return False if some are left.

        What a full device refuses is kept for the next time.
        """
        steps = self._unapplied = self._unapplied + steps
        while steps:
            try:
                self._apply_step(steps[0])
            except OSError as error:
                self._full = error.errno in _DEVICE_FULL_ERRORS
                if not self._full:
                    self._mark_broken()
                return False
            completed = steps.pop(0)
            self._last_completed = max(self._last_completed, completed.number)
        self._full = False
        return True

    def _apply_step(self, step: _Step) -> None:
        if step.kind is _StepKind.REMOVE:
            self._drop_handle(step.name)
            (self._folder / step.name).unlink(missing_ok=True)
            self._folder_changed = True
        elif step.kind is _StepKind.TRUNCATE:
            os.ftruncate(self._handle(step.name), step.offset)
        else:
            self._write_all(self._handle(step.name), step.offset, step.data)

    @staticmethod
    def _write_all(handle: int, offset: int, data: bytes) -> None:
        unwritten = memoryview(data)
        while unwritten:
            written_bytes = os.pwrite(handle, unwritten, offset)
            offset, unwritten = offset + written_bytes, unwritten[written_bytes:]

    def _handle(self, name: str) -> int:
        handle = self._handles.get(name)
        if handle is None:
            self._folder_changed = self._folder_changed or not (self._folder / name).exists()
            handle = self._handles[name] = os.open(
                self._folder / name, os.O_RDWR | os.O_CREAT, 0o644
            )
        return handle

    def _drop_handle(self, name: str) -> None:
        handle = self._handles.pop(name, None)
        if handle is not None:
            os.close(handle)

    def _mark_broken(self) -> None:
        if not self._broken:
            self._broken = True
            self._call(self._on_broken)

    def _flush(self, steps: list[_Step], names: list[str], done: Callable[[bool], None]) -> None:
        is_applied = self._apply(steps)
        try:
            for name in names if is_applied else []:
                if name in self._handles or (self._folder / name).exists():
                    os.fsync(self._handle(name))
            self._flush_folder()
        except OSError:
            self._mark_broken()
        ok = is_applied and not self._broken
        self._call(lambda: done(ok))

    def _replace(
        self, steps: list[_Step], number: int, name: str, data: bytes, done: Callable[[bool], None]
    ) -> None:
        self._apply(steps)
        ok = not self._broken
        try:
            self._drop_handle(name)
            path = self._folder / f"{name}.tmp"
            with open(path, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.replace(path, self._folder / name)
            self._folder_changed = True
            self._flush_folder()
        except OSError:
            ok = False
        self._last_completed = max(self._last_completed, number)
        self._call(lambda: done(ok))

    def _flush_folder(self) -> None:
        """Flush the folder if a file in it was created, removed or renamed."""
        if self._folder_changed:
            self._folder_changed = False
            handle = os.open(self._folder, os.O_RDONLY)
            try:
                os.fsync(handle)
            finally:
                os.close(handle)
