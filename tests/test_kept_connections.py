"""On kept connections to workers each request gets its own response: late and surplus responses, resets, responses
before the request, and invalid ones. A request that is not idempotent runs at most once.
"""

import asyncio
import gc

from forward_fixture import Client, Edge, Worker, async_test, head, respond_ok
from request_routing import ForwardCall
from testtools import TestCase
from testtools.matchers import Equals
from wire_helpers import final_statuses, read_all, request_ids, reset

KEPT = "Keep-Alive: timeout=5\r\n"


class UnsolicitedWorker(Worker):
    """Writes `unsolicited` as soon as a connection is made, and then serves as any other worker."""

    unsolicited = ""

    async def serve(self, reader, writer):
        writer.write(self.unsolicited.encode())
        await writer.drain()
        await super().serve(reader, writer)


NOT_RUN = "HTTP/1.1 503 No\r\nRequest-Id: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n"


class KeptConnections(TestCase):
    """Faults of a worker on a connection that was used before, or before the first request."""

    @async_test
    async def test_a_late_answer_is_not_taken_for_the_response_to_a_retry(self):
        """The worker repeats its response to the first attempt after the second was sent on the same connection."""
        ran = []

        async def late(worker, fields, writer):
            connection = worker.requests[-1][3]
            refusal = NOT_RUN.replace("{id}", fields["Request-Id"]) + KEPT + "\r\n"
            if len(worker.requests) == 1:
                worker.write_text(writer, refusal)
                return
            if [row[3] for row in worker.requests].count(connection) > 1:
                worker.write_text(writer, refusal)
                await writer.drain()
                await asyncio.sleep(0.02)
            ran.append(fields["Request-Id"])
            worker.write_text(writer, head(fields, KEPT, "yes"))

        worker = Worker("w0", late)
        async with Edge([worker]) as edge:
            status, _, body = await edge.request(
                "/p/1", request_id="r-1", extra="Deadline-Ms: 3000\r\n"
            )
            self.assertThat((status, body, ran), Equals((200, b"yes", ["r-1"])))

    @async_test
    async def test_a_pooled_connection_to_a_worker_keeps_no_request(self):
        """The context in which a connection was made kept its first request, with its body, for as long
        as the connection was open.
        """
        async with Edge([Worker("w0", respond_ok)]) as edge:
            status, _, _ = await edge.request("/p/1", body=b"x" * 50_000)
            self.assertThat(status, Equals(200))
            await asyncio.sleep(0.05)
            gc.collect()
            kept = [found for found in gc.get_objects() if isinstance(found, ForwardCall)]
            self.assertThat(kept, Equals([]))

    @async_test
    async def test_unexpected_bytes_end_the_connection(self):
        """Rows: the bytes after a complete response, and their delay in seconds. A connection that is reused would
        take them for the beginning of the next response.
        """
        surplus = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Seal: x\r\n"
        for name, after, wait_s in (
            ("a part of a head, in the same write", surplus, 0.0),
            ("a part of a status line, in the same write", "HTTP/1.1 2", 0.0),
            ("a part of a head, later", surplus, 0.02),
            ("a part of a status line, later", "HTTP/1.1 2", 0.02),
            ("a complete response, later", surplus + "Content-Length: 3\r\n\r\nbad", 0.02),
            ("an empty line, later", "\r\n", 0.02),
            ("a null byte, later", "\x00", 0.02),
        ):

            async def extra(worker, fields, writer, after=after, wait_s=wait_s):
                if len(worker.requests) > 1:
                    worker.write_text(writer, head(fields, KEPT, "two"))
                elif wait_s:
                    worker.write_text(writer, head(fields, KEPT, "one"))
                    await asyncio.sleep(wait_s)
                    worker.write_text(writer, after)
                else:
                    worker.write_text(writer, head(fields, KEPT, "one") + after)

            worker = Worker("w0", extra)
            async with Edge([worker]) as edge:
                first = await edge.request("/p/1", request_id="r-1")
                await asyncio.sleep(0.05)
                second = await edge.request("/p/1", request_id="r-2")
                self.assertThat(
                    (first[2], second[0], second[2], worker.connections),
                    Equals((b"one", 200, b"two", 2)),
                    name,
                )

    @async_test
    async def test_a_refusal_sent_before_the_request_is_not_trusted(self):
        """The worker writes a refusal without a request id when the connection is made. It is not taken for the
        request's own: the client gets status 502, and there is no retry.
        """
        for name, unsolicited in (
            ("503", "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
            ("421", "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"),
        ):
            workers = [UnsolicitedWorker("w0", respond_ok), UnsolicitedWorker("w1", respond_ok)]
            for worker in workers:
                worker.unsolicited = unsolicited
            async with Edge(workers) as edge:
                status, _, _ = await edge.request(
                    "/p/1", request_id="r-1", extra="Deadline-Ms: 1500\r\n"
                )
                await asyncio.sleep(0.02)
                self.assertThat(
                    (status, sum(len(worker.requests) for worker in workers) <= 1),
                    Equals((502, True)),
                    name,
                )

    @async_test
    async def test_a_reset_on_a_kept_connection_sends_nothing_twice(self):
        """The worker resets a kept connection before its response, within the head or before its last byte, or closes
        it without a response. The request, which may not be repeated, reaches a worker once.
        """

        async def before(worker, fields, writer):
            reset(writer)

        async def within(worker, fields, writer):
            worker.write_text(writer, head(fields, KEPT, "yes")[:30])
            await writer.drain()
            reset(writer)

        async def after(worker, fields, writer):
            worker.write_text(writer, head(fields, KEPT, "yes")[:-1])
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
                    return await respond_ok(worker, fields, writer)

                workers = [Worker("w0", answer), Worker("w1", answer)]
                workers[0].seen = workers[1].seen = seen = []
                async with Edge(workers) as edge:
                    for number in range(4):
                        await edge.request("/p/1", request_id=f"warm-{number}")
                    client = await Client(edge.port).open()
                    client.send("/p/1", method=method, request_id="r-2")
                    data = await read_all(client)
                    self.assertThat(
                        (seen.count("r-2"), [status for status, _ in final_statuses(data)]),
                        Equals((1, [502])),
                        f"{way.__name__} {method}",
                    )

    @async_test
    async def test_a_response_sent_before_the_body_was_read_is_not_taken_for_the_next_one(self):
        """The worker responds to the head alone and reads the body afterwards."""

        class EarlyWorker(Worker):
            async def serve(self, reader, writer):
                self.connections += 1
                try:
                    while True:
                        text = (await reader.readuntil(b"\r\n\r\n")).decode()
                        fields = dict(
                            line.split(": ", 1) for line in text.split("\r\n")[1:] if ": " in line
                        )
                        self.write_text(writer, head(fields, KEPT, fields["Request-Id"]))
                        await writer.drain()
                        await asyncio.sleep(0.02)
                        body = await reader.readexactly(int(fields.get("Content-Length", 0)))
                        self.requests.append((text.split("\r\n")[0], fields, body, 0))
                except (asyncio.IncompleteReadError, ConnectionError):
                    writer.close()

        worker = EarlyWorker("w0", None)
        async with Edge([worker]) as edge:
            for number in range(3):
                body = b"%d" % number * 90_000
                response = await edge.request("/p/1", request_id=f"r-{number}", body=body)
                self.assertThat((response[0], response[2]), Equals((200, b"r-%d" % number)))
            await asyncio.sleep(0.05)
            self.assertThat(
                [(fields["Request-Id"], len(set(body))) for _, fields, body, _ in worker.requests],
                Equals([(f"r-{number}", 1) for number in range(3)]),
            )

    @async_test
    async def test_after_an_unusual_response_the_next_request_gets_its_own(self):
        """Rows: what the worker writes to the first request, and the status that its client gets; the request is not
        idempotent, and the worker closes the connection afterwards.
        """
        ident, seal = "Request-Id: r-1\r\n", "Server-Seal: seal-w0\r\n"
        fine = ident + seal + KEPT
        for name, written, expected in (
            ("103, then good", f"HTTP/1.1 103 E\r\n{ident}\r\nHTTP/1.1 200 OK\r\n{fine}Content-Length: 3\r\n\r\nyes", 200),
            ("100 of another, then good", f"HTTP/1.1 100 C\r\nRequest-Id: x\r\n\r\nHTTP/1.1 200 OK\r\n{fine}Content-Length: 3\r\n\r\nyes", 200),
            ("101", f"HTTP/1.1 101 S\r\n{fine}Connection: upgrade\r\nUpgrade: x\r\n\r\nyes", 502),
            ("204 with a body", f"HTTP/1.1 204 No\r\n{fine}Content-Length: 3\r\n\r\nyes", 502),
            ("length and chunks", f"HTTP/1.1 200 OK\r\n{fine}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n", 502),
            ("two lengths", f"HTTP/1.1 200 OK\r\n{fine}Content-Length: 3\r\nContent-Length: 2\r\n\r\nyes", 502),
            ("a length twice", f"HTTP/1.1 200 OK\r\n{fine}Content-Length: 3\r\nContent-Length: 3\r\n\r\nyes", 502),
            ("gzip inside chunks", f"HTTP/1.1 200 OK\r\n{fine}Transfer-Encoding: gzip, chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n", 502),
            ("a folded id", f"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n x\r\n{seal}Content-Length: 3\r\n\r\nyes", 502),
            ("an id in a trailer", f"HTTP/1.1 200 OK\r\n{seal}Transfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\nRequest-Id: r-1\r\n\r\n", 502),
            ("two encodings", f"HTTP/1.1 200 OK\r\n{fine}Content-Encoding: identity\r\nContent-Encoding: br\r\nContent-Length: 3\r\n\r\nyes", 502),
            ("HTTP/1.0 without a length", f"HTTP/1.0 200 OK\r\n{fine}\r\nyes", 502),
        ):  # fmt: skip

            async def respond(worker, fields, writer, written=written):
                if fields["Request-Id"] == "r-1":
                    writer.write(written.encode())
                    await asyncio.sleep(0.03)
                    return False
                return await respond_ok(worker, fields, writer)

            worker = Worker("w0", respond)
            async with Edge([worker]) as edge:
                client = await Client(edge.port).open()
                client.send("/p/1", request_id="r-1")
                first = final_statuses(await read_all(client))
                await asyncio.sleep(0.02)
                second = await edge.request("/p/1", request_id="r-2")
                self.assertThat(
                    ([row[0] for row in first], second[0], request_ids(worker)),
                    Equals(([expected], 200, ["r-1", "r-2"])),
                    name,
                )
