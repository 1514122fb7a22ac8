"""Files under one data folder.

Frames with checksums, atomic replacement, flushes whose completion is reported, a limit on the
space used, and detection of torn or damaged files.
"""

from storage.disk import Disk, DiskFullError, FolderDisk
from storage.frames import DamageError, frame, over_hole, scan, walk

__all__ = [
    "DamageError",
    "Disk",
    "DiskFullError",
    "FolderDisk",
    "frame",
    "over_hole",
    "scan",
    "walk",
]
