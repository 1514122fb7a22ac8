"""Recordings of clients' calls: their replay against a real fleet, and the problems of bad files."""

import asyncio
import tempfile
from pathlib import Path

from data_plane.recorder import FORMAT, encode_row
from data_plane.recording_file import load_recording
from data_plane.replay import ReplayedCall, compare_outcomes, replay_calls
from profile_tree import TREE
from testbed.fleet import Fleet, wait_until
from testtools import TestCase
from testtools.matchers import Contains, Equals

LIVE_ROW = {
    "kind": "live",
    "at_ms": 1,
    "took_ms": 5,
    "path": "rulings",
    "stream": False,
    "key": "",
    "lot": "",
    "address": "/v1/completions",
    "from": "",
    "prompts": [{"chars": 20, "start": "ab"}],
    "status": 200,
    "verdict": "ran",
    "code": "",
    "bytes": 9,
}
FIRST_ROW = {"kind": "begin", "format": FORMAT, "edge": "e", "at_ms": 0}


class RecordingTest(TestCase):
    def load(self, *lines):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "day"
            path.write_text("".join(line + "\n" for line in lines))
            recording = load_recording(path)
            return recording.calls, [problem.replace(folder, "") for problem in recording.problems]

    def test_a_complete_recording(self):
        calls, problems = self.load(
            encode_row(FIRST_ROW),
            encode_row(LIVE_ROW),
            encode_row({"kind": "finis", "rows": 1, "at_ms": 2}),
        )
        self.assertThat((len(calls), problems), Equals((1, [])))

    def test_problems_are_named_by_line(self):
        last_line = encode_row({"kind": "finis", "rows": 1, "at_ms": 2})
        rows = [
            ((encode_row(FIRST_ROW), encode_row(LIVE_ROW)), ":3: truncated"),
            ((encode_row(FIRST_ROW), encode_row(LIVE_ROW)[:-9], last_line), ":2: not JSON"),
            (
                (
                    encode_row(FIRST_ROW),
                    encode_row(LIVE_ROW).replace("rulings", "rulingz"),
                    last_line,
                ),
                ":2: checksum mismatch",
            ),
            ((encode_row(FIRST_ROW), last_line), ":2: counts 1 calls, but the file has 0"),
            ((encode_row(LIVE_ROW), last_line), ":1: the first line, and no other, must be"),
            (
                (encode_row({**FIRST_ROW, "format": "x"}), encode_row(LIVE_ROW), last_line),
                ":1: format 'x', expected",
            ),
            (
                (encode_row(FIRST_ROW), encode_row({"kind": "live"}), last_line),
                ":2: missing fields: path",
            ),
            ((encode_row(FIRST_ROW), encode_row({"kind": "dance"}), last_line), ":2: unknown kind"),
            (
                (encode_row(FIRST_ROW), encode_row(LIVE_ROW), last_line, encode_row(LIVE_ROW)),
                ":4: follows the last line",
            ),
            ((), ":1: truncated"),
        ]
        for lines, wanted in rows:
            self.assertThat("\n".join(self.load(*lines)[1]), Contains(wanted))

    def test_recorded_calls_are_replayed(self):
        async def run():
            with tempfile.TemporaryDirectory() as folder:
                shape = {"control": 1, "stores": 3, "edges": 1, "workers": 1}
                recordings = Path(folder) / "recordings"
                async with Fleet(
                    folder, shape, 23800, settings={"record_folder": str(recordings)}
                ) as fleet:
                    await fleet.bootstrap(TREE)
                    await fleet.wait_for_workers(1)
                    edge = fleet.with_role("edge")[0]
                    await self.make_calls(fleet, edge.http)
                    edge.signal(15)
                    await wait_until(
                        lambda: asyncio.sleep(0, not edge.is_running), 8000, "the edge has stopped"
                    )
                    edge.start()
                    await wait_until(lambda: fleet.all_ready(("edge",)), 10000, "the edge is ready")
                    await fleet.wait_for_workers(1)
                    (path,) = recordings.glob("*.jsonl")
                    recording = load_recording(path)
                    rows = recording.calls
                    self.assertThat(
                        ([row["kind"] for row in rows], recording.problems),
                        Equals((["live", "live", "live", "live", "hand-in", "read", "end"], [])),
                    )
                    self.assertThat("secret" in path.read_text(), Equals(False))
                    calls = await replay_calls(rows, [edge.http], 1.0, 7)
                    report, differing = compare_outcomes(calls)
                    self.assertThat((differing, "; replayed " in report), Equals((0, True)), report)
                    status, _ = await fleet.request("GET", edge.http, "/lots/day.r7")
                    self.assertThat(status, Equals(200))
                    rows[0]["status"] = 503
                    _, differing = compare_outcomes([ReplayedCall(rows[0], calls[0].replayed)])
                    self.assertThat(differing, Equals(1))

        asyncio.run(run())

    async def make_calls(self, fleet, edge):
        for body, key in (
            ({"model": "rulings", "prompt": "secret one", "stream": True}, None),
            ({"model": "rulings", "prompt": "secret two"}, None),
            ({"model": "moves", "prompt": "m"}, "k"),
            ({"model": "nowhere", "prompt": "x"}, None),
        ):
            await fleet.request(
                "POST", edge, "/v1/completions", body, {"Idempotency-Key": key} if key else None
            )
        await fleet.request(
            "PUT", edge, "/lots/day", {"path": "summaries", "items": [{"prompt": "secret"}] * 3}
        )
        await fleet.request("GET", edge, "/lots/day/results?from=0")
        await fleet.request("DELETE", edge, "/lots/day")
