"""A short scenario on real processes under traffic, judged by the oracle: all stores lose power right after an
acknowledgement, then one edge, one store and one control node are isolated in turn. It guards against the loss of
acknowledged work, and against further breaches of the oracle's rules, under such faults.
"""

import asyncio
import tempfile

from storage import FolderDisk
from testbed.fault_injection import PowerLossDisk
from testbed.scenario_run import run_scenario
from testtools import TestCase
from testtools.matchers import Equals


class Scenarios(TestCase):
    def test_power_loss_after_acknowledgement_and_isolated_nodes(self):
        with tempfile.TemporaryDirectory() as folder:
            traffic, broken = asyncio.run(
                run_scenario("thin", "short-power", 1, folder, 6.0, 8.0, 25400)
            )
        self.assertThat(broken, Equals({}))
        self.assertThat(len(traffic.history.rows_of("fault")), Equals(2))

    def test_unflushed_writes_are_lost_with_the_power(self):
        with tempfile.TemporaryDirectory() as folder:

            def disk():
                return PowerLossDisk(FolderDisk(folder, 10_000, lambda call: call()), 3)

            first, results = disk(), []
            first.write("a", 0, b"flushed")
            first.flush(["a"], results.append)
            first._inner._worker.submit(lambda: None).result()
            for index in range(20):
                first.write("a", 7 + index, b"x")
            first.replace("meta", b"kept", results.append)
            first._inner._worker.submit(lambda: None).result()
            self.assertThat(
                (results, first.read("a")), Equals(([True, True], b"flushed" + b"x" * 20))
            )
            reopened = disk()
            self.assertThat(
                (reopened.read("a")[:7], reopened.read("meta")), Equals((b"flushed", b"kept"))
            )
            self.assertThat(reopened.read("a") != first.read("a"), Equals(True))
