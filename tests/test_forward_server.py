"""Forwarded requests through an edge's forward server, on real sockets: requests and responses as they are passed on,
reuse of connections to workers, and clients that disconnect, read slowly or arrive while the edge drains.
"""

import asyncio

from data_plane import connection_pool
from data_plane.drain_schedule import DrainSchedule
from forward_fixture import (
    Client,
    Edge,
    Worker,
    async_test,
    chunk,
    event,
    head,
    respond_ok,
    respond_three_events,
    respond_with,
)
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan, NotEquals


class Forwarding(TestCase):
    @async_test
    async def test_a_request_reaches_the_worker_unchanged(self):
        worker = Worker("w0", respond_ok)
        async with Edge([worker]) as edge:
            rows = [
                ("GET", "/p/a%20b//../c?x=%2F&y", b"", "", None),
                ("POST", "/p/?", b"\x00\xff" * 9, "", None),
                ("PUT", "/p/x?", b"abc", "", None),
                ("DELETE", "/p/x;a=b,c", b"", "", ""),
                ("POST", "/p/c", b"3\r\nabc\r\n0\r\n\r\n", "", "Transfer-Encoding: chunked\r\n"),
            ]
            for method, target, body, extra, framing in rows:
                status, fields, answer = await edge.request(
                    target, method=method, body=body, extra=extra, framing=framing
                )
                line, seen, received, _ = worker.requests[-1]
                wanted = b"abc" if framing and "chunked" in framing else body
                self.assertThat(
                    (
                        status,
                        answer,
                        line,
                        received,
                        seen["Request-Id"],
                        seen["Host"],
                        fields["server-seal"],
                        fields["request-id"],
                    ),
                    Equals(
                        (
                            200,
                            b"yes",
                            f"{method} {target} HTTP/1.1",
                            wanted,
                            "r-1",
                            "h",
                            "seal-w0",
                            "r-1",
                        )
                    ),
                )

    @async_test
    async def test_which_headers_are_passed_on(self):
        worker = Worker("w0", respond_ok)
        async with Edge([worker]) as edge:
            extra = (
                "Model: m\r\nX-Own: a\r\nConnection: keep-alive, X-Hop\r\nX-Hop: b\r\nKeep-Alive: timeout=9\r\nTE: trailers\r\nTrailer: x\r\n"
                "Upgrade: y\r\nProxy-Authorization: z\r\nWork-Urgency: 9\r\nTarget-Server: w7\r\nDeadline-Ms: 900\r\nCookie: a=b\r\n"
            )
            await edge.request("/p/1", extra=extra)
            _, seen, _, _ = worker.requests[-1]
            left_ms = int(seen.pop("Deadline-Ms"))
            self.assertThat(
                seen,
                Equals(
                    {
                        "Host": "h",
                        "Request-Id": "r-1",
                        "Model": "m",
                        "X-Own": "a",
                        "Cookie": "a=b",
                        "Target-Server": "w0",
                        "Work-Urgency": "5",
                        "Content-Length": "4",
                    }
                ),
            )
            self.assertThat(800 < left_ms <= 900, Equals(True))

    @async_test
    async def test_responses_of_the_edge_itself(self):
        async with Edge([Worker("w0", respond_ok)]) as edge:
            rows = [
                ("/x/1", {}, 404),
                ("/p/1", {"host": "other"}, 404),
                ("/p/1", {"request_id": ""}, 400),
                ("/p/1", {"body": b"x" * 200_000}, 413),
            ]
            for target, how, wanted in rows:
                self.assertThat(
                    (await edge.request(target, **how))[0], Equals(wanted), f"{target} {how}"
                )
            edge.ready = False
            status, fields, _ = await edge.request("/x/1")
            self.assertThat((status, 0 < float(fields["retry-after"]) <= 1), Equals((503, True)))

    @async_test
    async def test_an_unreachable_worker_is_skipped_for_a_while(self):
        worker = Worker("w1", respond_ok)
        async with Edge([None, worker]) as edge:
            statuses = [(await edge.request("/p/1"))[0] for _ in range(4)]
            self.assertThat(statuses, Equals([200] * 4))
            self.assertThat(edge.node.router.counts.get("sends_failed", 0), LessThan(3))

    @async_test
    async def test_calls_wait_out_a_restart_of_the_only_worker(self):
        """Its connections are refused for 1 s: clients that wait for 4 s were answered 503 after 0.1 s."""
        worker = Worker("w0", respond_ok)
        async with Edge([worker]) as edge:
            worker.server.close()
            calls = [
                asyncio.ensure_future(edge.request(target, extra="Deadline-Ms: 4000\r\n"))
                for target in ("/p/1", "/i/1") * 4
            ]
            await asyncio.sleep(1)
            await worker.start(worker.port)
            answers = await asyncio.gather(*calls)
            self.assertThat([answer[0] for answer in answers], Equals([200] * 8))

    @async_test
    async def test_calls_at_once_wait_whose_work_can_be_done_in_their_time(self):
        """Twelve streams of 0.3 s before four slots, done after 0.9 s; clients wait for 1.6 s. Half were answered 503."""

        async def respond_slowly(worker, fields, writer):
            worker.write_text(writer, head(fields) + chunk(event(1)))
            await asyncio.sleep(0.3)
            worker.write_text(writer, "0\r\n\r\n")

        async with Edge([Worker("w0", respond_slowly)]) as edge:
            for _ in range(10):
                await edge.request("/s/1")
            calls = [edge.request("/s/1", extra="Deadline-Ms: 1600\r\n") for _ in range(12)]
            answers = await asyncio.gather(*calls)
            self.assertThat([answer[0] for answer in answers], Equals([200] * 12))

    @async_test
    async def test_while_no_worker_can_be_reached_the_refusal_comes_once_the_next_try_is_too_late(
        self,
    ):
        """Rows: how long the client waits, and by when it has its answer; the workers are tried after 0.25, 0.75 s."""
        for left_ms, latest_ms in ((200, 150), (700, 500), (1500, 1200)):
            async with Edge([None, None]) as edge:
                loop = asyncio.get_running_loop()
                began = loop.time()
                status, fields, _ = await edge.request("/p/1", extra=f"Deadline-Ms: {left_ms}\r\n")
                took_ms = (loop.time() - began) * 1000
                back_ms = float(fields["retry-after"]) * 1000
                self.assertThat((status, 0 < back_ms <= 2000), Equals((503, True)))
                self.assertThat(took_ms, LessThan(latest_ms))
                self.assertThat(took_ms + back_ms, GreaterThan(left_ms))

    @async_test
    async def test_without_any_worker_the_refusal_is_immediate(self):
        async with Edge([]) as edge:
            began = asyncio.get_running_loop().time()
            status, fields, _ = await edge.request("/p/1")
            self.assertThat((status, 0 < float(fields["retry-after"]) <= 2), Equals((503, True)))
            self.assertThat(asyncio.get_running_loop().time() - began, LessThan(2.0))


