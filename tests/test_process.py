"""The external behaviour of processes: settings and their errors, signals and operators' calls.

Every kind of bad input is to be answered with a verdict and the name of the field. The fleet's
processes are real, on loopback addresses.
"""

import asyncio
import json
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from profile_tree import TREE
from runtime import load_settings
from runtime.settings import changed_settings
from testbed.fleet import Fleet, wait_until
from testtools import TestCase
from testtools.matchers import Contains, Equals

VALID_SETTINGS = {
    "link": "127.0.0.1:9",
    "http": "127.0.0.1:8",
    "zone": "z",
    "seeds": ["127.0.0.1:9"],
}


class SettingsTest(TestCase):
    def test_every_error_is_named(self):
        rows = [
            ({"link": "localhost:1"}, "link"),
            ({"http": "127.0.0.1"}, "http"),
            ({"seeds": []}, "seeds"),
            ({"seeds": ["1.2.3.4:1"] * 4}, "seeds"),
            ({"seeds": ["x:1"]}, "seeds"),
            ({"zone": ""}, "zone"),
            ({"delta_ms": 0}, "delta_ms"),
            ({"colour": 1}, "colour"),
            ({"role": "store"}, "data_folder"),
            ({"store_count": 2}, "store_faults"),
            ({"http": VALID_SETTINGS["link"]}, "http"),
        ]
        for change, field in rows:
            problems = load_settings(None, {**VALID_SETTINGS, **change}).error
            self.assertThat("\n".join(problems), Contains(field), str(change))
        both = load_settings(None, {**VALID_SETTINGS, "zone": "", "delta_ms": -1}).error
        self.assertThat(len(both), Equals(2))

    def test_flags_win_and_bad_settings_end_with_code_2(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "s.toml"
            path.write_text(
                "".join(f"{key} = {json.dumps(value)}\n" for key, value in VALID_SETTINGS.items())
            )
            self.assertThat(load_settings(str(path), {"zone": "other"}).ok.zone, Equals("other"))
            path.write_text(path.read_text() + "view_size = 0\nflush_ms = 1\n")
            ended = subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "data_plane.cli",
                    "serve",
                    "--role",
                    "edge",
                    "--settings",
                    str(path),
                ],
                capture_output=True,
                text=True,
                timeout=30,
            )
            self.assertThat(
                (ended.returncode, "view_size" in ended.stderr, "flush_ms" in ended.stderr),
                Equals((2, True, True)),
            )

    def test_a_reread_changes_only_settings_that_need_no_restart(self):
        old = load_settings(None, VALID_SETTINGS).ok
        new = load_settings(None, {**VALID_SETTINGS, "delta_ms": 70, "zone": "other"}).ok
        settings, applied, need_restart = changed_settings(old, new)
        self.assertThat(
            (settings.delta_ms, settings.zone, applied, need_restart),
            Equals((70, "z", ["delta_ms"], ["zone"])),
        )


