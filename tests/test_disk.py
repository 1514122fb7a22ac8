"""The disk on a data folder: capacity and reserved share, order of work, failed flushes and full devices."""

import errno
import os
import tempfile
import threading

from storage import DiskFullError, FolderDisk
from testtools import TestCase
from testtools.matchers import Equals


class FolderDiskTest(TestCase):
    def disk(self, capacity_bytes=1000):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.done, self.broken = [], []
        disk = FolderDisk(
            folder.name, capacity_bytes, lambda call: call(), lambda: self.broken.append(True)
        )
        self.addCleanup(disk.close)
        return disk

    def drain(self, disk):
        disk._worker.submit(lambda: None).result()

    def test_part_of_the_capacity_is_reserved_for_urgent_writes(self):
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
        self.drain(disk)
        self.assertThat(
            (self.done, disk.read("c"), disk.names()),
            Equals(([False, True], b"z" * 20, ["b", "c"])),
        )

    def test_a_failed_flush_breaks_the_disk_for_good(self):
        disk = self.disk()
        disk.write("a", 0, b"x")
        disk.flush(["a"], self.done.append)
        self.drain(disk)
        os.close(disk._handles["a"])
        disk.flush(["a"], self.done.append)
        self.drain(disk)
        disk._handles.clear()
        disk.flush([], self.done.append)
        self.drain(disk)
        self.assertThat((self.done, self.broken), Equals(([True, False, False], [True])))
        self.assertRaises(DiskFullError, disk.write, "a", 0, b"x")

    def test_steps_are_done_in_the_order_of_submission(self):
        disk = self.disk(100_000)
        for index in range(50):
            disk.write("a", 2 * index, b"%02d" % index)
        disk.truncate("a", 60)
        disk.write("a", 60, b"end")
        disk.write("b", 0, b"gone")
        disk.remove("b")
        self.assertThat((disk.names(), disk.read("a")[-5:]), Equals((["a"], b"29end")))
        self.assertThat(disk.read_at("a", 4, 4), Equals(b"0203"))
        disk.replace("a", b"anew", self.done.append)
        disk.write("a", 4, b"er")
        disk.flush(["a"], self.done.append)
        self.drain(disk)
        self.assertThat((disk.read_at("a", 0, 9), self.done), Equals((b"anewer", [True, True])))

    def test_writes_do_not_wait_for_a_slow_flush(self):
        disk, worker_gate = self.disk(), threading.Event()
        disk._worker.submit(worker_gate.wait)
        disk.write("a", 0, b"x")
        disk.flush(["a"], self.done.append)
        disk.write("a", 1, b"y")
        disk.start_writeback()
        self.assertThat((self.done, disk.names()), Equals(([], ["a"])))
        worker_gate.set()
        self.drain(disk)
        self.assertThat((self.done, disk.read("a")), Equals(([True], b"xy")))

    def test_work_that_a_full_device_refused_is_tried_again(self):
        disk = self.disk()
        original_pwrite, is_full = os.pwrite, [True]

        def pwrite(handle, data, offset):
            if is_full[0]:
                raise OSError(errno.ENOSPC, "full")
            return original_pwrite(handle, data, offset)

        self.addCleanup(setattr, os, "pwrite", original_pwrite)
        os.pwrite = pwrite
        disk.write("a", 0, b"kept")
        disk.flush(["a"], self.done.append)
        self.drain(disk)
        self.assertThat((self.done, self.broken), Equals(([False], [])))
        self.assertRaises(DiskFullError, disk.write, "a", 4, b"x", True)
        is_full[0] = False
        disk.flush(["a"], self.done.append)
        self.drain(disk)
        disk.write("a", 4, b"!")
        self.assertThat(
            (self.done, disk.read("a"), self.broken), Equals(([False, True], b"kept!", []))
        )

    def test_the_folder_is_flushed_once_after_a_file_is_created_or_removed(self):
        disk, folder_changes = self.disk(), []
        flush_folder = disk._flush_folder
        disk._flush_folder = lambda: (folder_changes.append(disk._folder_changed), flush_folder())
        for _ in range(3):
            disk.write("a", 0, b"x")
            disk.flush(["a"], self.done.append)
        disk.remove("a")
        disk.flush([], self.done.append)
        self.drain(disk)
        self.assertThat(folder_changes, Equals([True, False, False, True]))
