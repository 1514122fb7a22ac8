"""Files under one data folder.

- `disk`: lazy writes, atomic replacement, flushes whose completion is reported, and a limit on the
  space used.
- `frames`: frames with checksums, and detection of torn or damaged files.

Invariants: a callback reports True only once the data is durable; after an input/output error other
than a full device nothing is reported as durable any more. This package imports none of the fleet's
packages. What files contain is up to the packages that write them.
"""

from storage.disk import Disk, DiskFullError, FolderDisk
from storage.frames import DamageError, find_frame_after_hole, frame, read_frames, scan_frames

__all__ = [
    "DamageError",
    "Disk",
    "DiskFullError",
    "FolderDisk",
    "find_frame_after_hole",
    "frame",
    "read_frames",
    "scan_frames",
]
