"""The right answer to the right request, once, on connections to workers that are kept: late and surplus answers,
resets, answers before they were asked for, and answers that are none. What may not be repeated runs
once.
"""

import asyncio

from forward_stage import Client, Edge, Worker, good, head, run
from testtools import TestCase
from testtools.matchers import Equals
from wire_helpers import heard, ids, reset, statuses

KEPT = "Keep-Alive: timeout=5\r\n"


class Greeter(Worker):
    """Says something before it has read anything, and then serves as any other."""

    greeting = ""

    async def serve(self, reader, writer):
        writer.write(self.greeting.encode())
        await writer.drain()
        await super().serve(reader, writer)


NOT_RUN = "HTTP/1.1 503 No\r\nRequest-Id: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n"


class KeptConnections(TestCase):
    """What a worker does on a connection that was used before, or before it was asked anything."""

    @run
    async def test_a_late_answer_is_not_taken_for_a_second_send_of_the_same_id(self):
        """The answer to the first send comes once more, after the second one was written to the same connection."""
        ran = []

        async def late(worker, fields, writer):
            mine = worker.requests[-1][3]
            refusal = NOT_RUN.replace("{id}", fields["Request-Id"]) + KEPT + "\r\n"
            if len(worker.requests) == 1:
                worker.say(writer, refusal)
                return
            if [row[3] for row in worker.requests].count(mine) > 1:
                worker.say(writer, refusal)
                await writer.drain()
                await asyncio.sleep(0.02)
            ran.append(fields["Request-Id"])
            worker.say(writer, head(fields, KEPT, "yes"))

        worker = Worker("w0", late)
        async with Edge([worker]) as edge:
            status, _, body = await edge.one(
                "/p/1", request_id="r-1", extra="Deadline-Ms: 3000\r\n"
            )
            self.assertThat((status, body, ran), Equals((200, b"yes", ["r-1"])))

    @run
    async def test_bytes_nobody_asked_for_end_the_connection(self):
        """Rows: what follows the whole answer, and after how long; the rest of it comes with the next request."""
        surplus = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Seal: x\r\n"
        for name, after, wait_s in (
            ("a part of a head, in the same piece", surplus, 0.0),
            ("a part of a status line, in the same piece", "HTTP/1.1 2", 0.0),
            ("a part of a head, later", surplus, 0.02),
            ("a part of a status line, later", "HTTP/1.1 2", 0.02),
            ("a whole answer, later", surplus + "Content-Length: 3\r\n\r\nbad", 0.02),
            ("an empty line, later", "\r\n", 0.02),
            ("a byte of nothing, later", "\x00", 0.02),
        ):

            async def extra(worker, fields, writer, after=after, wait_s=wait_s):
                if len(worker.requests) > 1:
                    worker.say(writer, head(fields, KEPT, "two"))
                elif wait_s:
                    worker.say(writer, head(fields, KEPT, "one"))
                    await asyncio.sleep(wait_s)
                    worker.say(writer, after)
                else:
                    worker.say(writer, head(fields, KEPT, "one") + after)

            worker = Worker("w0", extra)
            async with Edge([worker]) as edge:
                first = await edge.one("/p/1", request_id="r-1")
                await asyncio.sleep(0.05)
                second = await edge.one("/p/1", request_id="r-2")
                self.assertThat(
                    (first[2], second[0], second[2], worker.connections),
                    Equals((b"one", 200, b"two", 2)),
                    name,
                )

    @run
    async def test_what_is_said_before_anything_was_asked_promises_nothing(self):
        """A refusal without an id that was written as the connection came up is no word about this request."""
        for name, greeting in (
            ("503", "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
            ("421", "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"),
        ):
            workers = [Greeter("w0", good), Greeter("w1", good)]
            for worker in workers:
                worker.greeting = greeting
            async with Edge(workers) as edge:
                status, _, _ = await edge.one(
                    "/p/1", request_id="r-1", extra="Deadline-Ms: 1500\r\n"
                )
                await asyncio.sleep(0.02)
                self.assertThat(
                    (status, sum(len(worker.requests) for worker in workers) <= 1),
                    Equals((502, True)),
                    name,
                )

    @run
    async def test_a_reset_on_a_kept_connection_sends_nothing_twice(self):
        """Rows: when the worker resets the second request's connection. What may not be repeated is there once."""

        async def before(worker, fields, writer):
            reset(writer)

        async def within(worker, fields, writer):
            worker.say(writer, head(fields, KEPT, "yes")[:30])
            await writer.drain()
            reset(writer)

        async def after(worker, fields, writer):
            worker.say(writer, head(fields, KEPT, "yes")[:-1])
            await writer.drain()
            await asyncio.sleep(0.01)
            reset(writer)

        async def ended(worker, fields, writer):
            return False

        for way in (before, within, after, ended):
            for method in ("GET", "POST", "PUT", "DELETE", "HEAD", "OPTIONS"):
                if method == "HEAD" and way in (within, after):
                    continue

                async def answer(worker, fields, writer, way=way):
                    worker.seen.append(fields["Request-Id"])
                    if fields["Request-Id"] == "r-2":
                        return await way(worker, fields, writer)
                    return await good(worker, fields, writer)

                workers = [Worker("w0", answer), Worker("w1", answer)]
                workers[0].seen = workers[1].seen = seen = []
                async with Edge(workers) as edge:
                    for number in range(4):
                        await edge.one("/p/1", request_id=f"warm-{number}")
                    client = await Client(edge.port).open()
                    client.ask("/p/1", method=method, request_id="r-2")
                    data = await heard(client)
                    self.assertThat(
                        (seen.count("r-2"), [status for status, _ in statuses(data)]),
                        Equals((1, [502])),
                        f"{way.__name__} {method}",
                    )

    @run
    async def test_an_answer_that_comes_before_the_body_was_read(self):
        """The worker answers on the head alone and reads the body afterwards; the next request has its own answer."""

        class Early(Worker):
            async def serve(self, reader, writer):
                self.connections += 1
                try:
                    while True:
                        text = (await reader.readuntil(b"\r\n\r\n")).decode()
                        fields = dict(
                            line.split(": ", 1) for line in text.split("\r\n")[1:] if ": " in line
                        )
                        self.say(writer, head(fields, KEPT, fields["Request-Id"]))
                        await writer.drain()
                        await asyncio.sleep(0.02)
                        body = await reader.readexactly(int(fields.get("Content-Length", 0)))
                        self.requests.append((text.split("\r\n")[0], fields, body, 0))
                except (asyncio.IncompleteReadError, ConnectionError):
                    writer.close()

        worker = Early("w0", None)
        async with Edge([worker]) as edge:
            for number in range(3):
                body = b"%d" % number * 90_000
                told = await edge.one("/p/1", request_id=f"r-{number}", body=body)
                self.assertThat((told[0], told[2]), Equals((200, b"r-%d" % number)))
            await asyncio.sleep(0.05)
            self.assertThat(
                [(fields["Request-Id"], len(set(body))) for _, fields, body, _ in worker.requests],
                Equals([(f"r-{number}", 1) for number in range(3)]),
            )

    @run
    async def test_odd_answers_end_the_connection_and_the_next_one_is_right(self):
        """Rows: what is written to an id, and what its client is told on a route that may not be repeated."""
        ident, seal = "Request-Id: r-1\r\n", "Server-Seal: seal-w0\r\n"
        fine = ident + seal + KEPT
        for name, written, told in (
            ("103, then good", f"HTTP/1.1 103 E\r\n{ident}\r\nHTTP/1.1 200 OK\r\n{fine}Content-Length: 3\r\n\r\nyes", 200),
            ("100 of another, then good", f"HTTP/1.1 100 C\r\nRequest-Id: x\r\n\r\nHTTP/1.1 200 OK\r\n{fine}Content-Length: 3\r\n\r\nyes", 200),
            ("101", f"HTTP/1.1 101 S\r\n{fine}Connection: upgrade\r\nUpgrade: x\r\n\r\nyes", 502),
            ("204 with a body", f"HTTP/1.1 204 No\r\n{fine}Content-Length: 3\r\n\r\nyes", 502),
            ("length and chunks", f"HTTP/1.1 200 OK\r\n{fine}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n", 502),
            ("two lengths", f"HTTP/1.1 200 OK\r\n{fine}Content-Length: 3\r\nContent-Length: 2\r\n\r\nyes", 502),
            ("a length twice", f"HTTP/1.1 200 OK\r\n{fine}Content-Length: 3\r\nContent-Length: 3\r\n\r\nyes", 502),
            ("chunks of another encoding", f"HTTP/1.1 200 OK\r\n{fine}Transfer-Encoding: gzip, chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n", 502),
            ("a folded id", f"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n x\r\n{seal}Content-Length: 3\r\n\r\nyes", 502),
            ("an id in a trailer", f"HTTP/1.1 200 OK\r\n{seal}Transfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\nRequest-Id: r-1\r\n\r\n", 502),
            ("two encodings", f"HTTP/1.1 200 OK\r\n{fine}Content-Encoding: identity\r\nContent-Encoding: br\r\nContent-Length: 3\r\n\r\nyes", 502),
            ("HTTP/1.0 to its end", f"HTTP/1.0 200 OK\r\n{fine}\r\nyes", 502),
        ):  # fmt: skip

            async def odd(worker, fields, writer, written=written):
                if fields["Request-Id"] == "r-1":
                    writer.write(written.encode())
                    await asyncio.sleep(0.03)
                    return False
                return await good(worker, fields, writer)

            worker = Worker("w0", odd)
            async with Edge([worker]) as edge:
                client = await Client(edge.port).open()
                client.ask("/p/1", request_id="r-1")
                first = statuses(await heard(client))
                await asyncio.sleep(0.02)
                second = await edge.one("/p/1", request_id="r-2")
                self.assertThat(
                    ([row[0] for row in first], second[0], ids(worker)),
                    Equals(([told], 200, ["r-1", "r-2"])),
                    name,
                )
