"""How far the log on a disk has been reported flushed, so that opening can tell a cut tail from damage."""

from storage import Disk, frame, scan

from replicated_log.meta import MetaFile

__all__ = ["FlushMark"]

_NAME = "mark"


class FlushMark:
    """The sequence number up to which flushes were reported, and the fence under which this was so."""

    __slots__ = ("_disk", "_metas")

    def __init__(self, disk: Disk, metas: MetaFile) -> None:
        self._disk = disk
        self._metas = metas

    def read(self) -> int:
        """A mark from before the present fence says nothing: what it speaks of may have been cut off since."""
        names = self._disk.names()
        frames = scan(self._disk.read(_NAME))[0] if _NAME in names else []
        fence, seq = (int(part) for part in frames[0][1].split()) if frames else (-1, 0)
        meta = self._metas.meta
        return seq if fence == meta.fence == meta.log_epoch else 0

    def write(self, seq: int) -> None:
        """Written only while the disk has taken over the epoch that it is fenced for."""
        meta = self._metas.meta
        if meta.fence == meta.log_epoch and self._disk.roomy(64, True):
            self._disk.write(_NAME, 0, frame(f"{meta.fence:020d} {seq:020d}".encode()), True)
