"""The disk under a data folder: room, what is kept back, and a flush that fails."""

import os
import tempfile

from testtools import TestCase
from testtools.matchers import Equals

from stacks import DiskFull, FolderDisk


class Folder(TestCase):
    def disk(self, room_bytes=1000):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.done, self.broken = [], []
        disk = FolderDisk(folder.name, room_bytes, lambda call: call(), lambda: self.broken.append(True))
        self.addCleanup(disk.close)
        return disk

    def drained(self, disk):
        disk._worker.submit(lambda: None).result()

    def test_room_is_kept_back_for_what_is_urgent(self):
        disk = self.disk()
        disk.write("a", 0, b"x" * 800)
        self.assertRaises(DiskFull, disk.write, "a", 800, b"x")
        disk.write("a", 0, b"y" * 800)
        disk.write("a", 800, b"x" * 200, urgent=True)
        self.assertRaises(DiskFull, disk.write, "b", 0, b"x", True)
        disk.remove("a")
        disk.write("b", 0, b"x")
        disk.replace("c", b"z" * 5000, self.done.append)
        disk.replace("c", b"z" * 20, self.done.append)
        self.drained(disk)
        self.assertThat((self.done, disk.read("c"), disk.names()), Equals(([False, True], b"z" * 20, ["b", "c"])))

    def test_a_failed_flush_breaks_the_disk_for_good(self):
        disk = self.disk()
        disk.write("a", 0, b"x")
        disk.flush(["a"], self.done.append)
        self.drained(disk)
        os.close(disk._handles["a"])
        disk.flush(["a"], self.done.append)
        self.drained(disk)
        disk._handles.clear()
        disk.flush([], self.done.append)
        self.drained(disk)
        self.assertThat((self.done, self.broken), Equals(([True, False, False], [True])))
        self.assertRaises(DiskFull, disk.write, "a", 0, b"x")
