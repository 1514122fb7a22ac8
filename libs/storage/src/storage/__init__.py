"""Stacks: files under one data folder. Frames with checksums, atomic replacement, flushes that
are reported back, a bound on the room used, and what to do with a log that is torn or damaged.
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
