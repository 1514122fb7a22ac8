"""Each client gets the responses to its own requests, tested on raw sockets: malformed and pipelined requests, clients
that disconnect, and responses that break off.
"""

import asyncio
from unittest import mock

from data_plane.client_connections import ClientConnection
from forward_fixture import Client, Edge, Worker, async_test, chunk, event, head, respond_ok
from testtools import TestCase
from testtools.matchers import Equals
from wire_helpers import final_statuses, read_all, request_ids, reset, wait_until

HEAD = "POST /p/1 HTTP/1.1\r\nHost: h\r\n"
ID = "Request-Id: r-1\r\n"
NEXT = "POST /p/2 HTTP/1.1\r\nHost: h\r\nRequest-Id: r-2\r\nContent-Length: 1\r\n\r\nb"


class RawRequests(TestCase):
    """ROWS: the case, what a client writes at once, the responses in order, and the ids that the worker ran."""

    ROWS = [
        ("one", HEAD + ID + "Content-Length: 4\r\n\r\nbody", [(200, "r-1")], ["r-1"]),
        (
            "two in a row",
            HEAD + ID + "Content-Length: 4\r\n\r\nbody" + NEXT,
            [(200, "r-1"), (200, "r-2")],
            ["r-1", "r-2"],
        ),
        (
            "two in a row, the first expects 100 Continue",
            HEAD + ID + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbody" + NEXT,
            [(200, "r-1"), (200, "r-2")],
            ["r-1", "r-2"],
        ),
        (
            "length and chunks",
            HEAD + ID + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + NEXT,
            [(400, "")],
            [],
        ),
        (
            "chunks and length",
            HEAD + ID + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" + NEXT,
            [(400, "")],
            [],
        ),
        (
            "two lengths",
            HEAD + ID + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody" + NEXT,
            [(400, "")],
            [],
        ),
        (
            "the same length twice",
            HEAD + ID + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody" + NEXT,
            [(400, "")],
            [],
        ),
        (
            "a length that is no number",
            HEAD + ID + "Content-Length: four\r\n\r\nbody",
            [(400, "")],
            [],
        ),
        ("a signed length", HEAD + ID + "Content-Length: +4\r\n\r\nbody", [(400, "")], []),
        (
            "an encoding whose name only ends in chunked",
            HEAD + ID + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + NEXT,
            [(400, "")],
            [],
        ),
        (
            "chunks twice",
            HEAD + ID + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n" + NEXT,
            [(400, "")],
            [],
        ),
        (
            "a chunk's size with a sign",
            HEAD + ID + "Transfer-Encoding: chunked\r\n\r\n-1\r\nx\r\n0\r\n\r\n" + NEXT,
            [(400, "")],
            [],
        ),
        (
            "a folded line",
            HEAD + ID + "X: a\r\n b\r\nContent-Length: 4\r\n\r\nbody" + NEXT,
            [(400, "")],
            [],
        ),
        (
            "a folded id",
            HEAD + "Request-Id: r-1\r\n r-9\r\nContent-Length: 4\r\n\r\nbody" + NEXT,
            [(400, "")],
            [],
        ),
        (
            "a space before the colon",
            HEAD + "Request-Id : r-1\r\nContent-Length: 4\r\n\r\nbody" + NEXT,
            [(400, "")],
            [],
        ),
        (
            "more than its length",
            HEAD + ID + "Content-Length: 4\r\n\r\nbody and more\r\n\r\n" + NEXT,
            [(400, "")],
            [],
        ),
        (
            "two ids",
            HEAD + ID + "Request-Id: r-9\r\nContent-Length: 4\r\n\r\nbody" + NEXT,
            [(400, ""), (200, "r-2")],
            ["r-2"],
        ),
        (
            "the same id twice",
            HEAD + ID + ID + "Content-Length: 4\r\n\r\nbody" + NEXT,
            [(400, ""), (200, "r-2")],
            ["r-2"],
        ),
        (
            "no id",
            HEAD + "Content-Length: 4\r\n\r\nbody" + NEXT,
            [(400, ""), (200, "r-2")],
            ["r-2"],
        ),
        (
            "two hosts",
            HEAD + "Host: other\r\n" + ID + "Content-Length: 4\r\n\r\nbody" + NEXT,
            [(400, "")],
            [],
        ),
        ("no length and a body", HEAD + ID + "\r\nbody" + NEXT, [(400, "")], []),
        ("a head of garbage", "\x01\x02\x03 / HTTP/9\r\n\r\n" + NEXT, [(400, "")], []),
    ]

    @async_test
    async def test_what_a_client_writes_is_answered_in_order_or_not_at_all(self):
        for name, written, expected, ran in self.ROWS:
            worker = Worker("w0", respond_ok)
            async with Edge([worker]) as edge:
                client = await Client(edge.port).open()
                client.writer.write(written.encode("latin-1"))
                data = await read_all(client)
                self.assertThat(
                    (final_statuses(data), request_ids(worker)), Equals((expected, ran)), name
                )


class ExpectContinue(TestCase):
    @async_test
    async def test_only_clients_that_know_interim_responses_get_one(self):
        """An HTTP/1.0 client would take 100 Continue for its response."""
        for version, first in (("1.1", b"HTTP/1.1 100 "), ("1.0", b"HTTP/1.0 200 ")):
            async with Edge([Worker("w0", respond_ok)]) as edge:
                client = await Client(edge.port).open()
                text = HEAD.replace("1.1", version) + ID
                text += "Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbody"
                client.writer.write(text.encode())
                data = await read_all(client)
                self.assertThat(
                    (data[: len(first)], [status for status, _ in final_statuses(data)]),
                    Equals((first, [200])),
                )


