"""Completions of our own interface whose clients read nothing; the events wait at the edge."""

import asyncio
import json
from types import SimpleNamespace

from data_plane.body_reader import BodyReader
from data_plane.client_connections import DEFAULT_LIMITS
from data_plane.completion_api import CompletionApi
from data_plane.http_service import HttpService
from forward_fixture import Client, async_test
from ports import free_ports
from runtime import MemoryBudget, set_up_logs
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

EVENT = b"data: " + b"x" * 50_000 + b"\n\n"
BUDGET_BYTES = 4 << 20


class EndlessService:
    """Streams events as long as the client is connected, whether or not it reads."""

    def __init__(self):
        self.sent = 0
        self.disconnected = asyncio.Event()

    def unready_response(self, has_key):
        return None

    def complete(self, path, key, body, stream, on_event, on_end):
        async def stream_events():
            while not self.disconnected.is_set() and self.sent < 2000:
                on_event(EVENT)
                self.sent += 1
                await asyncio.sleep(0)

        self.on_event = on_event
        self.task = asyncio.ensure_future(stream_events())
        return SimpleNamespace(
            disconnect=self.disconnected.set, lifecycle=SimpleNamespace(edge_request_id="e")
        )


class UnreadCompletions(TestCase):
    @async_test
    async def test_events_that_a_client_does_not_read_are_bounded(self):
        """They were queued for each client without a bound, four bodies of the largest size at most."""
        set_up_logs("CRITICAL")
        [port] = free_ports(1)
        budget = MemoryBudget(BUDGET_BYTES)
        server = HttpService(
            f"127.0.0.1:{port}",
            DEFAULT_LIMITS["body_bytes"],
            str,
            dict,
            dict,
            (),
            BodyReader(budget, 500),
            100,
        )
        service = EndlessService()
        settings = SimpleNamespace(max_body_bytes=1 << 20)
        CompletionApi(SimpleNamespace(settings=settings), service, server)
        await server.start()
        client = await Client(port).open()
        client.writer.transport.pause_reading()
        body = json.dumps({"model": "m", "prompt": "p", "stream": True}).encode()
        client.send("/v1/completions", body=body, extra="Content-Type: application/json\r\n")
        await service.disconnected.wait()
        self.assertThat(service.sent, LessThan(2000))
        while budget.used_bytes:
            await asyncio.sleep(0.01)
        self.assertThat(budget.refused_count, GreaterThan(0))
        client.writer.transport.abort()
        await service.task
        service.on_event(EVENT)
        await server.stop()
        self.assertThat(budget.holding().try_resize(BUDGET_BYTES), Equals(True))