class Streams(TestCase):
    @async_test
    async def test_a_resumed_stream_keeps_its_first_head(self):
        async def breaks(worker, fields, writer):
            if "Last-Event-Id" in fields:
                return await respond_three_events(worker, fields, writer)
            worker.write_text(writer, head(fields) + chunk(event(1)) + chunk(event(2)[:5]))
            return False

        workers = [Worker("w0", breaks), Worker("w1", breaks)]
        async with Edge(workers) as edge:
            status, fields, body = await edge.request("/r/1")
            first, second = sorted(
                workers, key=lambda worker: "Last-Event-Id" in worker.requests[0][1]
            )
            self.assertThat(
                (status, body.decode(), fields["server-seal"]),
                Equals((200, event(1) + event(2) + event(3), f"seal-{first.identity}")),
            )
            self.assertThat(second.requests[0][1]["Last-Event-Id"], Equals("1"))

    @async_test
    async def test_a_stream_that_breaks_never_looks_complete(self):
        async def breaks(worker, fields, writer):
            worker.write_text(writer, head(fields) + chunk(event(1)) + chunk(event(2)[:5]))
            return False

        async with Edge([Worker("w0", breaks)]) as edge:
            client = await Client(edge.port).open()
            client.send("/s/1")
            rest = await asyncio.wait_for(client.read_to_end(), 5)
            self.assertThat((rest.endswith(b"0\r\n\r\n"), b"id: 2" in rest), Equals((False, False)))

    @async_test
    async def test_events_are_forwarded_as_they_come(self):
        gate = asyncio.Event()

        async def slow(worker, fields, writer):
            worker.write_text(writer, head(fields) + chunk(event(1)))
            await gate.wait()
            worker.write_text(writer, chunk(event(2)) + "0\r\n\r\n")

        async with Edge([Worker("w0", slow)]) as edge:
            client = await Client(edge.port).open()
            client.send("/s/1")
            await asyncio.wait_for(client.reader.readuntil(b"data: x\n\n"), 2)
            gate.set()
            self.assertThat(
                await asyncio.wait_for(client.reader.readuntil(b"0\r\n\r\n"), 2),
                Equals(b"\r\n" + chunk(event(2)).encode() + b"0\r\n\r\n"),
            )

    @async_test
    async def test_a_disconnected_client_frees_the_worker(self):
        async def slow(worker, fields, writer):
            worker.write_text(writer, head(fields) + chunk(event(1)))

        for target in ("/s/1", "/r/1"):
            worker = Worker("w0", slow)
            async with Edge([worker]) as edge:
                client = await Client(edge.port).open()
                client.send(target)
                await asyncio.wait_for(client.reader.readuntil(b"data: x\n\n"), 2)
                client.writer.close()
                await asyncio.wait_for(worker.disconnected.wait(), 2)
                self.assertThat(sum(one.in_flight for one in edge.node.registry.all()), Equals(0))

    @async_test
    async def test_a_slow_client_holds_the_worker_back(self):
        written = []

        async def endless(worker, fields, writer):
            worker.write_text(writer, head(fields))
            for number in range(1, 3000):
                worker.write_text(writer, chunk(event(number, "x" * 10_000)))
                written.append(number)
                await writer.drain()
            worker.write_text(writer, "0\r\n\r\n")

        async with Edge([Worker("w0", endless)]) as edge:
            client = await Client(edge.port).open()
            client.send("/s/1")
            await asyncio.wait_for(client.reader.readuntil(b"id: 1\n"), 2)
            client.writer.transport.pause_reading()
            seen = -1
            while len(written) != seen:
                seen = len(written)
                await asyncio.sleep(0.2)
            self.assertThat(seen, LessThan(2500))
            self.assertThat(
                max(one.unread_bytes for one in edge.node.router.in_flight.values()),
                LessThan(1 << 18),
            )
            client.writer.transport.resume_reading()
            rest = b""
            while not rest.endswith(b"\r\n0\r\n\r\n"):
                received = await asyncio.wait_for(client.reader.read(1 << 20), 5)
                self.assertThat(received, NotEquals(b""))
                rest = (rest + received)[-100_000:]
            self.assertThat(len(written), Equals(2999))

    @async_test
    async def test_a_silent_worker_is_replaced_if_a_retry_is_safe(self):
        async def silent(worker, fields, writer):
            await asyncio.sleep(3600)

        async def stalls(worker, fields, writer):
            worker.write_text(writer, head(fields) + chunk(event(1)))
            await asyncio.sleep(3600)

        for answer, target in ((silent, "/r/1"), (stalls, "/r/1")):
            async with Edge(
                [Worker("w0", answer), Worker("w1", respond_three_events)], force_ms=400
            ) as edge:
                status, _, body = await edge.request(target)
                self.assertThat(
                    (status, body.decode()), Equals((200, event(1) + event(2) + event(3)))
                )
        async with Edge([Worker("w0", silent), Worker("w1", silent)], force_ms=400) as edge:
            self.assertThat(
                (await edge.request("/s/1", extra="Deadline-Ms: 700\r\n"))[0], Equals(504)
            )
            self.assertThat(edge.node.router.counts["sends_live"], Equals(1))


