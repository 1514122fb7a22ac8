"""The flush watermark: the last record that the disk has reported as flushed.

When the log is opened, the watermark distinguishes an unflushed tail lost in a crash from damage to
flushed records.
"""

from storage import Disk, frame, scan_frames

from replicated_log.metadata_file import MetadataFile

__all__ = ["FlushWatermark"]

_FILE = "mark"
_MAX_FRAME_BYTES = 64


class FlushWatermark:
    """The last sequence number reported as flushed, stored with the fence in force at that time."""

    __slots__ = ("_disk", "_metadata_file")

    def __init__(self, disk: Disk, metadata_file: MetadataFile) -> None:
        self._disk = disk
        self._metadata_file = metadata_file

    def read(self) -> int:
        """Return the watermark, or 0 if there is none that holds.

        A watermark written under an earlier fence doesn't hold, since the records that it covers
        may have been truncated. None holds while the log hasn't adopted the present fence's epoch.
        """
        names = self._disk.names()
        frames = scan_frames(self._disk.read(_FILE))[0] if _FILE in names else []
        fence, seq = (int(part) for part in frames[0][1].split()) if frames else (-1, 0)
        metadata = self._metadata_file.metadata
        return seq if fence == metadata.fence == metadata.log_epoch else 0

    def write(self, seq: int) -> None:
        """Write the watermark without a flush.

        Does nothing if the log hasn't adopted the epoch of the present fence or the disk is full.
        """
        metadata = self._metadata_file.metadata
        if metadata.fence == metadata.log_epoch and self._disk.has_room(_MAX_FRAME_BYTES, True):
            data = frame(f"{metadata.fence:020d} {seq:020d}".encode())
            self._disk.write(_FILE, 0, data, True)
