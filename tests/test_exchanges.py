"""Faulty responses of a worker to completions, over real sockets, through the edge's request router and HTTP sender.

Guards against delivering a truncated, malformed or misrouted response as a success, and against sending a request
again that may have run and is not idempotent. In each row the first attempt gets the response of the row; a second
one, at the other worker, always gets a good response.
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


def event(number, run_id="{tx}"):
    return f'id: {number}\ndata: {{{{"id": "{run_id}", "choices": []}}}}\n\n'


def chunk(text, request_id="t" * 12):
    return f"{len(text.replace('{{', '{').replace('}}', '}').replace('{tx}', request_id)):x}\r\n{text}\r\n"


END = "data: [DONE]\n\n"
GOOD_BODY = '{{"id": "{tx}"}}'
NOT_RUN = '{{"error": {{"verdict": "not_run", "code": "busy"}}}}'
WRONG_WORKER = '{{"error": {{"verdict": "not_run", "code": "wrong-worker"}}}}'
GOOD_STREAM = SSE + event(0) + event(1) + END

# Columns: name; whether the response is a stream; the first worker's response, in which None stands for no further
# data; and for an idempotent request and one that is not: last step, verdict or "ran", attempts, delivered events.
MAY_HAVE_RUN = "refuse may_have_run 1 0"
RETRIED, RETRIED_STREAM, CUT = "finish ran 2 0", "finish ran 2 2", "cut may_have_run 1 {}"
ROWS = [
    ("good", False, plain(GOOD_BODY), "finish ran 1 0", "finish ran 1 0"),
    ("good stream", True, GOOD_STREAM, "finish ran 1 2", "finish ran 1 2"),
    (
        "good chunked stream",
        True,
        CHUNKED + chunk(event(0)) + chunk(event(1) + END) + "0\r\n\r\n",
        "finish ran 1 2",
        "finish ran 1 2",
    ),
    ("closed without a response", False, "", RETRIED, MAY_HAVE_RUN),
    ("cut in the head", False, "HTTP/1.1 200 OK\r\nContent-Le", RETRIED, MAY_HAVE_RUN),
    ("cut after the head", True, SSE, RETRIED_STREAM, MAY_HAVE_RUN),
    ("cut in an event", True, SSE + event(0)[:20], RETRIED_STREAM, MAY_HAVE_RUN),
    ("cut in the second event", True, SSE + event(0) + event(1)[:9], CUT.format(1), CUT.format(1)),
    ("cut between events", True, SSE + event(0) + event(1), CUT.format(2), CUT.format(2)),
    (
        "chunked without an end",
        True,
        CHUNKED + chunk(event(0)) + chunk(event(1) + END),
        CUT.format(2),
        CUT.format(2),
    ),
    ("short body", False, plain(GOOD_BODY, 90), RETRIED, MAY_HAVE_RUN),
    ("long body", False, plain(GOOD_BODY + "more", len('{"id": ""}') + 12), RETRIED, MAY_HAVE_RUN),
    (
        "body without a length",
        False,
        plain(GOOD_BODY).replace("Content-Length: 22\r\n", ""),
        RETRIED,
        MAY_HAVE_RUN,
    ),
    ("body that is no JSON", False, plain("hello"), RETRIED, MAY_HAVE_RUN),
    ("body that is a list", False, plain("[1]"), RETRIED, MAY_HAVE_RUN),
    (
        "ids of another worker",
        False,
        plain(GOOD_BODY, ids=IDS.replace("{worker}", "w-9/1")),
        RETRIED,
        MAY_HAVE_RUN,
    ),
    (
        "ids of another request",
        False,
        plain(GOOD_BODY, ids=IDS.replace("{tx}", "other")),
        RETRIED,
        MAY_HAVE_RUN,
    ),
    ("no ids", False, plain(GOOD_BODY, ids=""), RETRIED, MAY_HAVE_RUN),
    ("ids repeated", False, plain(GOOD_BODY, ids=IDS + IDS), RETRIED, MAY_HAVE_RUN),
    (
        "stream without ids",
        True,
        "HTTP/1.1 200 OK\r\n\r\n" + event(0) + END,
        RETRIED_STREAM,
        MAY_HAVE_RUN,
    ),
    ("an event repeated", True, SSE + event(0) + event(0) + END, CUT.format(1), CUT.format(1)),
    ("an event skipped", True, SSE + event(0) + event(2) + END, CUT.format(1), CUT.format(1)),
    ("events out of order", True, SSE + event(1) + event(0) + END, RETRIED_STREAM, MAY_HAVE_RUN),
    (
        "an event of another run",
        True,
        SSE + event(0) + event(1, "other") + END,
        CUT.format(1),
        CUT.format(1),
    ),
    (
        "a run id chosen by the worker",
        True,
        SSE + event(0, "own") + event(1, "own") + END,
        "finish ran 1 2",
        "finish ran 1 2",
    ),
    (
        "an event without a run id",
        True,
        SSE + "id: 0\ndata: hello\n\n" + END,
        RETRIED_STREAM,
        MAY_HAVE_RUN,
    ),
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
        "100 Continue, then good",
        False,
        "HTTP/1.1 100 Continue\r\n\r\n" + plain(GOOD_BODY),
        "finish ran 1 0",
        "finish ran 1 0",
    ),
    (
        "redirect",
        False,
        plain("", status="302 Found\r\nLocation: http://127.0.0.1:1/"),
        RETRIED,
        MAY_HAVE_RUN,
    ),
    ("500 without a verdict", False, plain("oh", status="500 No"), RETRIED, MAY_HAVE_RUN),
    ("503 not run", False, plain(NOT_RUN, status="503 No"), RETRIED, RETRIED),
    ("429 not run", True, plain(NOT_RUN, status="429 No"), RETRIED_STREAM, RETRIED_STREAM),
    (
        "503 not run without ids",
        False,
        plain(NOT_RUN, status="503 No", ids=""),
        RETRIED,
        MAY_HAVE_RUN,
    ),
    ("500 not run", False, plain(NOT_RUN, status="500 No"), RETRIED, MAY_HAVE_RUN),
    ("503 not run, cut short", False, plain(NOT_RUN, 200, status="503 No"), RETRIED, MAY_HAVE_RUN),
    ("409 wrong worker", False, plain(WRONG_WORKER, status="409 No", ids=""), RETRIED, RETRIED),
    ("200 wrong worker", False, plain(WRONG_WORKER, ids=""), RETRIED, MAY_HAVE_RUN),
    (
        "400 from the worker",
        False,
        plain('{{"error": "prompt"}}', status="400 No"),
        "finish ran 1 0",
        "finish ran 1 0",
    ),
    (
        "400 cut short",
        False,
        plain('{{"error": "prompt"}}', 99, status="400 No"),
        RETRIED,
        MAY_HAVE_RUN,
    ),
    ("bytes that are not HTTP", False, "\x00\x01 hello\r\n\r\n", RETRIED, MAY_HAVE_RUN),
    (
        "a head over the size limit",
        False,
        "HTTP/1.1 200 OK\r\nA: " + "a" * 200_000,
        RETRIED,
        MAY_HAVE_RUN,
    ),
    (
        "an event over the size limit",
        True,
        SSE + event(0) + "id: 1\ndata: " + "x" * 6_000_000,
        CUT.format(1),
        CUT.format(1),
    ),
    (
        "a body over the size limit",
        False,
        plain('{{"id": "{tx}", "pad": "' + "x" * 6_000_000 + '"}}'),
        RETRIED,
        MAY_HAVE_RUN,
    ),
    ("silence", False, None, "refuse may_have_run 1 0", MAY_HAVE_RUN),
    ("silence after the head", True, (SSE + event(0), None), CUT.format(1), CUT.format(1)),
]


class FaultyWorkers:
    """Both workers: responds to the first request with `response`, and to later ones with a good response."""

    def __init__(self):
        self.response, self.open_writers = "", []
        self.count = 0

    async def serve(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        body = json.loads(await reader.readexactly(int(fields["Content-Length"])))
        self.count += 1
        response = (
            self.response
            if self.count == 1
            else GOOD_STREAM
            if body["stream"]
            else plain(GOOD_BODY)
        )
        parts = response if isinstance(response, tuple) else (response,)
        for part in parts:
            if part is None:
                self.open_writers.append(writer)
                return
            text = part.replace("{worker}", fields["X-Vaneledge-Worker"]).replace(
                "{tx}", fields["X-Vaneledge-Transaction"]
            )
            writer.write(text.replace("{{", "{").replace("}}", "}").encode())
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        writer.close()


class WorkerExchanges(TestCase):
    def test_faulty_responses(self):
        set_up_logs("ERROR")
        asyncio.run(self.run_rows())

    async def run_rows(self):
        workers = FaultyWorkers()
        servers = [
            await asyncio.start_server(workers.serve, "127.0.0.1", PORT + number)
            for number in (2, 3)
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
        failures = []
        for number, (name, streamed, response, *results) in enumerate(ROWS):
            for idempotent, expected in zip((True, False), results, strict=True):
                workers.response, workers.count = response, 0
                actual = await self.run_row(
                    settings, sender, f"{number:06d}", streamed, idempotent, "silence" in name
                )
                if actual != expected:
                    failures.append(
                        (name, "idempotent" if idempotent else "not idempotent", actual, expected)
                    )
        await sender.close()
        for server in servers:
            server.close()
        for writer in workers.open_writers:
            writer.close()
        self.assertThat(failures, Equals([]))

    async def run_row(self, settings, sender, name, streamed, idempotent, short_deadline):
        env = ProcessEnvironment(settings.link)
        node = EdgeNode(env, settings, sender)
        runner = NodeRunner(node, env)
        await runner.start()
        node.config_feed.publish("profiles", 1, TREE)
        for number in (2, 3):
            node.registry.apply_update(
                WorkerUpdate(
                    identity=f"w{number}",
                    incarnation=1,
                    address=f"127.0.0.1:{PORT + number}",
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
            f"tx{idempotent:d}{'s' if streamed else 'p'}00{name}",
            node.profile_tree().usable("p"),
            "",
            boot_ms(),
            RetryBudget(),
            boot_ms() + (250 if short_deadline else 4000),
            claimed=True,
        )
        lifecycle.idempotent = idempotent
        events, done = [], asyncio.get_running_loop().create_future()
        node.router.start(
            lifecycle,
            Call({"prompt": "x"}, "", "x", False, streamed),
            events.append,
            done.set_result,
        )
        step = await done
        self.assertThat(sum(worker.in_flight for worker in node.registry.all()), Equals(0))
        await runner.stop()
        return f"{step.kind} {step.refusal.verdict if step.refusal else 'ran'} {len(lifecycle.attempts)} {len(events)}"