class Connections(TestCase):
    """ROWS: the case, the headers of the worker's responses, what it writes after each, and how many connections three
    requests take.
    """

    ROWS = [
        ("kept", "Keep-Alive: timeout=5\r\n", "", 1),
        ("no idle timeout announced", "", "", 1),
        ("closed", "Connection: close\r\n", "", 3),
        (
            "a surplus answer",
            "Keep-Alive: timeout=5\r\n",
            "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Seal: x\r\nContent-Length: 3\r\n\r\nbad",
            3,
        ),
    ]

    @async_test
    async def test_which_connections_are_reused(self):
        for name, extra, after, wanted in self.ROWS:
            worker = Worker("w0", respond_with("yes", extra, after))
            async with Edge([worker]) as edge:
                responses = [
                    (await edge.request("/p/1", request_id=f"r-{index}"))[::2] for index in range(3)
                ]
                self.assertThat(
                    (responses, worker.connections, edge.sender.pool.opened),
                    Equals(([(200, b"yes")] * 3, wanted, wanted)),
                    name,
                )

    @async_test
    async def test_how_long_idle_connections_are_reused(self):
        """Rows: the seconds idle, of a timeout of five, and whether a connection is reused if unsafe and if safe."""
        clock = {"now": 1000.0}
        real, connection_pool.monotonic = connection_pool.monotonic, lambda: clock["now"]
        try:
            for idle_s, reused_if_unsafe, reused_if_safe in (
                (0.5, True, True),
                (2.0, True, True),
                (3.0, False, True),
                (4.5, False, False),
            ):
                for target, reused in (("/p/1", reused_if_unsafe), ("/i/1", reused_if_safe)):
                    worker = Worker("w0", respond_ok)
                    async with Edge([worker]) as edge:
                        await edge.request(target)
                        for rows in edge.sender.pool._conns.values():
                            for index, (protocol, _) in enumerate(list(rows)):
                                rows[index] = (protocol, clock["now"] - idle_s)
                        await edge.request(target, request_id="r-2")
                        self.assertThat(
                            worker.connections, Equals(1 if reused else 2), f"{target} {idle_s}"
                        )
        finally:
            connection_pool.monotonic = real

    @async_test
    async def test_a_late_response_is_never_taken_for_another_request(self):
        async def late(worker, fields, writer):
            if len(worker.requests) == 1:
                worker.write_text(writer, head(fields, "Keep-Alive: timeout=5\r\n", "one"))
                await asyncio.sleep(0.05)
                worker.write_text(writer, head(fields, "", "old"))
            else:
                worker.write_text(writer, head(fields, "", "two"))

        worker = Worker("w0", late)
        async with Edge([worker]) as edge:
            first = await edge.request("/p/1", request_id="r-1")
            await asyncio.sleep(0.1)
            second = await edge.request("/p/1", request_id="r-2")
            self.assertThat(
                (first[2], second[2], second[1]["request-id"], worker.connections),
                Equals((b"one", b"two", "r-2", 2)),
            )


