"""The simulated environment of one node under the explorer.

Only the explorer advances the clock and completes flushes; messages sent are collected. All random
numbers are fixed, so a node's state is a function of its boot image and the events applied to it.
"""

import random
from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum
from typing import Any, NamedTuple, TypeVar, cast

from messaging import Message
from storage import Disk

__all__ = ["BootImage", "Envelope", "ModelDisk", "ModelEnvironment"]

Item = TypeVar("Item")

_REQUESTS_PER_INCARNATION = 1_000_000


class BootImage:
    """What a process starts from: its files, its clock in ms and the number of its start."""

    __slots__ = ("clock_ms", "files", "incarnation")

    def __init__(self, files: dict[str, bytes], clock_ms: int, incarnation: int) -> None:
        self.files = files
        self.clock_ms = clock_ms
        self.incarnation = incarnation


class Envelope:
    """A message in flight; a `request_id` or `in_reply_to` of 0 means none."""

    __slots__ = ("in_reply_to", "message", "request_id", "sender", "to")

    def __init__(
        self, sender: str, to: str, request_id: int, in_reply_to: int, message: Message
    ) -> None:
        self.sender = sender
        self.to = to
        self.request_id = request_id
        self.in_reply_to = in_reply_to
        self.message = message


class _DeterministicRandom:
    """A random number generator with fixed results; `random` is 0, so no core waits by chance."""

    __slots__ = ("_incarnation",)

    def __init__(self, incarnation: int) -> None:
        self._incarnation = incarnation

    def getrandbits(self, bits: int) -> int:
        """Return the first request number of this incarnation of the process."""
        return self._incarnation * _REQUESTS_PER_INCARNATION

    def random(self) -> float:
        """Return 0."""
        return 0.0

    def randrange(self, *bounds: int) -> int:
        """Return the lower bound."""
        return bounds[0] if len(bounds) > 1 else 0

    def shuffle(self, items: list[Item]) -> None:
        """Leave the items in their order."""

    def choice(self, items: Sequence[Item]) -> Item:
        """Return the first item."""
        return items[0]

    def sample(self, items: Iterable[Item], count: int) -> list[Item]:
        """Return the first items."""
        return list(items)[:count]


class ModelEnvironment:
    """The simulated `messaging.Environment` of a node.

    `sent` collects the messages sent, and `on_send` is called with each of them. `requests` has
    the requests received, by their sender and number.
    """

    __slots__ = (
        "_tokens",
        "address",
        "incarnation",
        "name",
        "now_ms",
        "on_send",
        "requests",
        "rng",
        "sent",
    )

    def __init__(self, name: str, address: str, boot_image: BootImage) -> None:
        self.name = name
        self.address = address
        self.incarnation = boot_image.incarnation
        self.now_ms = boot_image.clock_ms
        self.rng = cast(random.Random, _DeterministicRandom(boot_image.incarnation))
        self.sent: list[Envelope] = []
        self.requests: dict[tuple[str, int], Message] = {}
        self.on_send: Callable[[Envelope], None] = lambda envelope: None
        self._tokens = 0

    def now(self) -> int:
        """Return the node's clock in ms."""
        return self.now_ms

    def wall(self) -> int:
        """Return the wall clock in ms, here the same as the node's clock."""
        return self.now_ms

    def token(self) -> str:
        """Return a token that is unique among all processes of a run."""
        self._tokens += 1
        return f"{self.name}-{self.incarnation}-{self._tokens}"

    def send(self, to: str, request_id: int, in_reply_to: int, message: Message) -> None:
        """Add a message that the node sends to `sent`, and call `on_send`."""
        envelope = Envelope(self.address, to, request_id, in_reply_to, message)
        self.sent.append(envelope)
        self.on_send(envelope)

    def received(self, envelope: Envelope) -> None:
        """Record a message if it is a request, so that the request of a reply can be found."""
        if envelope.request_id:
            self.requests[(envelope.sender, envelope.request_id)] = envelope.message

    def log(self, event: str, level: str = "INFO", **fields: Any) -> None:
        """Discard the event."""
        return


class _StepKind(StrEnum):
    WRITE = "write"
    TRUNCATE = "truncate"
    REMOVE = "remove"


