"""Runs the worked examples of docs/interfaces.md, and checks that the README's commands exist."""

import asyncio
import json
import re
import subprocess
import sys
import tempfile
from pathlib import Path

from testbed.fleet import Fleet, until
from testtools import TestCase
from testtools.matchers import Equals

ROOT = Path(__file__).parent.parent


def examples():
    text = (ROOT / "docs" / "interfaces.md").read_text()
    for block in re.findall(r"```example\n(.*?)```", text, re.DOTALL):
        asked, _, answer = block.partition("=> ")
        lines = asked.strip().splitlines()
        method, role, address = lines[0].split()
        headers = dict(
            line.split(": ", 1) for line in lines[1:] if re.match(r"^[A-Z][A-Za-z-]+: ", line)
        )
        body = "\n".join(lines[1 + len(headers) :])
        status, _, wanted = answer.strip().partition(" ")
        yield (
            method,
            role,
            address,
            headers,
            json.loads(body) if body else None,
            int(status),
            json.loads(wanted),
        )


def lacks(seen, wanted):
    if isinstance(wanted, dict):
        return [
            f"{key}.{rest}"
            for key, value in wanted.items()
            for rest in (
                lacks(seen[key], value) if isinstance(seen, dict) and key in seen else ["missing"]
            )
        ]
    return [] if seen == wanted else [f"{seen!r} is not {wanted!r}"]


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
                    await until(
                        lambda: fleet.all_ready(("control", "store")),
                        30000,
                        "control and stores are ready",
                    )
                    count = 0
                    for method, role, address, headers, body, status, wanted in examples():
                        if role == "edge":
                            await until(
                                lambda: fleet.all_ready(("edge",)), 10000, "the edge is ready"
                            )
                            await fleet.workers_known(1)
                        seen, answer = await fleet.ask(
                            method, fleet.with_role(role)[0].http, address, body, headers
                        )
                        self.assertThat(
                            (seen, lacks(answer, wanted)),
                            Equals((status, [])),
                            f"{method} {address}: {answer}",
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
