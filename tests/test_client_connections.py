"""The bounds of single connections over real sockets: heads, bodies, responses that nobody reads, idle connections.

The crowds that these bounds are for are in `test_crowds`.
"""

import asyncio

from data_plane.client_connections import DEFAULT_LIMITS
from edge_api import PlatformRequestReader
from forward_fixture import Client, Edge, Worker, async_test, chunk, event, head, respond_ok
from runtime import MemoryBudget
from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

HEAD_BYTES = 2000
LIMITS = {**DEFAULT_LIMITS, "header_bytes": HEAD_BYTES, "body_bytes": 100_000}


class LimitedReader(PlatformRequestReader):
    """Reads requests as the platform's, with the limits of a test."""

    def __init__(self, limits):
        self._limits = limits

    def limits(self, about):
        return self._limits


class TrackedEdge(Edge):
    """An edge whose clients are disconnected at the end of a test."""

    def __init__(self, workers, **settings):
        super().__init__(workers, **settings)
        self.clients = []

    async def client(self):
        self.clients.append(await Client(self.port).open())
        return self.clients[-1]

    async def __aexit__(self, *_):
        for client in self.clients:
            client.writer.transport.abort()
        await asyncio.sleep(0)
        await super().__aexit__(*_)


def set_limits(edge, **limits):
    edge.server._server.limits = {**LIMITS, **limits}
    edge.server._reader = LimitedReader(edge.server._server.limits)


async def until(condition):
    while not condition():
        await asyncio.sleep(0.01)


class Heads(TestCase):
    async def open(self, edge, **limits):
        set_limits(edge, **limits)
        return await edge.client()

    @async_test
    async def test_a_head_has_a_limit_as_a_whole(self):
        """Each of its lines was within the limit, so that it could grow without end."""
        async with TrackedEdge([Worker("w0", respond_ok)]) as edge:
            client = await self.open(edge)
            client.writer.write(b"POST /p/1 HTTP/1.1\r\nHost: h\r\n")
            for number in range(3):
                client.writer.write(b"X-%d: %s\r\n" % (number, b"x" * 1000))
            self.assertThat(await client.read_to_end(), Contains(b" 431 "))

    @async_test
    async def test_a_head_up_to_the_limit_is_served(self):
        async with TrackedEdge([Worker("w0", respond_ok)]) as edge:
            client = await self.open(edge)
            client.send("/p/1", extra=f"X-Long: {'x' * (HEAD_BYTES - 200)}\r\n")
            self.assertThat((await client.read_response())[0], Equals(200))

    @async_test
    async def test_a_head_that_is_not_complete_in_time_is_answered_as_not_run(self):
        async with TrackedEdge([Worker("w0", respond_ok)]) as edge:
            client = await self.open(edge, header_wait_ms=100)
            client.writer.write(b"POST /p/1 HTTP/1.1\r\nHost: h\r\n")
            self.assertThat(await client.read_to_end(), Contains(b" 408 "))

    @async_test
    async def test_a_head_in_pieces_within_the_time_is_served_also_after_another_request(self):
        async with TrackedEdge([Worker("w0", respond_ok)]) as edge:
            client = await self.open(edge, header_wait_ms=2000)
            for number in range(3):
                text = f"POST /p/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r-{number}\r\n"
                for piece in (text[:9], text[9:30], text[30:], "Content-Length: 0\r\n\r\n"):
                    client.writer.write(piece.encode())
                    await asyncio.sleep(0.02)
                self.assertThat((await client.read_response())[0], Equals(200))

    @async_test
    async def test_a_late_head_does_not_cut_the_response_before_it(self):
        release = asyncio.Event()

        async def respond_late(worker, fields, writer):
            await release.wait()
            await respond_ok(worker, fields, writer)

        async with TrackedEdge([Worker("w0", respond_late)]) as edge:
            client = await self.open(edge, header_wait_ms=100)
            client.send("/p/1")
            client.writer.write(b"POST /p/1 HTTP/1.1\r\nHost: h\r\n")
            await asyncio.sleep(0.3)
            for _ in range(40):
                client.writer.write(b"X: %s\r\n" % (b"x" * 1000))
            await asyncio.sleep(0.1)
            release.set()
            self.assertThat((await client.read_response())[0], Equals(200))
            self.assertThat(await client.read_to_end(), Equals(b""))
            await until(lambda: edge.server.bodies.budget.used_bytes == 0)

    @async_test
    async def test_an_empty_line_after_a_body_is_not_taken_for_a_head(self):
        async with TrackedEdge([Worker("w0", respond_ok)]) as edge:
            client = await self.open(edge, header_wait_ms=100)
            for number in range(2):
                client.send("/p/1", request_id=f"r-{number}")
                self.assertThat((await client.read_response())[0], Equals(200))
                client.writer.write(b"\r\n")
                await asyncio.sleep(0.3)

    @async_test
    async def test_the_end_of_a_body_is_not_taken_for_a_head(self):
        async with TrackedEdge([Worker("w0", respond_ok)]) as edge:
            client = await self.open(edge, header_wait_ms=100)
            for number in range(2):
                client.send(
                    "/p/1",
                    body=b"x" * 5000,
                    framing="Content-Length: 9000\r\n",
                    request_id=f"r-{number}",
                )
                await asyncio.sleep(0.02)
                client.writer.write(b"x" * 4000)
                self.assertThat((await client.read_response())[0], Equals(200))
                await asyncio.sleep(0.2)

    @async_test
    async def test_a_connection_without_memory_for_its_head_is_closed(self):
        async with TrackedEdge([Worker("w0", respond_ok)]) as edge:
            budget = edge.server.bodies.budget
            budget.limit_bytes = 1 << 20
            blocking = budget.holding()
            blocking.try_resize(budget.limit_bytes)
            small = [budget.holding() for _ in range(1024)]
            for holding in small:
                while holding.size_bytes < 8000 and holding.try_resize(holding.size_bytes + 256):
                    pass
            self.assertThat(small[-1].try_resize(small[-1].size_bytes + 256), Equals(False))
            client = await self.open(edge)
            client.writer.write(b"POST /p/1 HTTP/1.1\r\nHost: h\r\n")
            self.assertThat(await client.read_to_end(), Equals(b""))
            for holding in (blocking, *small):
                holding.release()
            status, _, _ = await edge.request("/p/1")
            self.assertThat(status, Equals(200))


