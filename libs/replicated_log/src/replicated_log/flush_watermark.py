"""The flush mark: how far the log on a disk has been reported flushed.

On opening, it tells an unflushed tail that was torn off from damage to flushed records.
"""

from storage import Disk, frame, scan

from replicated_log.metadata_file import MetadataFile

__all__ = ["FlushWatermark"]

_NAME = "mark"


class FlushWatermark:
    """The last sequence number reported flushed, stored with the fence under which this was so."""

    __slots__ = ("_disk", "_metadata_file")

    def __init__(self, disk: Disk, metadata_file: MetadataFile) -> None:
        self._disk = disk
        self._metadata_file = metadata_file

    def read(self) -> int:
        """Return the mark, or 0 if it was written under an earlier fence.

        What an earlier mark speaks of may have been cut off since.
        """
        names = self._disk.names()
        frames = scan(self._disk.read(_NAME))[0] if _NAME in names else []
        fence, seq = (int(part) for part in frames[0][1].split()) if frames else (-1, 0)
        meta = self._metadata_file.meta
        return seq if fence == meta.fence == meta.log_epoch else 0

    def write(self, seq: int) -> None:
        """Write the mark lazily if there is room and the log is of the present fence's epoch."""
        meta = self._metadata_file.meta
        if meta.fence == meta.log_epoch and self._disk.roomy(64, True):
            self._disk.write(_NAME, 0, frame(f"{meta.fence:020d} {seq:020d}".encode()), True)
