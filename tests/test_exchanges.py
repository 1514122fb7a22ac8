"""The exchange with a worker, attacked by a table: a stand-in that misbehaves once on real sockets, against
the edge's own carrier and sender. For each way: what the visitor got, what he was told, how often
it was sent. A second send, to another worker, is always well answered.
"""

import asyncio
import contextlib
import json

from data_plane import EdgeNode
from data_plane.sender import HttpSender
from messaging.node_runner import NodeRunner, ProcessEnvironment
from request_routing import Call, RequestLifecycle, RetryBudget, WorkerUpdate
from runtime import Settings, boot_ms, set_up_logs
from testtools import TestCase
from testtools.matchers import Equals

PORT = 25100
TREE = json.dumps({"profiles": {"p": {"workers": {"labels": ["gpu"]}}}})
IDS = "X-Vaneledge-Worker: {worker}\r\nX-Vaneledge-Transaction: {tx}\r\n"
SSE = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + IDS + "\r\n"
CHUNKED = SSE.replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n")


def plain(body, length=None, ids=IDS, status="200 OK"):
    size = (
        len(body.replace("{{", "{").replace("}}", "}").replace("{tx}", "t" * 12))
        if length is None
        else length
    )
    return f"HTTP/1.1 {status}\r\n{ids}Content-Length: {size}\r\n\r\n" + body


def event(place, lifecycle="{tx}"):
    return f'id: {place}\ndata: {{{{"id": "{lifecycle}", "choices": []}}}}\n\n'


def chunk(text, lifecycle="t" * 12):
    return f"{len(text.replace('{{', '{').replace('}}', '}').replace('{tx}', lifecycle)):x}\r\n{text}\r\n"


END = "data: [DONE]\n\n"
GOOD = '{{"id": "{tx}"}}'
NOT_RUN = '{{"error": {{"verdict": "not_run", "code": "busy"}}}}'
WRONG = '{{"error": {{"verdict": "not_run", "code": "wrong-worker"}}}}'
GOOD_STREAM = SSE + event(0) + event(1) + END