class Bodies(TestCase):
    @async_test
    async def test_a_request_without_memory_is_refused_as_not_run_and_its_response_is_read(self):
        worker = Worker("w0", respond_ok)
        async with TrackedEdge([worker]) as edge:
            budget = edge.server.bodies.budget
            blocking = budget.holding()
            blocking.try_resize(budget.limit_bytes // 2)
            other = budget.holding()
            other.try_resize(budget.limit_bytes // 4)
            set_limits(edge, body_bytes=1 << 24)
            status, fields, _ = await edge.request("/p/1", body=b"x" * (1 << 23))
            self.assertThat((status, worker.requests), Equals((503, [])))
            self.assertThat(float(fields["retry-after"]), GreaterThan(0.0))
            blocking.release()
            status, _, _ = await edge.request("/p/1", body=b"x" * (1 << 23))
            self.assertThat(status, Equals(200))
            other.release()
            self.assertThat(budget.used_bytes, Equals(0))

    @async_test
    async def test_a_body_that_stops_is_given_up_when_others_wait_for_its_memory(self):
        async with TrackedEdge([Worker("w0", respond_ok)]) as edge:
            edge.server.bodies.budget.limit_bytes = 1 << 20
            stopped = await edge.client()
            stopped.send("/p/1", body=b"x", framing="Content-Length: 90000\r\n")
            await until(lambda: edge.server.bodies.budget.used_bytes > 200_000)
            held = edge.server.bodies.budget.holding()
            held.try_resize(500_000)
            waiting = edge.server.bodies.budget.holding()
            waiting.wait(400_000, lambda: None)
            status, _, _ = await stopped.read_response()
            self.assertThat(status, Equals(408))
            held.release()
            waiting.release()

    @async_test
    async def test_a_body_that_stops_is_given_up_at_its_deadline(self):
        async with TrackedEdge([Worker("w0", respond_ok)]) as edge:
            client = await edge.client()
            client.send(
                "/p/1", body=b"x", framing="Content-Length: 90000\r\n", extra="Deadline-Ms: 200\r\n"
            )
            status, _, _ = await client.read_response()
            self.assertThat(status, Equals(408))

    @async_test
    async def test_a_body_that_stops_does_not_outlast_a_drain(self):
        async with TrackedEdge([Worker("w0", respond_ok)], grace_ms=600) as edge:
            client = await edge.client()
            client.send("/p/1", body=b"x", framing="Content-Length: 90000\r\n")
            await until(lambda: edge.server.live_now == 1)
            edge.start_draining()
            # The client's own time is 15 s.
            async with asyncio.timeout(5):
                status, _, _ = await client.read_response()
                await until(lambda: not edge.server.busy())
            self.assertThat(status, Equals(408))

    @async_test
    async def test_all_memory_is_given_back_however_a_request_ends(self):
        async def cut(worker, fields, writer):
            worker.write_text(writer, head(fields) + chunk(event(1)))
            return False

        for respond in (respond_ok, cut):
            async with TrackedEdge([Worker("w0", respond)]) as edge:
                budget = edge.server.bodies.budget
                for target in ("/p/1", "/s/1", "/none/1", "/i/1"):
                    client = await edge.client()
                    client.send(target, body=b"x" * 50_000, extra="Deadline-Ms: 2000\r\n")
                    await asyncio.wait_for(client.reader.read(1), 5)
                    client.writer.close()
                short = [await edge.client() for _ in range(5)]
                for client in short:
                    client.send("/p/1", body=b"x", framing="Content-Length: 90000\r\n")
                await until(lambda budget=budget: budget.used_bytes > 0)
                for client in short:
                    client.writer.transport.abort()
                await until(lambda budget=budget: budget.used_bytes == 0)


class Connections(TestCase):
    @async_test
    async def test_a_client_that_reads_nothing_of_its_response_is_closed(self):
        async def respond_much(worker, fields, writer):
            worker.write_text(writer, head(fields, "", "x" * (1 << 20)))
            await writer.drain()

        worker = Worker("w0", respond_much)
        async with TrackedEdge([worker]) as edge:
            set_limits(edge, idle_ms=200)
            clients = [await edge.client() for _ in range(8)]
            for number, client in enumerate(clients):
                client.writer.transport.pause_reading()
                for again in range(6):
                    client.send("/i/1", body=b"", request_id=f"r-{number}-{again}")
            await asyncio.sleep(0.3)
            await until(lambda: not edge.server._server.connections)

    @async_test
    async def test_a_client_that_reads_nothing_before_its_connection_closes_is_closed(self):
        async def respond_much(worker, fields, writer):
            worker.write_text(writer, head(fields, "", "x" * (8 << 20)))
            await writer.drain()

        async with TrackedEdge([Worker("w0", respond_much)]) as edge:
            set_limits(edge, idle_ms=200)
            client = await edge.client()
            client.writer.transport.pause_reading()
            client.send("/i/1", body=b"", extra="Connection: close\r\n")
            await until(lambda: edge.server.live_now == 1)
            await until(lambda: not edge.server._server.connections)

    @async_test
    async def test_the_longest_idle_connections_make_room_for_new_ones(self):
        async with TrackedEdge([Worker("w0", respond_ok)]) as edge:
            edge.server._server.max_connections = 16
            idle = []
            for _ in range(16):
                idle.append(await edge.client())
                await asyncio.sleep(0.01)
            for number in range(8):
                status, _, _ = await edge.request("/p/1", request_id=f"r-{number}")
                self.assertThat(status, Equals(200))
            self.assertThat(await asyncio.wait_for(idle[0].read_to_end(), 5), Equals(b""))
            self.assertThat(len(edge.server._server.connections), LessThan(17))
            idle[-1].send("/p/1", request_id="last")
            self.assertThat((await idle[-1].read_response())[0], Equals(200))

    @async_test
    async def test_a_busy_connection_is_never_closed_for_a_new_one(self):
        release = asyncio.Event()

        async def respond_late(worker, fields, writer):
            await release.wait()
            await respond_ok(worker, fields, writer)

        async with TrackedEdge([Worker("w0", respond_late)]) as edge:
            edge.server._server.max_connections = 2
            busy = [await edge.client() for _ in range(2)]
            for number, client in enumerate(busy):
                client.send("/p/1", request_id=f"r-{number}")
            await asyncio.sleep(0.2)
            newest = await edge.client()
            self.assertThat(await asyncio.wait_for(newest.read_to_end(), 5), Equals(b""))
            release.set()
            for client in busy:
                self.assertThat((await client.read_response())[0], Equals(200))


class Limits(TestCase):
    def test_a_budget_that_is_lowered_takes_nothing_back(self):
        budget = MemoryBudget(1 << 20)
        holding = budget.holding()
        holding.try_resize(700_000)
        budget.limit_bytes = 1 << 19
        self.assertThat(budget.holding().try_resize(10_000), Equals(False))
        self.assertThat(holding.try_resize(600_000), Equals(True))
        small = [budget.holding() for _ in range(200)]
        served = [one.try_resize(1000) for one in small]
        self.assertThat(served.count(True), Equals((1 << 17) // 1000))
        holding.release()
        self.assertThat(budget.holding().try_resize(10_000), Equals(True))
