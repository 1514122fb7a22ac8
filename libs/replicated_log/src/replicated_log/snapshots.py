"""Snapshots of the settled ledger: a head, then the entries that fold to that ledger.

A snapshot is made in steps, so that the event loop is never blocked for long. Whatever a newly
settled entry is about to change is encoded beforehand, so the snapshot shows the ledger as it was
when it was begun.
"""

from typing import Any

from messaging import Message, decode, encode
from storage import DamageError, frame, scan

from replicated_log.messages import SnapshotHeader

__all__ = ["SnapshotMaker", "make_snapshot", "read_snapshot", "read_whole_snapshot"]

_STEP_BYTES = 1 << 18


class SnapshotMaker:
    """A snapshot in the making; `seq` and `stamp` are those of the last record that it covers."""

    __slots__ = ("_state", "_rows", "_todo", "seq", "stamp")

    def __init__(self, state: Any, seq: int, stamp: tuple[int, int]) -> None:
        self._state = state
        self.seq, self.stamp = seq, stamp
        names = [("lot", name) for name in state.jobs] + [("key", name) for name in state.keys]
        self._todo: dict[tuple[str, str], None] = dict.fromkeys(names)
        self._rows: dict[tuple[str, str], list[bytes]] = {name: [] for name in names}

    def step(self) -> bool:
        """Encode some more of the ledger and return whether that was all."""
        size_bytes = 0
        while self._todo and size_bytes < _STEP_BYTES:
            size_bytes += self._encode(next(iter(self._todo)))
        return not self._todo

    def before(self, entry: Message) -> None:
        """Encode what a settled entry is about to change; call it before the entry is applied."""
        name = ("lot", entry.job_id) if hasattr(entry, "job_id") else ("key", entry.key)
        if name in self._todo:
            self._encode(name)

    def _encode(self, name: tuple[str, str]) -> int:
        del self._todo[name]
        rows = self._rows[name] = self._state.encoded_entries(*name, frame)
        return sum(map(len, rows))

    def whole(self) -> bytes:
        """Return the finished snapshot as bytes."""
        rows = [row for rows in self._rows.values() for row in rows]
        head = SnapshotHeader(
            seq=self.seq, epoch=self.stamp[0], stamp_ms=self.stamp[1], count=len(rows)
        )
        return b"".join([frame(encode(head)), *rows])


def read_snapshot(data: bytes) -> tuple[SnapshotHeader | None, list[Message]]:
    """Return the head and the entries; the head is None if the bytes are no whole snapshot."""
    frames, end, _ = scan(data)
    head = decode(frames[0][1]) if frames else None
    if head is None or end != len(data) or head.count != len(frames) - 1:
        return None, []
    return head, [decode(payload) for _, payload in frames[1:]]


def make_snapshot(state: Any, seq: int, stamp: tuple[int, int]) -> bytes:
    """Make a snapshot without a pause."""
    maker = SnapshotMaker(state, seq, stamp)
    while not maker.step():
        pass
    return maker.whole()


def read_whole_snapshot(data: bytes) -> tuple[SnapshotHeader, list[Message]]:
    """Return the head and the entries. Raises DamageError if the bytes are no whole snapshot."""
    head, entries = read_snapshot(data)
    if head is None:
        raise DamageError("snapshot", 0)
    return head, entries
