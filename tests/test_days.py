"""One short day on real processes in surroundings that fail: all stores lose power just after a receipt,
then one edge, one store and one control machine are cut off in turn, under traffic, judged by the
oracle.
"""

import asyncio
import tempfile

from storage import FolderDisk
from testbed.fault_injection import PowerLossDisk
from testbed.scenario_run import run_scenario
from testtools import TestCase
from testtools.matchers import Equals


class Days(TestCase):
    def test_power_lost_after_a_receipt_and_machines_cut_off(self):
        with tempfile.TemporaryDirectory() as folder:
            traffic, broken = asyncio.run(
                run_scenario("thin", "short-power", 1, folder, 6.0, 8.0, 25400)
            )
        self.assertThat(broken, Equals({}))
        self.assertThat(len(traffic.history.rows_of("fault")), Equals(2))

    def test_what_was_not_flushed_is_gone_with_the_power(self):
        with tempfile.TemporaryDirectory() as folder:

            def disk():
                return PowerLossDisk(FolderDisk(folder, 10_000, lambda call: call()), 3)

            first, told = disk(), []
            first.write("a", 0, b"flushed")
            first.flush(["a"], told.append)
            first._inner._worker.submit(lambda: None).result()
            for place in range(20):
                first.write("a", 7 + place, b"x")
            first.replace("meta", b"kept", told.append)
            first._inner._worker.submit(lambda: None).result()
            self.assertThat((told, first.read("a")), Equals(([True, True], b"flushed" + b"x" * 20)))
            again = disk()
            self.assertThat(
                (again.read("a")[:7], again.read("meta")), Equals((b"flushed", b"kept"))
            )
            self.assertThat(again.read("a") != first.read("a"), Equals(True))