# name, streamed, what the first worker writes, then for safe and unsafe: last step, verdict, sends, pieces
DOUBT = "refuse may_have_run 1 0"
AGAIN, AGAIN_STREAM, CUT = "finish ran 2 0", "finish ran 2 2", "cut may_have_run 1 {}"
ROWS = [
    ("good", False, plain(GOOD), "finish ran 1 0", "finish ran 1 0"),
    ("good stream", True, GOOD_STREAM, "finish ran 1 2", "finish ran 1 2"),
    (
        "good chunked stream",
        True,
        CHUNKED + chunk(event(0)) + chunk(event(1) + END) + "0\r\n\r\n",
        "finish ran 1 2",
        "finish ran 1 2",
    ),
    ("closed without a word", False, "", AGAIN, DOUBT),
    ("cut in the head", False, "HTTP/1.1 200 OK\r\nContent-Le", AGAIN, DOUBT),
    ("cut after the head", True, SSE, AGAIN_STREAM, DOUBT),
    ("cut in an event", True, SSE + event(0)[:20], AGAIN_STREAM, DOUBT),
    ("cut in the second event", True, SSE + event(0) + event(1)[:9], CUT.format(1), CUT.format(1)),
    ("cut between events", True, SSE + event(0) + event(1), CUT.format(2), CUT.format(2)),
    (
        "chunked without an end",
        True,
        CHUNKED + chunk(event(0)) + chunk(event(1) + END),
        CUT.format(2),
        CUT.format(2),
    ),
    ("short body", False, plain(GOOD, 90), AGAIN, DOUBT),
    ("long body", False, plain(GOOD + "more", len('{"id": ""}') + 12), AGAIN, DOUBT),
    (
        "body without a length",
        False,
        plain(GOOD).replace("Content-Length: 22\r\n", ""),
        AGAIN,
        DOUBT,
    ),
    ("body that is no JSON", False, plain("hello"), AGAIN, DOUBT),
    ("body that is a list", False, plain("[1]"), AGAIN, DOUBT),
    (
        "ids of another worker",
        False,
        plain(GOOD, ids=IDS.replace("{worker}", "w-9/1")),
        AGAIN,
        DOUBT,
    ),
    (
        "ids of another transaction",
        False,
        plain(GOOD, ids=IDS.replace("{tx}", "other")),
        AGAIN,
        DOUBT,
    ),
    ("no ids", False, plain(GOOD, ids=""), AGAIN, DOUBT),
    ("ids doubled", False, plain(GOOD, ids=IDS + IDS), AGAIN, DOUBT),
    ("stream without ids", True, "HTTP/1.1 200 OK\r\n\r\n" + event(0) + END, AGAIN_STREAM, DOUBT),
    ("a piece repeated", True, SSE + event(0) + event(0) + END, CUT.format(1), CUT.format(1)),
    ("a piece skipped", True, SSE + event(0) + event(2) + END, CUT.format(1), CUT.format(1)),
    ("pieces out of order", True, SSE + event(1) + event(0) + END, AGAIN_STREAM, DOUBT),
    (
        "a piece of another run",
        True,
        SSE + event(0) + event(1, "other") + END,
        CUT.format(1),
        CUT.format(1),
    ),
    (
        "a stream under the worker's own id",
        True,
        SSE + event(0, "own") + event(1, "own") + END,
        "finish ran 1 2",
        "finish ran 1 2",
    ),
    ("an event without an id", True, SSE + "id: 0\ndata: hello\n\n" + END, AGAIN_STREAM, DOUBT),
    (
        "end mark too early",
        True,
        SSE + event(0) + END + event(1) + END,
        CUT.format(1),
        CUT.format(1),
    ),
    (
        "something after the end",
        True,
        SSE + event(0) + event(1) + END + "id: 2",
        CUT.format(2),
        CUT.format(2),
    ),
    ("no end mark", True, SSE + event(0), CUT.format(1), CUT.format(1)),
    ("nothing but the end mark", True, SSE + END, "finish ran 1 0", "finish ran 1 0"),
    (
        "continue, then good",
        False,
        "HTTP/1.1 100 Continue\r\n\r\n" + plain(GOOD),
        "finish ran 1 0",
        "finish ran 1 0",
    ),
    (
        "redirect",
        False,
        plain("", status="302 Found\r\nLocation: http://127.0.0.1:1/"),
        AGAIN,
        DOUBT,
    ),
    ("500 without a verdict", False, plain("oh", status="500 No"), AGAIN, DOUBT),
    ("503 not run", False, plain(NOT_RUN, status="503 No"), AGAIN, AGAIN),
    ("429 not run", True, plain(NOT_RUN, status="429 No"), AGAIN_STREAM, AGAIN_STREAM),
    ("503 not run without ids", False, plain(NOT_RUN, status="503 No", ids=""), AGAIN, DOUBT),
    ("500 not run", False, plain(NOT_RUN, status="500 No"), AGAIN, DOUBT),
    ("503 not run, cut short", False, plain(NOT_RUN, 200, status="503 No"), AGAIN, DOUBT),
    ("409 wrong worker", False, plain(WRONG, status="409 No", ids=""), AGAIN, AGAIN),
    ("200 wrong worker", False, plain(WRONG, ids=""), AGAIN, DOUBT),
    (
        "400 from the worker",
        False,
        plain('{{"error": "prompt"}}', status="400 No"),
        "finish ran 1 0",
        "finish ran 1 0",
    ),
    ("400 cut short", False, plain('{{"error": "prompt"}}', 99, status="400 No"), AGAIN, DOUBT),
    ("garbage", False, "\x00\x01 hello\r\n\r\n", AGAIN, DOUBT),
    ("a head too long", False, "HTTP/1.1 200 OK\r\nA: " + "a" * 200_000, AGAIN, DOUBT),
    (
        "an endless stream",
        True,
        SSE + event(0) + "id: 1\ndata: " + "x" * 6_000_000,
        CUT.format(1),
        CUT.format(1),
    ),
    (
        "a body beyond all bounds",
        False,
        plain('{{"id": "{tx}", "pad": "' + "x" * 6_000_000 + '"}}'),
        AGAIN,
        DOUBT,
    ),
    ("silence", False, None, "refuse may_have_run 1 0", DOUBT),
    ("silence after the head", True, (SSE + event(0), None), CUT.format(1), CUT.format(1)),
]