class Draining(TestCase):
    @async_test
    async def test_draining_answers_what_was_read_and_sends_clients_elsewhere(self):
        gate = asyncio.Event()

        async def slow(worker, fields, writer):
            worker.write_text(writer, head(fields) + chunk(event(1)))
            await gate.wait()
            worker.write_text(writer, chunk(event(2)) + "0\r\n\r\n")

        async with Edge([Worker("w0", slow)], grace_ms=2000) as edge:
            early, idle = await Client(edge.port).open(), await Client(edge.port).open()
            early.send("/s/1")
            await asyncio.wait_for(early.reader.readuntil(b"data: x\n\n"), 2)
            edge.start_draining()
            late = await Client(edge.port).open()
            late.send("/s/2")
            text = await asyncio.wait_for(late.reader.readuntil(b"data: x\n\n"), 2)
            self.assertThat(
                (b"Connection: close" in text, edge.node.why_unready(), edge.server.busy()),
                Equals((True, "stopping", True)),
            )
            self.assertThat(await asyncio.wait_for(idle.read_to_end(), 2), Equals(b""))
            try:
                await Client(edge.port).open()
                refused = False
            except ConnectionError:
                refused = True
            gate.set()
            ends = [await asyncio.wait_for(client.read_to_end(), 2) for client in (early, late)]
            self.assertThat(
                (refused, [end.endswith(b"0\r\n\r\n") for end in ends]),
                Equals((True, [True, True])),
            )
            await asyncio.sleep(0)
            self.assertThat(edge.server.busy(), Equals(False))
            self.assertThat(edge.server.live_now, Equals(0))

    def test_a_draining_edge_accepts_clients_for_over_three_of_eight_seconds(self):
        """With a grace time of 8 s; the time has to outlast two missed seconds."""
        self.assertThat(DrainSchedule(0, 8000).accept_until_ms, GreaterThan(3000))
