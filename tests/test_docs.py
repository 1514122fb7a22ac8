"""Runs the examples in docs/interfaces.md, and checks that the commands in the README and docs exist."""

import asyncio
import json
import re
import subprocess
import sys
import tempfile
from pathlib import Path

from testbed.fleet import Fleet, wait_until
from testtools import TestCase
from testtools.matchers import Equals

ROOT = Path(__file__).parent.parent


def examples():
    """The examples: method, role, path, headers, JSON body, and the expected status and JSON value."""
    text = (ROOT / "docs" / "interfaces.md").read_text()
    for block in re.findall(r"```example\n(.*?)```", text, re.DOTALL):
        request, _, response = block.partition("=> ")
        lines = request.strip().splitlines()
        method, role, path = lines[0].split()
        headers = dict(
            line.split(": ", 1) for line in lines[1:] if re.match(r"^[A-Z][A-Za-z-]+: ", line)
        )
        body = "\n".join(lines[1 + len(headers) :])
        status, _, expected = response.strip().partition(" ")
        yield (
            method,
            role,
            path,
            headers,
            json.loads(body) if body else None,
            int(status),
            json.loads(expected),
        )


def differences(actual, expected):
    """The differences of a JSON value from the expected one; further members of objects are allowed."""
    if isinstance(expected, dict):
        return [
            f"{key}.{rest}"
            for key, value in expected.items()
            for rest in (
                differences(actual[key], value)
                if isinstance(actual, dict) and key in actual
                else ["missing"]
            )
        ]
    return [] if actual == expected else [f"{actual!r} is not {expected!r}"]


MODULES = {
    "vaneledge-control": "control_plane.cli",
    "vaneledge-data": "data_plane.cli",
    "vaneledge-testbed": "testbed.cli",
}


class Docs(TestCase):
    def test_examples(self):
        async def run():
            with tempfile.TemporaryDirectory() as folder:
                async with Fleet(
                    folder, {"control": 3, "stores": 3, "edges": 1, "workers": 1}, 23500
                ) as fleet:
                    await wait_until(
                        lambda: fleet.all_ready(("control", "store")),
                        30000,
                        "control and stores are ready",
                    )
                    count = 0
                    for method, role, path, headers, body, status, expected in examples():
                        if role == "edge":
                            await wait_until(
                                lambda: fleet.all_ready(("edge",)), 10000, "the edge is ready"
                            )
                            await fleet.wait_for_workers(1)
                        actual_status, value = await fleet.request(
                            method, fleet.with_role(role)[0].http, path, body, headers
                        )
                        self.assertThat(
                            (actual_status, differences(value, expected)),
                            Equals((status, [])),
                            f"{method} {path}: {value}",
                        )
                        count += 1
                    self.assertThat(count > 20, Equals(True))

        asyncio.run(run())

    def test_commands_of_the_docs_exist(self):
        text = "".join(
            path.read_text() for path in [ROOT / "README.md", *sorted((ROOT / "docs").glob("*.md"))]
        )
        found = set(re.findall(r"\.venv/bin/(vaneledge-\w+) ([a-z]+(?: [a-z][a-z-]+)?)", text))
        self.assertThat(len(found) > 8, Equals(True), str(found))
        for program, words in sorted(found):
            ended = subprocess.run(
                [sys.executable, "-m", MODULES[program], *words.split(), "--help"],
                capture_output=True,
                text=True,
                timeout=60,
            )
            self.assertThat(
                (ended.returncode, "Usage" in ended.stdout), Equals((0, True)), f"{program} {words}"
            )
