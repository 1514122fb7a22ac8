"""Fixtures for tests of forwarded requests over real sockets: a worker with scripted responses, a client that
writes and reads raw bytes, and an edge with its forward server on free ports.
"""

import asyncio
import json

import edge_api
import platform_names
from data_plane import EdgeNode
from data_plane.drain_schedule import DrainSchedule
from data_plane.forward_server import ForwardServer
from data_plane.sender import HttpSender
from messaging.node_runner import NodeRunner, ProcessEnvironment
from ports import free_ports
from runtime import Settings, set_up_logs

ROUTE = {"parent": "service", "attempts": 2, "give_up_ms": 15_000, "target_ms": 400}
PROFILES = {
    "profiles": {
        "service": {"abstract": True, "workers": {"labels": ["s"]}, "connections": 100},
        "plain": {
            **ROUTE,
            "match": {"host": "h", "prefix": "/p/"},
            "kind": "plain",
            "repeatable": False,
        },
        "safe": {
            **ROUTE,
            "match": {"host": "h", "prefix": "/i/"},
            "kind": "plain",
            "repeatable": True,
        },
        "stream": {
            **ROUTE,
            "match": {"host": "h", "prefix": "/s/"},
            "kind": "stream",
            "repeatable": False,
        },
        "resumable": {
            **ROUTE,
            "match": {"host": "h", "prefix": "/r/"},
            "kind": "stream",
            "repeatable": False,
            "resumable": True,
        },
    },
    "about": {"limits": {"bodyBytes": 100_000, "idleMs": 15_000}},
}


def event(number, text="x"):
    return f"id: {number}\ndata: {text}\n\n"


def chunk(text):
    return f"{len(text):x}\r\n{text}\r\n"


def head(fields, extra="", body=None, status="200 OK"):
    framing = (
        "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n"
        if body is None
        else f"Content-Length: {len(body)}\r\n"
    )
    return f"HTTP/1.1 {status}\r\nRequest-Id: {fields['Request-Id']}\r\nServer-Seal: {{seal}}\r\n{extra}{framing}\r\n{body or ''}"


class Worker:
    """A worker that responds by the coroutine function `respond`, which closes the connection by returning False.

    `requests` has a row for each request: its request line, headers, body and the number of its connection.
    """

    def __init__(self, identity, respond):
        self.identity, self.respond = identity, respond
        self.requests, self.connections, self.disconnected = [], 0, asyncio.Event()

    async def start(self, port):
        self.port = port
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)

    async def serve(self, reader, writer):
        self.connections += 1
        connection = self.connections
        try:
            while True:
                text = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(
                    line.split(": ", 1) for line in text.split("\r\n")[1:] if ": " in line
                )
                body = await reader.readexactly(int(fields.get("Content-Length", 0)))
                self.requests.append((text.split("\r\n")[0], fields, body, connection))
                if await self.respond(self, fields, writer) is False:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            self.disconnected.set()
        writer.close()

    def write_text(self, writer, text):
        writer.write(text.replace("{seal}", f"seal-{self.identity}").encode())


async def respond_ok(worker, fields, writer):
    worker.write_text(writer, head(fields, "Keep-Alive: timeout=5\r\n", "yes"))


def respond_with(answer, extra="", after=""):
    async def answers(worker, fields, writer):
        worker.write_text(writer, head(fields, extra, answer) + after)

    return answers


async def respond_three_events(worker, fields, writer):
    worker.write_text(writer, head(fields))
    for number in range(1 + int(fields.get("Last-Event-Id", 0)), 4):
        worker.write_text(writer, chunk(event(number)))
    worker.write_text(writer, "0\r\n\r\n")


class Client:
    """One client connection over a raw socket, so that a test sees every byte."""

    def __init__(self, port):
        self.port = port

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.port, limit=1 << 22
        )
        return self

    def send(
        self,
        target,
        method="POST",
        body=b"body",
        request_id="r-1",
        extra="",
        host="h",
        framing=None,
    ):
        framing = f"Content-Length: {len(body)}\r\n" if framing is None else framing
        ident = f"Request-Id: {request_id}\r\n" if request_id else ""
        self.writer.write(
            f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n{ident}{extra}{framing}\r\n".encode()
            + body
        )

    async def read_response(self):
        text = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        lines = text.split("\r\n")
        fields = {
            name.lower(): value
            for name, value in (line.split(": ", 1) for line in lines[1:] if ": " in line)
        }
        if "content-length" in fields:
            return (
                int(lines[0].split()[1]),
                fields,
                await self.reader.readexactly(int(fields["content-length"])),
            )
        body = b""
        while size := int(await self.reader.readline(), 16):
            body += (await self.reader.readexactly(size + 2))[:-2]
        await self.reader.readline()
        return int(lines[0].split()[1]), fields, body

    async def read_to_end(self):
        """Return the bytes that arrive until the connection ends; none if it is reset."""
        try:
            return await self.reader.read()
        except ConnectionError:
            return b""


class Edge:
    def __init__(self, workers, ready=True, **settings):
        self.workers, self.ready, self.settings = workers, ready, settings

    async def __aenter__(self):
        set_up_logs("CRITICAL")
        link, http, self.port, readiness, *ports = free_ports(4 + len(self.workers))
        for worker, port in zip(self.workers, ports, strict=True):
            if isinstance(worker, Worker):
                await worker.start(port)
        node_settings = Settings(
            role="edge",
            link=f"127.0.0.1:{link}",
            http=f"127.0.0.1:{http}",
            zone="z",
            max_body_bytes=1 << 20,
            seeds=[f"127.0.0.1:{link}"],
            **self.settings,
        )
        env = ProcessEnvironment(node_settings.link)
        self.sender = HttpSender(node_settings.request_timeout_ms)
        self.node = EdgeNode(env, node_settings, self.sender)
        self.node.router.header_names = platform_names.WORKER_HEADERS
        self.node.forward_service._why_profiles_uncertain = lambda: "" if self.ready else "unsure"
        self.runner = NodeRunner(self.node, env)
        await self.runner.start()
        self.node.config_feed.publish("profiles", 1, json.dumps(PROFILES))
        self.node.config_feed.publish(
            "workers",
            1,
            json.dumps(
                {
                    "workers": {
                        f"w{place}": {
                            "address": f"127.0.0.1:{ports[place]}",
                            "zone": "z" if place == 0 else "y",
                            "label": "s",
                            "slots": 4,
                            "state": "serving",
                            "seq": 1,
                            "models": [],
                        }
                        for place in range(len(self.workers))
                    }
                }
            ),
        )
        self.server = ForwardServer(
            self.node,
            f"127.0.0.1:{self.port}",
            (f"127.0.0.1:{readiness}", "/vaneledge/ready"),
            edge_api.PlatformRequestReader(),
        )
        await self.server.start()
        return self

    async def __aexit__(self, *_):
        await self.server.stop()
        await self.runner.stop()
        await self.sender.close()
        for worker in self.workers:
            if isinstance(worker, Worker):
                worker.server.close()

    def start_draining(self):
        schedule = DrainSchedule(self.node.env.now(), self.node.settings.grace_ms)
        self.node.start_draining(schedule)
        self.server.start_draining(schedule)

    async def request(self, target, **how):
        client = await Client(self.port).open()
        client.send(target, **how)
        answer = await asyncio.wait_for(client.read_response(), 5)
        client.writer.close()
        return answer


def async_test(case):
    """Run a coroutine method as a test, with a time limit of 20 s."""
    return lambda self: asyncio.run(asyncio.wait_for(case(self), 20))
