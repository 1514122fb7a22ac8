"""The simulated environment of one node under the explorer.

The clock moves and flushes end only when told to, and messages sent are collected. Every random
number is fixed, so a node's state is a function of the events that it has been given.
"""

from collections.abc import Callable
from typing import Any

from messaging import Message
from storage import Disk

__all__ = ["BootImage", "ModelDisk", "ModelEnvironment", "Posted"]

_REFS_PER_LIFE = 1_000_000


class BootImage:
    """What a process starts from: its files, its clock (ms) and the number of the start."""

    __slots__ = ("clock_ms", "files", "life")

    def __init__(self, files: dict[str, bytes], clock_ms: int, life: int) -> None:
        self.files = files
        self.clock_ms = clock_ms
        self.life = life

    def key(self) -> tuple:
        """Return a key that is equal for images from which a process starts alike."""
        return (tuple(sorted(self.files.items())), self.clock_ms, self.life)


class Posted:
    """A message in flight, with its own reference and the one that it replies to (0 for none)."""

    __slots__ = ("message", "in_reply_to", "request_id", "sender", "to")

    def __init__(
        self, sender: str, to: str, request_id: int, in_reply_to: int, message: Message
    ) -> None:
        self.sender = sender
        self.to = to
        self.request_id = request_id
        self.in_reply_to = in_reply_to
        self.message = message


class _FixedNumbers:
    """A random number generator with fixed results; `random` never makes a core wait."""

    __slots__ = ("_life",)

    def __init__(self, life: int) -> None:
        self._life = life

    def getrandbits(self, bits: int) -> int:
        """Return the first message reference of this process's life."""
        return self._life * _REFS_PER_LIFE

    def random(self) -> float:
        return 0.0

    def randrange(self, *bounds: int) -> int:
        return bounds[0] if len(bounds) > 1 else 0

    def shuffle(self, rows: list) -> None:
        return None

    def choice(self, rows: list) -> Any:
        return rows[0]

    def sample(self, rows: list, count: int) -> list:
        return list(rows)[:count]


class ModelEnvironment:
    """The environment that `messaging` gives a node.

    `posted` collects the messages sent, and `on_post` is called with each of them. `requests` has
    the requests received, by sender and reference.
    """

    __slots__ = (
        "_tokens",
        "address",
        "life",
        "name",
        "now_ms",
        "on_post",
        "posted",
        "requests",
        "rng",
    )

    def __init__(self, name: str, address: str, image: BootImage) -> None:
        self.name = name
        self.address = address
        self.life = image.life
        self.now_ms = image.clock_ms
        self.rng = _FixedNumbers(image.life)
        self.posted: list[Posted] = []
        self.requests: dict[tuple[str, int], Message] = {}
        self.on_post: Callable[[Posted], None] = lambda posted: None
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
        return f"{self.name}-{self.life}-{self._tokens}"

    def send(self, to: str, request_id: int, in_reply_to: int, message: Message) -> None:
        """Collect a message that the node sends."""
        posted = Posted(self.address, to, request_id, in_reply_to, message)
        self.posted.append(posted)
        self.on_post(posted)

    def received(self, posted: Posted) -> None:
        """Note a request, so that the reply to it can be told from others."""
        if posted.request_id:
            self.requests[(posted.sender, posted.request_id)] = posted.message

    def log(self, event: str, level: str = "INFO", **fields: Any) -> None:
        """Discard the event."""
        return None


class _Waiting:
    """A flush or replacement of a file that has not ended."""

    __slots__ = ("data", "done", "name", "rows")

    def __init__(
        self,
        done: Callable[[bool], None],
        name: str = "",
        data: bytes | None = None,
        rows: dict[str, int] | None = None,
    ) -> None:
        self.done = done
        self.name = name
        self.data = data
        self.rows = rows or {}


class ModelDisk(Disk):
    """A disk of unlimited size, whose flushes end only by `complete`.

    `files` is what the process reads, and `durable` what a power failure leaves.
    """

    __slots__ = ("durable", "files", "pending", "waiting")

    def __init__(self, files: dict[str, bytes]) -> None:
        self.files = dict(files)
        self.durable = dict(files)
        self.pending: dict[str, list[tuple[str, int, bytes]]] = {}
        self.waiting: list[_Waiting] = []

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        """Return a file's content; KeyError if there is no such file."""
        return self.files[name]

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Return up to `size` bytes of a file from `offset`; empty if there is no such file."""
        return self.files.get(name, b"")[offset : offset + size]

    def roomy(self, size: int, urgent: bool = False) -> bool:
        """Whether there is room for `size` bytes: always."""
        return True

    def push(self) -> None:
        """Do nothing: writes are visible to the process at once."""
        return None

    def write(self, name: str, offset: int, data: bytes, urgent: bool = False) -> None:
        """Write `data` at `offset`; not durable before a flush."""
        self._step(name, "write", offset, bytes(data))

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to `size` bytes; not durable before a flush."""
        if name in self.files and size != len(self.files[name]):
            self._step(name, "truncate", size, b"")

    def remove(self, name: str) -> None:
        """Remove a file; not durable before a flush."""
        if name in self.files:
            self._step(name, "remove", 0, b"")

    def flush(self, names: list[str], done: Callable[[bool], None]) -> None:
        """Begin a flush of these files and of all removals; `done` is called when it ends."""
        removed = [
            name
            for name, rows in self.pending.items()
            if any(kind == "remove" for kind, _, _ in rows)
        ]
        rows = {name: len(self.pending.get(name, ())) for name in [*names, *removed]}
        self.waiting.append(_Waiting(done, rows=rows))

    def replace(self, name: str, data: bytes, done: Callable[[bool], None]) -> None:
        """Begin an atomic replacement of a file's content; `done` is called when it ends."""
        self.waiting.append(_Waiting(done, name, bytes(data)))

    def set_aside(self) -> None:
        """Remove everything, durably."""
        for files in (self.files, self.durable, self.pending):
            files.clear()

    @property
    def busy(self) -> bool:
        """Whether a flush or replacement has not ended."""
        return bool(self.waiting)

    def complete(self) -> None:
        """End the oldest flush or replacement, and call back whoever waits for it."""
        row = self.waiting.pop(0)
        if row.data is not None:
            self.files[row.name] = self.durable[row.name] = row.data
            self.pending.pop(row.name, None)
        for name, count in row.rows.items():
            steps = self.pending.get(name, [])
            for kind, at, data in steps[:count]:
                _make(self.durable, name, kind, at, data)
            self.pending[name] = steps[count:]
        row.done(True)

    def _step(self, name: str, kind: str, at: int, data: bytes) -> None:
        _make(self.files, name, kind, at, data)
        self.pending.setdefault(name, []).append((kind, at, data))


def _make(files: dict[str, bytes], name: str, kind: str, at: int, data: bytes) -> None:
    if kind == "remove":
        files.pop(name, None)
        return
    page = files.get(name, b"")
    page = page[:at].ljust(at, b"\0")
    if kind == "write":
        page = page + data + files.get(name, b"")[at + len(data) :]
    files[name] = page
