"""Digests of simulated runs: written by the command line, and compared with another version's."""

import io
import json
import tempfile
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path

from simulator.run_digest import digest_of_run
from testbed.simulation_commands import sim
from testtools import TestCase
from testtools.matchers import Contains, Equals

SEED, FAULTS = 9101, 2
KEY = f"small {SEED} {FAULTS}"


def run_sim(**options):
    """What `sim` printed on both streams, and its exit code."""
    out = io.StringIO()
    code = 0
    with redirect_stdout(out), redirect_stderr(out):
        try:
            sim(first=SEED, count=1, faults=FAULTS, jobs=1, **options)
        except SystemExit as error:
            code = error.code
    return out.getvalue(), code


class RunDigests(TestCase):
    def test_digests_are_written_and_compared(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "digests.json"
            _, code = run_sim(digests=path)
            written = json.loads(path.read_text())
            self.assertThat(
                (code, written), Equals((0, {KEY: digest_of_run("small", SEED, FAULTS)}))
            )
            text, code = run_sim(compare=path)
            self.assertThat((code, text), Equals((0, "1 runs, 0 digests differ\n")))

    def test_a_run_that_differs_is_named_and_fails(self):
        with tempfile.TemporaryDirectory() as folder:
            path, again = Path(folder) / "digests.json", Path(folder) / "again.json"
            path.write_text(json.dumps({KEY: "another"}))
            text, code = run_sim(compare=path, digests=again)
            self.assertThat(code, Equals(1))
            self.assertThat(text, Contains(f"{KEY}: expected another, found "))
            self.assertThat(text, Contains("1 runs, 1 digests differ"))
            self.assertThat(list(json.loads(again.read_text())), Equals([KEY]))

    def test_a_file_that_holds_no_digests_is_refused(self):
        with tempfile.TemporaryDirectory() as folder:
            for number, content in enumerate(
                ("no JSON", "[]x", '{"large 1 2": "d"}', '{"small 1": ""}')
            ):
                path = Path(folder) / f"{number}.json"
                path.write_text(content)
                text, code = run_sim(compare=path)
                self.assertThat((code, "not a file of digests" in text), Equals((2, True)), content)
            self.assertThat(run_sim(compare=Path(folder) / "missing.json")[1], Equals(2))
