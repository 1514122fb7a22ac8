"""The disk under a data folder: room, what is kept back, and a flush that fails."""

import errno
import os
import tempfile
import threading

from storage import DiskFullError, FolderDisk
from testtools import TestCase
from testtools.matchers import Equals


class Folder(TestCase):
    def disk(self, room_bytes=1000):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.done, self.broken = [], []
        disk = FolderDisk(
            folder.name, room_bytes, lambda call: call(), lambda: self.broken.append(True)
        )
        self.addCleanup(disk.close)
        return disk

    def drained(self, disk):
        disk._worker.submit(lambda: None).result()

    def test_room_is_kept_back_for_what_is_urgent(self):
        disk = self.disk()
        disk.write("a", 0, b"x" * 800)
        self.assertRaises(DiskFullError, disk.write, "a", 800, b"x")
        disk.write("a", 0, b"y" * 800)
        disk.write("a", 800, b"x" * 200, urgent=True)
        self.assertRaises(DiskFullError, disk.write, "b", 0, b"x", True)
        disk.remove("a")
        disk.write("b", 0, b"x")
        disk.replace("c", b"z" * 5000, self.done.append)
        disk.replace("c", b"z" * 20, self.done.append)
        self.drained(disk)
        self.assertThat(
            (self.done, disk.read("c"), disk.names()),
            Equals(([False, True], b"z" * 20, ["b", "c"])),
        )

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
        self.assertRaises(DiskFullError, disk.write, "a", 0, b"x")

    def test_work_is_done_in_the_order_in_which_it_was_asked(self):
        disk = self.disk(100_000)
        for place in range(50):
            disk.write("a", 2 * place, b"%02d" % place)
        disk.truncate("a", 60)
        disk.write("a", 60, b"end")
        disk.write("b", 0, b"gone")
        disk.remove("b")
        self.assertThat((disk.names(), disk.read("a")[-5:]), Equals((["a"], b"29end")))
        self.assertThat(disk.read_at("a", 4, 4), Equals(b"0203"))
        disk.replace("a", b"anew", self.done.append)
        disk.write("a", 4, b"er")
        disk.flush(["a"], self.done.append)
        self.drained(disk)
        self.assertThat((disk.read_at("a", 0, 9), self.done), Equals((b"anewer", [True, True])))

    def test_nothing_waits_for_a_slow_flush(self):
        disk, gate = self.disk(), threading.Event()
        disk._worker.submit(gate.wait)
        disk.write("a", 0, b"x")
        disk.flush(["a"], self.done.append)
        disk.write("a", 1, b"y")
        disk.push()
        self.assertThat((self.done, disk.names()), Equals(([], ["a"])))
        gate.set()
        self.drained(disk)
        self.assertThat((self.done, disk.read("a")), Equals(([True], b"xy")))

    def test_a_full_device_refuses_and_is_tried_again(self):
        disk = self.disk()
        plain, full = os.pwrite, [True]

        def pwrite(handle, data, at):
            if full[0]:
                raise OSError(errno.ENOSPC, "full")
            return plain(handle, data, at)

        self.addCleanup(setattr, os, "pwrite", plain)
        os.pwrite = pwrite
        disk.write("a", 0, b"kept")
        disk.flush(["a"], self.done.append)
        self.drained(disk)
        self.assertThat((self.done, self.broken), Equals(([False], [])))
        self.assertRaises(DiskFullError, disk.write, "a", 4, b"x", True)
        full[0] = False
        disk.flush(["a"], self.done.append)
        self.drained(disk)
        disk.write("a", 4, b"!")
        self.assertThat(
            (self.done, disk.read("a"), self.broken), Equals(([False, True], b"kept!", []))
        )

    def test_names_that_change_are_flushed_once_with_their_folder(self):
        disk, folders = self.disk(), []
        plain = disk._flush_folder
        disk._flush_folder = lambda: (folders.append(disk._folder_changed), plain())
        for _ in range(3):
            disk.write("a", 0, b"x")
            disk.flush(["a"], self.done.append)
        disk.remove("a")
        disk.flush([], self.done.append)
        self.drained(disk)
        self.assertThat(folders, Equals([True, False, False, True]))
