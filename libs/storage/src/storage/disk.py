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
from pathlib import Path
from typing import Protocol

__all__ = ["Disk", "DiskFullError", "FolderDisk", "KEPT_BACK"]

KEPT_BACK = 0.2
SMALL_BYTES = 4096
_PUSH_BYTES = 1 << 18
_FULL = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


_Step = tuple[int, str, str, int, bytes]


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

    def roomy(self, size: int, urgent: bool = False) -> bool:
        """Whether so many more bytes may be written."""
        ...

    def push(self) -> None:
        """Start the lazy work on the device without a flush."""
        ...


class FolderDisk:
    """A Disk on the files of one folder.

    `room_bytes` limits the space used. `call` runs a function on the caller's event loop; through
    it come all callbacks, and `on_broken` after an input/output error other than a full device.
    """

    def __init__(
        self,
        folder: str,
        room_bytes: int,
        call: Callable[[Callable[[], None]], None],
        on_broken: Callable[[], None] = lambda: None,
    ) -> None:
        self.room_bytes = room_bytes
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
        self._steps_bytes = 0
        self._stuck: list[_Step] = []
        self._asked, self._made = 0, 0
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

    def roomy(self, size: int, urgent: bool = False) -> bool:
        """Whether so many more bytes may be written; False once the device is full or broken."""
        limit = self.room_bytes if urgent else self.room_bytes * (1 - KEPT_BACK)
        return not self._broken and not self._full and self._used_bytes + size <= limit

    def write(self, name: str, offset: int, data: bytes, urgent: bool = False) -> None:
        """Write lazily. Raises DiskFullError if there is no room; see `roomy`."""
        if not self.roomy(max(0, offset + len(data) - self._sizes.get(name, 0)), urgent):
            raise DiskFullError(name)
        self._resize(name, max(self._sizes.get(name, 0), offset + len(data)))
        self._step("write", name, offset, data)
        if self._steps_bytes > _PUSH_BYTES:
            self.push()

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size, lazily; a file that doesn't exist is left alone."""
        if name in self._sizes:
            self._resize(name, size)
            self._step("truncate", name, size, b"")

    def remove(self, name: str) -> None:
        """Remove a file, lazily; a file that doesn't exist is no error."""
        self._forget(name)
        self._step("remove", name, 0, b"")

    def push(self) -> None:
        """Start the lazy work on the device without a flush, with what it refused when full."""
        if self._steps or self._full:
            self._worker.submit(self._make, self._taken())

    def flush(self, names: list[str], done: Callable[[bool], None]) -> None:
        """Make all earlier work on these files durable, then call `done`."""
        self._worker.submit(
            self._flush, self._taken(), [name for name in names if name in self._sizes], done
        )

    def replace(self, name: str, data: bytes, done: Callable[[bool], None]) -> None:
        """Replace a file as a whole, atomically and durably, then call `done`.

        The new contents go to a temporary file that is flushed and renamed. A file of more than
        SMALL_BYTES is refused without room, and `done` gets False.
        """
        if len(data) > SMALL_BYTES and not self.roomy(len(data), True):
            self._call(lambda: done(False))
            return
        self._forget(name)
        self._resize(name, len(data))
        self._asked += 1
        self._last_step[name] = self._asked
        self._worker.submit(self._replace, self._taken(), self._asked, name, data, done)

    def close(self) -> None:
        """Finish the lazy work, without a flush, and close all files."""
        self.push()
        self._worker.shutdown(wait=True)
        for handle in [*self._handles.values(), *self._readers.values()]:
            os.close(handle)
        self._handles.clear()
        self._readers.clear()

    def set_aside(self) -> None:
        """Move all files into a new subfolder, where they are kept for inspection."""
        self._wait()
        count = sum(1 for path in self._folder.iterdir() if path.is_dir())
        aside = self._folder / f"set-aside-{count + 1}"
        aside.mkdir()
        for name in list(self._sizes):
            for handles in (self._handles, self._readers):
                if name in handles:
                    os.close(handles.pop(name))
            os.replace(self._folder / name, aside / name)
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

    def _step(self, kind: str, name: str, at: int, data: bytes) -> None:
        self._asked += 1
        self._last_step[name] = self._asked
        self._steps.append((self._asked, kind, name, at, data))
        self._steps_bytes += len(data)

    def _taken(self) -> list[_Step]:
        steps, self._steps, self._steps_bytes = self._steps, [], 0
        return steps

    def _catch_up(self, name: str) -> None:
        """Wait for lazy work on a file that is about to be read."""
        if self._last_step.get(name, 0) > self._made:
            self._wait()

    def _wait(self) -> None:
        self.push()
        self._worker.submit(lambda: None).result()

    # -- on the worker's thread --------------------------------------------------------------------

    def _make(self, steps: list[_Step]) -> bool:
        """Do the steps in order; return False if some are left.

        What a full device refuses is kept for the next time.
        """
        steps = self._stuck = self._stuck + steps
        while steps:
            number, kind, name, at, data = steps[0]
            try:
                self._make_one(kind, name, at, data)
            except OSError as error:
                self._full = error.errno in _FULL
                if not self._full:
                    self._break()
                return False
            steps.pop(0)
            self._made = max(self._made, number)
        self._full = False
        return True

    def _make_one(self, kind: str, name: str, at: int, data: bytes) -> None:
        if kind == "remove":
            self._drop_handle(name)
            (self._folder / name).unlink(missing_ok=True)
            self._folder_changed = True
        elif kind == "truncate":
            os.ftruncate(self._handle(name), at)
        else:
            handle, view = self._handle(name), memoryview(data)
            while view:
                written = os.pwrite(handle, view, at)
                at, view = at + written, view[written:]

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

    def _break(self) -> None:
        if not self._broken:
            self._broken = True
            self._call(self._on_broken)

    def _flush(self, steps: list[_Step], names: list[str], done: Callable[[bool], None]) -> None:
        made = self._make(steps)
        try:
            for name in names if made else []:
                if name in self._handles or (self._folder / name).exists():
                    os.fsync(self._handle(name))
            self._flush_folder()
        except OSError:
            self._break()
        ok = made and not self._broken
        self._call(lambda: done(ok))

    def _replace(
        self, steps: list[_Step], number: int, name: str, data: bytes, done: Callable[[bool], None]
    ) -> None:
        self._make(steps)
        ok = not self._broken
        try:
            self._drop_handle(name)
            path = self._folder / f"{name}.tmp"
            with open(path, "wb") as page:
                page.write(data)
                page.flush()
                os.fsync(page.fileno())
            os.replace(path, self._folder / name)
            self._folder_changed = True
            self._flush_folder()
        except OSError:
            ok = False
        self._made = max(self._made, number)
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