class Rogue:
    """Two addresses, one behaviour: the first request that comes is answered as told, later ones well."""

    def __init__(self):
        self.script, self.held = "", []
        self.count = 0

    async def serve(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        body = json.loads(await reader.readexactly(int(fields["Content-Length"])))
        self.count += 1
        script = self.script if self.count == 1 else GOOD_STREAM if body["stream"] else plain(GOOD)
        parts = script if isinstance(script, tuple) else (script,)
        for part in parts:
            if part is None:
                self.held.append(writer)
                return
            text = part.replace("{worker}", fields["X-Vaneledge-Worker"]).replace(
                "{tx}", fields["X-Vaneledge-Transaction"]
            )
            writer.write(text.replace("{{", "{").replace("}}", "}").encode())
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        writer.close()


class Exchanges(TestCase):
    def test_rows(self):
        set_up_logs("ERROR")
        asyncio.run(self.rows())

    async def rows(self):
        rogue = Rogue()
        servers = [
            await asyncio.start_server(rogue.serve, "127.0.0.1", PORT + place) for place in (2, 3)
        ]
        settings = Settings(
            role="edge",
            link=f"127.0.0.1:{PORT}",
            http=f"127.0.0.1:{PORT + 1}",
            zone="z",
            seeds=[f"127.0.0.1:{PORT}"],
            max_body_bytes=1 << 20,
        )
        sender = HttpSender(settings.request_timeout_ms)
        wrong = []
        for place, (name, streamed, script, *wanted) in enumerate(ROWS):
            for safe, expected in zip((True, False), wanted, strict=True):
                rogue.script, rogue.count = script, 0
                seen = await self.one(
                    settings, sender, f"{place:06d}", streamed, safe, "silence" in name
                )
                if seen != expected:
                    wrong.append((name, "safe" if safe else "unsafe", seen, expected))
        await sender.close()
        for server in servers:
            server.close()
        for writer in rogue.held:
            writer.close()
        self.assertThat(wrong, Equals([]))

    async def one(self, settings, sender, name, streamed, safe, short):
        env = ProcessEnvironment(settings.link)
        node = EdgeNode(env, settings, sender)
        shell = NodeRunner(node, env)
        await shell.start()
        node.config_feed.publish("profiles", 1, TREE)
        for place in (2, 3):
            node.registry.apply_update(
                WorkerUpdate(
                    identity=f"w{place}",
                    incarnation=1,
                    address=f"127.0.0.1:{PORT + place}",
                    zone="z",
                    labels=["gpu"],
                    beat=1,
                    running=0,
                    waiting=0,
                    slots=4,
                    cache_use=0.0,
                    leaving=False,
                )
            )
        lifecycle = RequestLifecycle(
            f"tx{safe:d}{'s' if streamed else 'p'}00{name}",
            node.profile_tree().usable("p"),
            "",
            boot_ms(),
            RetryBudget(),
            boot_ms() + (250 if short else 4000),
            claimed=True,
        )
        lifecycle.idempotent = safe
        pieces, done = [], asyncio.get_running_loop().create_future()
        node.router.start(
            lifecycle,
            Call({"prompt": "x"}, "", "x", False, streamed),
            pieces.append,
            done.set_result,
        )
        step = await done
        self.assertThat(sum(worker.in_flight for worker in node.registry.all()), Equals(0))
        await shell.stop()
        return f"{step.kind} {step.refusal.verdict if step.refusal else 'ran'} {len(lifecycle.attempts)} {len(pieces)}"
