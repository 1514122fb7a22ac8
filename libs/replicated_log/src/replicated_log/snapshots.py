"""Snapshots of the committed state: a header, then the entries that recreate the state.

A snapshot is built in steps, so that the event loop isn't blocked for long. A job or key that isn't
in the snapshot yet is encoded before a committed entry changes it, so the snapshot has the state at
the time when it was started.
"""

from batch_state.state import BatchState
from messaging import Message, decode, encode
from storage import DamageError, frame, scan_frames

from replicated_log.archive_blocks import ArchivedKind
from replicated_log.messages import SnapshotHeader, Stamp

__all__ = ["SnapshotBuilder", "build_snapshot", "read_snapshot", "read_whole_snapshot"]

_STEP_BYTES = 1 << 18

_ItemName = tuple[ArchivedKind, str]


class SnapshotBuilder:
    """A snapshot being built; `seq` and `stamp` are those of the last record that it covers."""

    __slots__ = ("_pending", "_rows", "_state", "seq", "stamp")

    def __init__(self, state: BatchState, seq: int, stamp: Stamp) -> None:
        self._state = state
        self.seq, self.stamp = seq, stamp
        names = [(ArchivedKind.JOB, name) for name in state.jobs]
        names += [(ArchivedKind.KEY, name) for name in state.keys]
        self._pending: dict[_ItemName, None] = dict.fromkeys(names)
        self._rows: dict[_ItemName, list[bytes]] = {name: [] for name in names}

    def step(self) -> bool:
        """Encode about `_STEP_BYTES` of the state; return whether all of it is encoded."""
        size_bytes = 0
        while self._pending and size_bytes < _STEP_BYTES:
            size_bytes += self._encode(next(iter(self._pending)))
        return not self._pending

    def before_apply(self, entry: Message) -> None:
        """Encode the job or key that a committed entry is about to change, if it isn't yet."""
        name = _changed_item(entry)
        if name in self._pending:
            self._encode(name)

    def _encode(self, name: _ItemName) -> int:
        del self._pending[name]
        rows = self._rows[name] = self._state.encoded_entries(*name, frame)
        return sum(map(len, rows))

    def to_bytes(self) -> bytes:
        """Return the finished snapshot."""
        rows = [row for rows in self._rows.values() for row in rows]
        header = SnapshotHeader(
            seq=self.seq, epoch=self.stamp.epoch, stamp_ms=self.stamp.time_ms, count=len(rows)
        )
        return b"".join([frame(encode(header)), *rows])


def _changed_item(entry: Message) -> _ItemName:
    job_id: str | None = getattr(entry, "job_id", None)
    if job_id is not None:
        return (ArchivedKind.JOB, job_id)
    key: str = getattr(entry, "key")  # noqa: B009 (entries of keys have no common base class)
    return (ArchivedKind.KEY, key)


def build_snapshot(state: BatchState, seq: int, stamp: Stamp) -> bytes:
    """Build a snapshot in one step; the arguments are those of SnapshotBuilder."""
    builder = SnapshotBuilder(state, seq, stamp)
    while not builder.step():
        pass
    return builder.to_bytes()


def read_snapshot(data: bytes) -> tuple[SnapshotHeader | None, list[Message]]:
    """Return the header and the entries; the header is None if the snapshot isn't complete."""
    frames, end, _ = scan_frames(data)
    header = decode(frames[0][1]) if frames else None
    if not isinstance(header, SnapshotHeader):
        return None, []
    if end != len(data) or header.count != len(frames) - 1:
        return None, []
    return header, [decode(payload) for _, payload in frames[1:]]


def read_whole_snapshot(data: bytes) -> tuple[SnapshotHeader, list[Message]]:
    """Return the header and the entries. Raises DamageError if the snapshot isn't complete."""
    header, entries = read_snapshot(data)
    if header is None:
        raise DamageError("snapshot", 0)
    return header, entries
