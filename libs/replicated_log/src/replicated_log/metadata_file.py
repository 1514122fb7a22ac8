"""The metadata file of a replica: its identity, its fence and its log epoch.

Each state is appended twice behind the states before it and needs one flush. A torn write leaves
the last state whose flush was reported, and one damaged frame hides no state. Requests that arrive
during a write share the next one; a request that the running write already covers waits for that
write.
"""

from collections.abc import Callable

from messaging import decode, encode
from storage import DamageError, Disk, DiskFullError, frame, scan

from replicated_log.messages import ReplicaMetadata

__all__ = ["MetadataFile"]

_NAME = "meta"
_FILE_BYTES = 4096
Done = Callable[[bool], None]


def _covers(meta: ReplicaMetadata, wanted: ReplicaMetadata) -> bool:
    """Whether `meta` is at least as high as `wanted` in both numbers."""
    return meta.fence >= wanted.fence and meta.log_epoch >= wanted.log_epoch


class MetadataFile:
    """The metadata of a replica in memory and on disk.

    `meta` is the last state known to be on disk; `fresh` says that the disk held no metadata file,
    so that a new identity was made from `token`. Raises DamageError on opening if the file exists
    but has no intact frame.
    """

    __slots__ = ("_disk", "_end_bytes", "_next", "_waiters", "_writing", "fresh", "meta")

    def __init__(self, disk: Disk, token: Callable[[], str]) -> None:
        self._disk = disk
        self._end_bytes = 0
        self._next: list[tuple[ReplicaMetadata, Done]] = []
        self._waiters: list[Done] = []
        self._writing: ReplicaMetadata | None = None
        self.fresh = _NAME not in disk.names()
        if self.fresh:
            self.meta = ReplicaMetadata(identity=f"store-{token()}", fence=0, log_epoch=0)
        else:
            self._open(disk.read(_NAME))

    def _open(self, data: bytes) -> None:
        """Read the file back: the highest of each number stands.

        A file that isn't intact up to its end is replaced as a whole by the next write.
        """
        rows, offset = [], 0
        while offset is not None:
            frames, end, later = scan(data[offset:])
            rows += [decode(payload) for _, payload in frames]
            self._end_bytes = offset + end if later is None and offset + end == len(data) else 0
            offset = None if later is None else offset + later
        if not rows:
            raise DamageError(_NAME, 0)
        self.meta = ReplicaMetadata(
            identity=rows[-1].identity,
            fence=max(row.fence for row in rows),
            log_epoch=max(row.log_epoch for row in rows),
        )

    def keep(self, done: Done, fence: int, log_epoch: int) -> None:
        """Raise the fence and the log epoch to at least these values, durably.

        `done` gets True once the new values are on disk, which is when they begin to count, and
        False if the write failed. Neither number is ever lowered.
        """
        wanted = ReplicaMetadata(
            identity=self.meta.identity,
            fence=max(self.meta.fence, fence),
            log_epoch=max(self.meta.log_epoch, log_epoch),
        )
        if self._writing is not None and _covers(self._writing, wanted):
            self._waiters.append(done)
            return
        self._next.append((wanted, done))
        if self._writing is None:
            self._write()

    def _write(self) -> None:
        rows, self._next = self._next, []
        metadata_file = [self.meta, *[wanted for wanted, _ in rows]]
        meta = self._writing = ReplicaMetadata(
            identity=self.meta.identity,
            fence=max(row.fence for row in metadata_file),
            log_epoch=max(row.log_epoch for row in metadata_file),
        )
        self._waiters = [done for _, done in rows]

        def kept(ok: bool) -> None:
            self._writing = None
            pending_appends, self._waiters = self._waiters, []
            if ok:
                self.meta = meta
            for pending in pending_appends:
                pending(ok)
            if self._next and self._writing is None:
                self._write()

        data = 2 * frame(encode(meta))
        try:
            if not 0 < self._end_bytes <= _FILE_BYTES:
                raise DiskFullError(_NAME)
            self._disk.write(_NAME, self._end_bytes, data, True)
            self._end_bytes += len(data)
            self._disk.flush([_NAME], kept)
        except DiskFullError:
            self._end_bytes = len(data)
            self._disk.replace(_NAME, data, kept)
