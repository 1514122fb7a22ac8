"""The disk interface of the sans-I/O components, and its implementation on a data folder.

Writes are lazy: a write is durable only once a flush requested after it has completed. One worker
thread does all work on the device, in order, so a slow device delays only callers that wait for a
flush, or that read a file with unfinished work. A fifth of the space is reserved for urgent writes,
so that jobs can still be ended, the log trimmed and snapshots written on a disk that refuses all
other writes. After a failed flush the disk is broken for good, since it is unknown which data the
kernel still holds; lazy work that a full device refused is tried again. Replacing a small file
(identity or fence) is never refused for lack of capacity.
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
"""The share of the capacity that only urgent writes may use."""

SMALL_BYTES = 4096
"""Replacing a file with at most this many bytes is allowed even if no capacity is left."""

_WRITEBACK_BYTES = 1 << 18
_DEVICE_FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


class _StepKind(Enum):
    """The kind of work that a step does on its file."""

    WRITE = auto()
    TRUNCATE = auto()
    REMOVE = auto()


class _Step(NamedTuple):
    """One piece of lazy work on a file; steps are numbered in the order of their submission.

    `offset` is the byte offset at which `data` is written, or the size to truncate to.
    """

    number: int
    kind: _StepKind
    name: str
    offset: int
    data: bytes


class DiskFullError(Exception):
    """A write was refused because the disk has no space for it or is broken.

    The argument is the name of the file.
    """


class Disk(Protocol):
    """The disk interface of the sans-I/O components; sizes and offsets are in bytes.

    Writes, truncations and removals are lazy: reads see them at once, but they are durable only
    after a flush. Callbacks are called on the caller's event loop, with True once the data is
    durable and with False if it could not be made durable.
    """

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        ...

    def read(self, name: str) -> bytes:
        """Return the contents of a file, including lazy writes."""
        ...

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Return up to `size` bytes at an offset, or nothing if there is no such file."""
        ...

    def write(self, name: str, offset: int, data: bytes, urgent: bool = False) -> None:
        """Write lazily. Raises DiskFullError if there is no space.

        Only `urgent` writes may use the reserved share of the space.
        """
        ...

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size, lazily."""
        ...

    def remove(self, name: str) -> None:
        """Remove a file, lazily."""
        ...

    def flush(self, names: list[str], done: Callable[[bool], None]) -> None:
        """Make all earlier work on these files durable, then call `done`."""
        ...

    def replace(self, name: str, data: bytes, done: Callable[[bool], None]) -> None:
        """Replace a file as a whole, atomically and durably, then call `done`."""
        ...

    def has_room(self, size: int, urgent: bool = False) -> bool:
        """Whether `size` more bytes may be written, as an urgent write or another one."""
        ...

    def start_writeback(self) -> None:
        """Start the lazy work on the device, without a flush."""
        ...


class FolderDisk:
    """A Disk whose files are in one folder.

    Parameters
    ----------
    folder
        The path of the folder, which is created if it doesn't exist. Temporary files of
        interrupted replacements are removed from it.
    capacity_bytes
        The limit on the space used.
    call
        Runs a function on the caller's event loop. Callbacks are called through it.
    on_broken
        Called once when the disk breaks: after a failed flush, or after an I/O error in lazy work
        other than a full device.
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

    # Methods that run on the caller's thread:

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self._sizes)

    def read(self, name: str) -> bytes:
        """Return the contents of a file; waits for the lazy work on it."""
        self._catch_up(name)
        return (self._folder / name).read_bytes()

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Return up to `size` bytes at an offset, or nothing if there is no such file.

        Waits for the lazy work on the file.
        """
        if name not in self._sizes:
            return b""
        self._catch_up(name)
        handle = self._readers.get(name)
        if handle is None:
            handle = self._readers[name] = os.open(self._folder / name, os.O_RDONLY)
        return os.pread(handle, size, offset)

    def has_room(self, size: int, urgent: bool = False) -> bool:
        """Whether `size` more bytes may be written; False while the device is full or broken."""
        limit = self.capacity_bytes if urgent else self.capacity_bytes * (1 - RESERVED_SHARE)
        return not self._broken and not self._full and self._used_bytes + size <= limit

    def write(self, name: str, offset: int, data: bytes, urgent: bool = False) -> None:
        """Write lazily. Raises DiskFullError if there is no room for the growth; see `has_room`.

        The work on the device is started once more than `_WRITEBACK_BYTES` are waiting.
        """
        if not self.has_room(max(0, offset + len(data) - self._sizes.get(name, 0)), urgent):
            raise DiskFullError(name)
        self._resize(name, max(self._sizes.get(name, 0), offset + len(data)))
        self._submit(_StepKind.WRITE, name, offset, data)
        if self._steps_size_bytes > _WRITEBACK_BYTES:
            self.start_writeback()

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size, lazily; a file that doesn't exist isn't created."""
        if name in self._sizes:
            self._resize(name, size)
            self._submit(_StepKind.TRUNCATE, name, size, b"")

    def remove(self, name: str) -> None:
        """Remove a file, lazily; a file that doesn't exist is no error."""
        self._forget(name)
        self._submit(_StepKind.REMOVE, name, 0, b"")

    def start_writeback(self) -> None:
        """Start the lazy work on the device, without a flush.

        Work that the device refused when it was full is tried again.
        """
        if self._steps or self._full:
            self._worker.submit(self._apply, self._take_steps())

    def flush(self, names: list[str], done: Callable[[bool], None]) -> None:
        """Make all earlier work on these files durable, then call `done`.

        `done` is called with False if some of the work could not be done or the disk is broken.
        """
        self._worker.submit(
            self._flush, self._take_steps(), [name for name in names if name in self._sizes], done
        )

    def replace(self, name: str, data: bytes, done: Callable[[bool], None]) -> None:
        """Replace a file as a whole, atomically and durably, then call `done`.

        The new contents are written to a temporary file, which is flushed and renamed. If there is
        no capacity for more than SMALL_BYTES of contents, the file isn't changed and `done` is
        called with False.
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
        """Move all files to a new subfolder, in which they are kept for inspection."""
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
        """Wait for the lazy work on a file that is about to be read."""
        if self._last_step.get(name, 0) > self._last_completed:
            self._wait()

    def _wait(self) -> None:
        self.start_writeback()
        self._worker.submit(lambda: None).result()

    # Methods that run on the worker thread:

    def _apply(self, steps: list[_Step]) -> bool:
        """Do the steps in order, after those left from earlier calls; return False if some fail.

        The first step that fails and all steps after it are kept for the next call. An error other
        than a full device breaks the disk.
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
