"""Durable storage of files in one data folder.

- `disk`: lazy writes, atomic replacement, flushes whose completion is reported, and a limit on the
  space used.
- `frames`: frames with checksums, and detection of torn or damaged files.

Invariants: a callback is called with True only once the data is durable; after a failed flush, or
an I/O error in lazy work other than a full device, no data is reported as durable any more. This
package imports no other package of the project. The contents of files are defined by the packages
that write them.
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