class _DiskStep(NamedTuple):
    """A change of a file; `offset` is the new size if the file is truncated."""

    kind: _StepKind
    offset: int = 0
    data: bytes = b""

    def apply(self, files: dict[str, bytes], name: str) -> None:
        """Change the file in `files`; a write beyond its end fills the gap with zeros."""
        if self.kind is _StepKind.REMOVE:
            files.pop(name, None)
            return
        old = files.get(name, b"")
        content = old[: self.offset].ljust(self.offset, b"\0")
        if self.kind is _StepKind.WRITE:
            content += self.data + old[self.offset + len(self.data) :]
        files[name] = content


class _UnfinishedFlush:
    """An unfinished flush, or an unfinished replacement of a file.

    A flush has the number of pending steps of each file that it covers in `step_counts`; a
    replacement has the name of the file and its new content in `data`.
    """

    __slots__ = ("data", "done", "name", "step_counts")

    def __init__(
        self,
        done: Callable[[bool], None],
        name: str = "",
        data: bytes | None = None,
        step_counts: dict[str, int] | None = None,
    ) -> None:
        self.done = done
        self.name = name
        self.data = data
        self.step_counts = step_counts or {}


class ModelDisk(Disk):
    """A disk of unlimited size that never fails, whose flushes end only by `complete`.

    `files` is the content that the process reads, and `durable` what remains after a power loss.
    `pending` has the steps of each file that are not durable yet.
    """

    __slots__ = ("durable", "files", "pending", "unfinished")

    def __init__(self, files: dict[str, bytes]) -> None:
        self.files = dict(files)
        self.durable = dict(files)
        self.pending: dict[str, list[_DiskStep]] = {}
        self.unfinished: list[_UnfinishedFlush] = []

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        """Return a file's content; KeyError if there is no such file."""
        return self.files[name]

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Return up to `size` bytes of a file from `offset`; empty if there is no such file."""
        return self.files.get(name, b"")[offset : offset + size]

    def has_room(self, size: int, urgent: bool = False) -> bool:
        """Whether there is room for `size` bytes: always."""
        return True

    def start_writeback(self) -> None:
        """Do nothing: writes are visible to the process at once."""
        return

    def write(self, name: str, offset: int, data: bytes, urgent: bool = False) -> None:
        """Write `data` at `offset`; not durable before a flush."""
        self._add_step(name, _DiskStep(_StepKind.WRITE, offset, bytes(data)))

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes; not durable before a flush."""
        if name in self.files and size != len(self.files[name]):
            self._add_step(name, _DiskStep(_StepKind.TRUNCATE, size))

    def remove(self, name: str) -> None:
        """Remove a file; not durable before a flush."""
        if name in self.files:
            self._add_step(name, _DiskStep(_StepKind.REMOVE))

    def flush(self, names: list[str], done: Callable[[bool], None]) -> None:
        """Begin a flush of these files and of all removals; `done` is called when it ends."""
        removed = [
            name
            for name, steps in self.pending.items()
            if any(step.kind is _StepKind.REMOVE for step in steps)
        ]
        step_counts = {name: len(self.pending.get(name, ())) for name in [*names, *removed]}
        self.unfinished.append(_UnfinishedFlush(done, step_counts=step_counts))

    def replace(self, name: str, data: bytes, done: Callable[[bool], None]) -> None:
        """Begin an atomic replacement of a file's content; `done` is called when it ends."""
        self.unfinished.append(_UnfinishedFlush(done, name, bytes(data)))

    def quarantine(self) -> None:
        """Remove everything, durably."""
        for files in (self.files, self.durable, self.pending):
            files.clear()

    @property
    def is_flushing(self) -> bool:
        """Whether a flush or replacement has not ended."""
        return bool(self.unfinished)

    def complete(self) -> None:
        """Complete the oldest flush or replacement, and call its callback with True."""
        flush = self.unfinished.pop(0)
        if flush.data is not None:
            self.files[flush.name] = self.durable[flush.name] = flush.data
            self.pending.pop(flush.name, None)
        for name, count in flush.step_counts.items():
            steps = self.pending.get(name, [])
            for step in steps[:count]:
                step.apply(self.durable, name)
            self.pending[name] = steps[count:]
        flush.done(True)

    def _add_step(self, name: str, step: _DiskStep) -> None:
        step.apply(self.files, name)
        self.pending.setdefault(name, []).append(step)