class HeadRequests(TestCase):
    @async_test
    async def test_a_response_to_head_has_the_length_of_the_omitted_body(self):
        """The next response on the connection begins directly after it."""

        async def answer(worker, fields, writer):
            if worker.requests[-1][0].startswith("HEAD"):
                worker.write_text(writer, head(fields, "", "12345").removesuffix("12345"))
            else:
                await respond_ok(worker, fields, writer)

        worker = Worker("w0", answer)
        async with Edge([worker]) as edge:
            client = await Client(edge.port).open()
            client.writer.write(f"HEAD /p/1 HTTP/1.1\r\nHost: h\r\n{ID}\r\n{NEXT}".encode())
            data = await read_all(client)
            self.assertThat(
                (
                    final_statuses(data),
                    data.lower().count(b"content-length: 5\r\n"),
                    request_ids(worker),
                ),
                Equals(([(200, "r-1"), (200, "r-2")], 1, ["r-1", "r-2"])),
            )
            self.assertThat(data.endswith(b"\r\n\r\nyes"), Equals(True))


class Disconnects(TestCase):
    """Clients that disconnect, responses that break off, and what follows on the same connection or port."""

    @async_test
    async def test_a_disconnect_cancels_pipelined_requests(self):
        gate = asyncio.Event()

        async def slow(worker, fields, writer):
            await gate.wait()
            return await respond_ok(worker, fields, writer)

        worker = Worker("w0", slow)
        async with Edge([worker]) as edge:
            client = await Client(edge.port).open()
            client.send("/p/1", request_id="r-1")
            client.send("/p/2", request_id="r-2")
            await wait_until(lambda: worker.requests)
            reset(client.writer)
            gate.set()
            response = await edge.request("/p/3", request_id="r-3")
            self.assertThat(
                (response[0], response[1]["request-id"], request_ids(worker), edge.server.live_now),
                Equals((200, "r-3", ["r-1", "r-3"], 0)),
            )

    @async_test
    async def test_no_second_response_follows_one_that_broke_off(self):
        async def cut(worker, fields, writer):
            worker.write_text(writer, head(fields) + chunk(event(1)))
            await writer.drain()
            await asyncio.sleep(0.02)
            return False

        worker = Worker("w0", cut)
        async with Edge([worker]) as edge:
            client = await Client(edge.port).open()
            client.send("/s/1", request_id="r-1")
            client.send("/p/2", request_id="r-2")
            data = await read_all(client)
            self.assertThat(
                (final_statuses(data), data.endswith(b"0\r\n\r\n"), request_ids(worker)),
                Equals(([(200, "r-1")], False, ["r-1"])),
            )

    @async_test
    async def test_a_response_that_is_no_continuation_never_completes_a_stream(self):
        """Rows: the second worker's response to a stream of which events were delivered. The client's connection is
        aborted before the stream's end.
        """
        for name, status, extra in (
            ("400", "400 No", ""),
            ("404", "404 No", ""),
            ("302", "302 Found", "Location: /x\r\n"),
            ("no stream", "200 OK", "Content-Type: application/json\r\n"),
            ("no content", "204 No", ""),
        ):

            async def first(worker, fields, writer):
                worker.write_text(writer, head(fields) + chunk(event(1)))
                await writer.drain()
                await asyncio.sleep(0.02)
                return False

            async def second(worker, fields, writer, status=status, extra=extra):
                body = "" if status.startswith("204") else "{}"
                worker.write_text(writer, head(fields, extra, body, status))

            async def either(worker, fields, writer, first=first, second=second):
                answer = second if "Last-Event-Id" in fields else first
                return await answer(worker, fields, writer)

            async with Edge([Worker("w0", either), Worker("w1", either)]) as edge:
                client = await Client(edge.port).open()
                client.send("/r/1", request_id="r-1")
                data = await read_all(client)
                self.assertThat(
                    (final_statuses(data), data.endswith(b"0\r\n\r\n")),
                    Equals(([(200, "r-1")], False)),
                    name,
                )

    @async_test
    async def test_a_request_that_was_just_read_outlives_the_end_of_accepting(self):
        """Accepting ends in one of the first event loop turns between reading the request and handling it."""
        loop = asyncio.get_running_loop()
        real = ClientConnection.data_received
        for turns in range(6):

            def leave(protocol, left):
                if left:
                    loop.call_soon(leave, protocol, left - 1)
                else:
                    protocol.close_when_idle()

            def received(protocol, data, leave=leave, turns=turns):
                real(protocol, data)
                loop.call_soon(leave, protocol, turns)

            worker = Worker("w0", respond_ok)
            with mock.patch.object(ClientConnection, "data_received", received):
                async with Edge([worker]) as edge:
                    client = await Client(edge.port).open()
                    await asyncio.sleep(0.02)
                    client.send("/p/1", request_id="r-1")
                    data = await read_all(client)
            self.assertThat(
                (final_statuses(data), request_ids(worker)),
                Equals(([(200, "r-1")], ["r-1"])),
                turns,
            )
