"""The metadata file of a replica: its identity, its fence and its log epoch.

Each new state of the metadata is appended to the file as two equal frames, which need one flush.
After a torn write, the last state whose flush was reported is still intact. No state is lost if one
frame is damaged, since each state has two. Save requests that arrive during a write are combined in
the next write; a request that the current write already covers completes with it.
"""

from collections.abc import Callable

from messaging import decode_as, encode
from storage import DamageError, Disk, DiskFullError, frame, scan_frames

from replicated_log.messages import ReplicaMetadata

__all__ = ["MetadataFile"]

_FILE = "meta"
_MAX_APPENDED_BYTES = 4096
SaveCallback = Callable[[bool], None]


class _SaveRequest:
    """The metadata that a caller wants on disk, and its callback."""

    __slots__ = ("done", "metadata")

    def __init__(self, metadata: ReplicaMetadata, done: SaveCallback) -> None:
        self.metadata = metadata
        self.done = done


def _covers(metadata: ReplicaMetadata, wanted: ReplicaMetadata) -> bool:
    """Whether the fence and the log epoch of `metadata` are at least those of `wanted`."""
    return metadata.fence >= wanted.fence and metadata.log_epoch >= wanted.log_epoch


class MetadataFile:
    """The metadata of a replica in memory and on disk.

    `metadata` is the last state known to be on disk. `is_new` means that the disk had no metadata
    file, so the identity is new, made with `token`, and not on disk before the first save. The
    constructor raises DamageError if the file exists but has no intact frame.
    """

    __slots__ = ("_disk", "_end_bytes", "_requests", "_waiting", "_writing", "is_new", "metadata")

    def __init__(self, disk: Disk, token: Callable[[], str]) -> None:
        self._disk = disk
        self._end_bytes = 0
        self._requests: list[_SaveRequest] = []
        self._waiting: list[SaveCallback] = []
        self._writing: ReplicaMetadata | None = None
        self.is_new = _FILE not in disk.names()
        if self.is_new:
            self.metadata = ReplicaMetadata(identity=f"store-{token()}", fence=0, log_epoch=0)
        else:
            self.metadata = self._read(disk.read(_FILE))

    def _read(self, data: bytes) -> ReplicaMetadata:
        """Return the highest fence and the highest log epoch of all intact frames.

        A file that isn't intact up to its end is replaced as a whole by the next write.
        """
        states: list[ReplicaMetadata] = []
        offset: int | None = 0
        while offset is not None:
            frames, end, later = scan_frames(data[offset:])
            states += [decode_as(ReplicaMetadata, payload) for _, payload in frames]
            self._end_bytes = offset + end if later is None and offset + end == len(data) else 0
            offset = None if later is None else offset + later
        if not states:
            raise DamageError(_FILE, 0)
        return _highest(states[-1].identity, states)

    def save(self, done: SaveCallback, fence: int, log_epoch: int) -> None:
        """Durably raise the fence and the log epoch to at least these values.

        `metadata` changes once the new values are on disk; `done` is then called with True, or with
        False if the write failed. Neither value is ever lowered.
        """
        wanted = ReplicaMetadata(
            identity=self.metadata.identity,
            fence=max(self.metadata.fence, fence),
            log_epoch=max(self.metadata.log_epoch, log_epoch),
        )
        if self._writing is not None and _covers(self._writing, wanted):
            self._waiting.append(done)
            return
        self._requests.append(_SaveRequest(wanted, done))
        if self._writing is None:
            self._write()

    def _write(self) -> None:
        """Write the combined values of all waiting requests.

        The file is replaced as a whole if it isn't intact, if it has more than
        `_MAX_APPENDED_BYTES`, or if the disk has no space for the appended frames.
        """
        requests, self._requests = self._requests, []
        states = [self.metadata, *[request.metadata for request in requests]]
        metadata = self._writing = _highest(self.metadata.identity, states)
        self._waiting = [request.done for request in requests]

        def written(ok: bool) -> None:
            self._writing = None
            waiting, self._waiting = self._waiting, []
            if ok:
                self.metadata = metadata
            for done in waiting:
                done(ok)
            if self._requests and self._writing is None:
                self._write()

        data = 2 * frame(encode(metadata))
        try:
            if not 0 < self._end_bytes <= _MAX_APPENDED_BYTES:
                raise DiskFullError(_FILE)
            self._disk.write(_FILE, self._end_bytes, data, True)
            self._end_bytes += len(data)
            self._disk.flush([_FILE], written)
        except DiskFullError:
            self._end_bytes = len(data)
            self._disk.replace(_FILE, data, written)


def _highest(identity: str, states: list[ReplicaMetadata]) -> ReplicaMetadata:
    """Return metadata with the highest fence and the highest log epoch of `states`."""
    return ReplicaMetadata(
        identity=identity,
        fence=max(state.fence for state in states),
        log_epoch=max(state.log_epoch for state in states),
    )