class FleetTest(TestCase):
    BAD_REQUESTS = [
        ("POST", "/v1/completions", b"{", 400, "malformed", None),
        ("POST", "/v1/completions", b"[]", 400, "bad-field", "body"),
        ("POST", "/v1/completions", {"model": "rulings"}, 400, "bad-field", "prompt"),
        ("POST", "/v1/completions", {"model": "rulings", "prompt": 3}, 400, "bad-field", "prompt"),
        (
            "POST",
            "/v1/completions",
            {"model": "rulings", "prompt": "a", "colour": 1},
            400,
            "bad-field",
            "colour",
        ),
        (
            "POST",
            "/v1/completions",
            {"model": "nowhere", "prompt": "a"},
            404,
            "unknown-path",
            "model",
        ),
        ("POST", "/v1/completions", {"model": "base", "prompt": "a"}, 404, "unknown-path", "model"),
        (
            "POST",
            "/v1/chat/completions",
            {"model": "rulings", "prompt": "a"},
            400,
            "bad-field",
            "messages",
        ),
        (
            "POST",
            "/v1/completions",
            {"model": "moves", "prompt": "a"},
            400,
            "key-missing",
            "Idempotency-Key",
        ),
        ("PUT", "/lots/a", {"path": "summaries"}, 400, "bad-field", "items"),
        (
            "PUT",
            "/lots/a",
            {"path": "summaries", "items": [{"prompt": "x", "messages": []}]},
            400,
            "bad-field",
            "items.0.messages",
        ),
        (
            "PUT",
            "/lots/a",
            {"path": "nowhere", "items": [{"prompt": "x"}]},
            404,
            "unknown-path",
            "path",
        ),
        (
            "PUT",
            "/lots/a%20b",
            {"path": "summaries", "items": [{"prompt": "x"}]},
            400,
            "bad-field",
            "lot_id",
        ),
        ("GET", "/lots/none", None, 404, "unknown-lot", "lot_id"),
        ("GET", "/lots/none/results?from=-1", None, 400, "bad-field", "from"),
        ("GET", "/lots/none/results?colour=1", None, 400, "bad-field", "colour"),
        ("DELETE", "/lots/none", None, 404, "unknown-lot", "lot_id"),
        ("GET", "/nothing", None, 404, "unknown-address", None),
        ("PUT", "/ready", {}, 405, "unknown-method", None),
        ("POST", "/workers/beat", {"identity": "w"}, 400, "bad-field", "incarnation"),
        (
            "POST",
            "/workers/leave",
            {"identity": "w", "incarnation": "1"},
            400,
            "bad-field",
            "incarnation",
        ),
        ("POST", "/v1/completions", b"x" * (1 << 23), 413, "too-large", "body"),
    ]

    def test_bad_input_jobs_operators_and_signals(self):
        async def run():
            with tempfile.TemporaryDirectory() as folder:
                async with Fleet(
                    folder, {"control": 3, "stores": 3, "edges": 1, "workers": 1}, 23000
                ) as fleet:
                    await fleet.bootstrap(TREE)
                    await fleet.wait_for_workers(1)
                    await self.bad_input(fleet)
                    await self.jobs(fleet)
                    await self.operators(fleet)
                    await self.signals(fleet)

        asyncio.run(run())

    async def bad_input(self, fleet):
        edge = fleet.with_role("edge")[0].http
        for method, address, body, status, code, field in self.BAD_REQUESTS:
            data = body if isinstance(body, (bytes, type(None))) else json.dumps(body).encode()
            async with fleet.session.request(
                method, f"http://{edge}{address}", data=data
            ) as answer:
                error = (await answer.json())["error"]
                self.assertThat(
                    (answer.status, error["code"], error["verdict"], error.get("field")),
                    Equals((status, code, "not_run", field)),
                    f"{method} {address}",
                )

    async def jobs(self, fleet):
        edge = fleet.with_role("edge")[0].http
        job = {"path": "summaries", "items": [{"prompt": f"p{index}"} for index in range(3)]}
        answers = [
            await fleet.request("PUT", edge, "/lots/one", body)
            for body in (job, job, {**job, "due_ms": 500})
        ]
        self.assertThat([status for status, _ in answers], Equals([201, 200, 409]))

        async def done():
            _, body = await fleet.request("GET", edge, "/lots/one")
            return body["state"] == "done"

        await wait_until(done, 15000, "the job is done")
        status, body = await fleet.request("GET", edge, "/lots/one/results?from=4")
        self.assertThat((status, body["error"]["field"]), Equals((416, "from")))
        responses = await asyncio.gather(
            *[
                fleet.request(
                    "PUT",
                    edge,
                    f"/lots/crowd{index}",
                    {"path": "summaries", "items": [{"prompt": "x", "max_tokens": 500}] * 40},
                )
                for index in range(12)
            ]
        )
        self.assertThat(sorted(status for status, _ in responses), Equals([201] * 4 + [429] * 8))
        full = next(body["error"] for status, body in responses if status == 429)
        self.assertThat((full["verdict"], full["retry_after_ms"] > 0), Equals(("not_run", True)))
        for index in range(12):
            await fleet.request("DELETE", edge, f"/lots/crowd{index}")

        async def no_items():
            _, body = await fleet.request("GET", edge, "/status")
            return body["items"] == 0

        await wait_until(no_items, 3000, "the items of cancelled jobs stop")

    async def operators(self, fleet):
        control = [member.http for member in fleet.with_role("control")]
        status, body = await fleet.request(
            "PUT",
            control[0],
            "/profiles",
            {
                "version": 1,
                "tree": {"profiles": {"a": {"parent": "b", "x": 1}, "c": {"deadline_ms": 0}}},
            },
        )
        self.assertThat(
            (status, body["error"]["code"], len(body["error"]["problems"])),
            Equals((422, "bad-tree", 3)),
        )
        patch = {"profiles": {"rulings": {"deadline_ms": 1500}}}
        both = await asyncio.gather(
            *[
                fleet.request(
                    "PATCH",
                    control[index],
                    "/profiles",
                    {"version": 1, "change_id": f"c{index}", "patch": patch},
                )
                for index in range(2)
            ]
        )
        self.assertThat(sorted(status for status, _ in both), Equals([200, 409]))
        winner = next(index for index in range(2) if both[index][0] == 200)
        again = await fleet.request(
            "PATCH",
            control[2],
            "/profiles",
            {"version": 1, "change_id": f"c{winner}", "patch": patch},
        )
        self.assertThat(again, Equals(both[winner]))
        _, explained = await fleet.request("GET", control[0], "/profiles/rulings/explained")
        self.assertThat(
            (explained["values"]["deadline_ms"], explained["values"]["workers.labels"]["from"]),
            Equals(({"value": 1500, "from": "rulings"}, "base")),
        )
        _, edge = await fleet.get(fleet.with_role("edge")[0], "/status")
        self.assertThat(edge["feed"]["profiles"], Equals(2))
        _, members = await fleet.request("GET", control[0], "/members")
        self.assertThat(
            sorted(row["role"] for row in members["members"]),
            Equals(["control"] * 3 + ["edge"] + ["store"] * 3),
        )

    async def signals(self, fleet):
        edge = fleet.with_role("edge")[0]
        path = fleet.folder / f"{edge.name}.toml"
        good = path.read_text()
        path.write_text(good + "delta_ms = 0\n")
        edge.signal(signal.SIGHUP)

        async def logged(event):
            return any(
                json.loads(line)["event"] == event
                for line in edge.log_file.read_text().splitlines()
                if line.startswith("{")
            )

        await wait_until(lambda: logged("settings-refused"), 5000, "a bad file is refused")
        path.write_text(good + "delta_ms = 60\n" + "view_size = 9\n")
        edge.signal(signal.SIGHUP)
        await wait_until(lambda: logged("settings-reread"), 5000, "a good file is applied")
        row = next(
            json.loads(line)
            for line in edge.log_file.read_text().splitlines()
            if "settings-reread" in line
        )
        self.assertThat(
            (row["applied"], row["need_restart"]), Equals((["delta_ms"], ["view_size"]))
        )
        # `operators` shortened the deadline of `rulings`; here only the stop itself can cut the stream.
        streaming = asyncio.ensure_future(
            fleet.request(
                "POST",
                edge.http,
                "/v1/completions",
                {"model": "summaries", "prompt": "long", "stream": True, "max_tokens": 300},
            )
        )

        async def is_streaming():
            _, body = await fleet.get(edge, "/status")
            return body["live"] == 1

        await wait_until(is_streaming, 3000, "the stream has begun")
        edge.signal(signal.SIGTERM)

        async def unready():
            status, _ = await fleet.get(edge, "/ready")
            return status == 503

        await wait_until(unready, 500, "unready at once", 5)
        status, text = await streaming
        self.assertThat((status, text.endswith("data: [DONE]\n\n")), Equals((200, True)))
        self.assertThat(edge.process.wait(8), Equals(0))
