"""The flush watermark: how far the log on a disk has been reported flushed.

On opening, it tells an unflushed tail that was torn off from damage to flushed records.
"""

from storage import Disk, frame, scan_frames

from replicated_log.metadata_file import MetadataFile

__all__ = ["FlushWatermark"]

_FILE = "mark"
_SPACE_BYTES = 64


class FlushWatermark:
    """The last sequence number reported flushed, stored with the fence under which this was so."""

    __slots__ = ("_disk", "_metadata_file")

    def __init__(self, disk: Disk, metadata_file: MetadataFile) -> None:
        self._disk = disk
        self._metadata_file = metadata_file

    def read(self) -> int:
        """Return the watermark, or 0 if it was written under an earlier fence.

        The records that an earlier watermark counts may have been truncated since.
        """
        names = self._disk.names()
        frames = scan_frames(self._disk.read(_FILE))[0] if _FILE in names else []
        fence, seq = (int(part) for part in frames[0][1].split()) if frames else (-1, 0)
        metadata = self._metadata_file.metadata
        return seq if fence == metadata.fence == metadata.log_epoch else 0

    def write(self, seq: int) -> None:
        """Write it lazily if there is space and the log is of the present fence's epoch."""
        metadata = self._metadata_file.metadata
        if metadata.fence == metadata.log_epoch and self._disk.has_room(_SPACE_BYTES, True):
            data = frame(f"{metadata.fence:020d} {seq:020d}".encode())
            self._disk.write(_FILE, 0, data, True)
