"""Clients that don't behave, against the platform's programs as real processes.

Each test lets a small crowd loose on one process. The process has to live, its peak memory with what
its sockets hold unread has to stay within its machine's memory, and an ordinary request has to be
answered, while the crowd stays and afterwards. The crowds and the bounds are those of the settings
in `crowd_site`; nothing depends on the machine's speed. They run alone (`.ci/run`).
"""

import asyncio
import itertools
import json
from functools import partial

from crowd_site import (
    BODY_BYTES,
    HEADER_BYTES,
    ITEM_ID,
    MEMORY_MB,
    MIB,
    OPEN_FILES,
    ORDER_BYTES,
    CrowdClient,
    CrowdSite,
    call,
    head_bytes,
    lot_bytes,
    peak_mb,
)
from testtools import TestCase
from testtools.matchers import Contains, Equals, LessThan

SHORT_BYTES = 100
PIECE = b"x" * 32_768
SETTINGS = "/vaneledge/settings"
JSON_TYPE = {"Content-Type": "application/json"}


def sized(method, target, size, headers=None):
    """Return the pieces of a request with a length of `size` bytes, 100 bytes short of its end."""
    head = head_bytes(
        method, target, {"Request-Id": "c", **(headers or {}), "Content-Length": size}
    )
    return [head, *_pieces(size - SHORT_BYTES)]


def _pieces(size):
    return [PIECE[: min(len(PIECE), size - sent)] for sent in range(0, size, len(PIECE))]


def chunked(method, target, size, chunk):
    """Return the pieces of a request in chunks, with its last chunk missing."""
    head = head_bytes(method, target, {"Request-Id": "c", "Transfer-Encoding": "chunked"})
    row = b"%x\r\n%s\r\n" % (chunk, b"x" * chunk)
    rows_per_piece = max(1, len(PIECE) // len(row))
    pieces = size // chunk // rows_per_piece
    return [head, *itertools.repeat(row * rows_per_piece, pieces)]


def whole(method, target, body, headers=None):
    """Return the pieces of a whole request."""
    head = head_bytes(
        method, target, {"Request-Id": "c", **(headers or {}), "Content-Length": len(body)}
    )
    return [head, body]


def unfinished_head(target, lines):
    """Return the pieces of a head of `lines` lines that are each below the limit, without its end."""
    head = head_bytes("POST", target, {"Request-Id": "c"})[:-2]
    return [head, *(b"X-Line-%d: %s\r\n" % (line, b"x" * 7900) for line in range(lines))]


def objects(size):
    """Return a JSON text of `size` bytes whose parsed form takes far more memory."""
    return b'{"requests":[' + b"{}," * (size // 3 - 8) + b"{}]}"


def heartbeat(number):
    """Return the body of a heartbeat of a worker that nobody knows, with a long list of models."""
    models = [{"name": f"m-{model}", "revision": 1, "adapters": []} for model in range(300)]
    body = {
        "backend": "counter",
        "address": f"127.0.0.1:{10_000 + number}",
        "zone": "nowhere",
        "capacity": 1,
        "state": "serving",
        "models": models,
        "callCount": 1,
    }
    return json.dumps(body).encode()


class Crowds(TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.site = CrowdSite()

    @classmethod
    def tearDownClass(cls):
        cls.site.close()
        super().tearDownClass()

    def assert_borne(self, result):
        print(f"{self.id()}: {result.peak_mb:.0f} MB, {result.descriptors} descriptors")
        self.assertThat(result.alive, Equals(True), "the process ended")
        self.assertThat(result.served, Equals(True), "nothing is served while the crowd stays")
        self.assertThat(result.served_afterwards, Equals(True), "nothing is served afterwards")
        self.assertThat(result.peak_mb, LessThan(MEMORY_MB))
        self.assertThat(result.descriptors, LessThan(OPEN_FILES))

    def play(self, machine, address, pieces, count, abreast=0, path=""):
        """Let a crowd loose on a machine; `abreast` of its clients wait for answers at a time.

        The ordinary request is a live call, or a GET of `path` at the crowd's address.
        """
        self.site.fresh(machine, address)
        turn = asyncio.Semaphore(abreast) if abreast else None
        clients = [CrowdClient(address, pieces, turn) for _ in range(count)]
        ordinary = partial(self.site.answered, address, path) if path else self.site.ordinary
        self.assert_borne(self.site.run(self.site.crowd(machine, clients, ordinary)))

    def test_bodies_with_a_length_that_stop_short_of_their_end(self):
        pieces = sized("POST", "/plain/1", BODY_BYTES)
        self.play(self.site.edge, self.site.clients, pieces, 150)

    def test_bodies_in_chunks_that_stop_short_of_their_end(self):
        pieces = chunked("POST", "/plain/1", BODY_BYTES - MIB // 8, len(PIECE))
        self.play(self.site.edge, self.site.clients, pieces, 150)

    def test_bodies_of_requests_that_are_refused_anyway(self):
        pieces = sized("POST", "/no-route/1", BODY_BYTES)
        self.play(self.site.edge, self.site.clients, pieces, 150)

    def test_whole_bodies_at_once_three_times_in_a_row(self):
        pieces = whole("POST", "/plain/1", b"x" * BODY_BYTES)
        self.site.fresh(self.site.edge, self.site.clients)
        for _ in range(3):
            clients = [CrowdClient(self.site.clients, pieces) for _ in range(150)]
            crowd = self.site.crowd(self.site.edge, clients, self.site.ordinary)
            self.assert_borne(self.site.run(crowd))

    def test_bodies_in_very_small_chunks(self):
        pieces = chunked("POST", "/plain/1", 400_000, 1)
        self.play(self.site.edge, self.site.clients, pieces, 60)

    def test_lots_that_stop_short_of_their_end(self):
        body = lot_bytes(BODY_BYTES * 3 // 4 - 1000)
        pieces = whole("POST", "/bulk/1", body, JSON_TYPE)
        pieces[1] = pieces[1][:-50]
        self.play(self.site.edge, self.site.clients, pieces, 150)

    def test_lots_that_stay_open(self):
        """The stores keep the requests of open lots; a crowd's must not fill their memory."""
        self.play_lots("stays", cancelled=False)

    def test_lots_that_are_cancelled_at_once(self):
        """The stores keep the records of the log for their peers, also those of lots that are over."""
        self.play_lots("goes", cancelled=True)

    def play_lots(self, name, cancelled):
        machines = self.site.machines.current_machines("storage")
        for machine in machines:
            self.site.fresh(machine, self.site.own_http(machine))
        body = lot_bytes(BODY_BYTES * 3 // 4 - 1000)

        async def cancel(job_id):
            await call(self.site.clients, "DELETE", f"/vaneledge/lots/{job_id}", {}, b"")

        async def submit(lane):
            for number in range(30):
                job_id = f"{name}-{lane}-{number}"
                headers = {"Request-Id": job_id, **JSON_TYPE}
                await call(self.site.clients, "POST", "/bulk/1", headers, body)
                if cancelled:
                    await cancel(job_id)

        async def crowd():
            await asyncio.gather(*[submit(lane) for lane in range(4)])
            served = await self.site.ordinary()
            for lane, number in itertools.product(range(4), range(30)):
                await cancel(f"{name}-{lane}-{number}")
            return served

        self.assertThat(self.site.run(crowd()), Equals(True))
        for machine in machines:
            self.assertThat(machine.running, Equals(True))
            print(f"{self.id()}: {peak_mb(machine.process.pid):.0f} MB")
            self.assertThat(peak_mb(machine.process.pid), LessThan(MEMORY_MB))

    def test_whole_lots_whose_parsed_form_is_large(self):
        pieces = whole("POST", "/bulk/1", objects(BODY_BYTES), JSON_TYPE)
        self.play(self.site.edge, self.site.clients, pieces, 60)

    def test_item_bodies_that_are_not_read(self):
        size = BODY_BYTES * 3 // 4 - 1000
        job_id = "unread"
        self.assertThat(self.site.run(self.site.submit(size, job_id)), Equals(True))
        target = f"/vaneledge/items/{job_id}?serverId={ITEM_ID}"
        self.play(self.site.edge, self.site.clients, whole("GET", target, b""), 300, abreast=8)

    def test_pipelines_of_whole_bodies(self):
        pieces = whole("POST", "/plain/1", b"x" * BODY_BYTES) * 8
        self.play(self.site.edge, self.site.clients, pieces, 60)

    def test_heads_of_many_lines_that_stop_short_of_their_end(self):
        pieces = unfinished_head("/plain/1", 60)
        self.play(self.site.edge, self.site.clients, pieces, 300)

    def test_bodies_at_the_own_interface_of_an_edge(self):
        pieces = sized("POST", "/v1/completions", 4 * MIB, JSON_TYPE)
        self.play(self.site.edge, self.site.own_http(self.site.edge), pieces, 40, path="/status")

    def test_heads_at_the_own_interface_of_a_store(self):
        pieces = unfinished_head("/status", 60)
        self.play(self.site.store, self.site.own_http(self.site.store), pieces, 300, path="/status")

    def test_orders_that_stop_short_of_their_end(self):
        pieces = sized("PUT", SETTINGS, ORDER_BYTES, {"If-Match": "7"})
        self.play(self.site.control, self.site.orders, pieces, 8, path=SETTINGS)

    def test_whole_orders_whose_parsed_form_is_large(self):
        body = objects(ORDER_BYTES)
        pieces = whole("PUT", SETTINGS, body, {"If-Match": "7"})
        self.play(self.site.control, self.site.orders, pieces, 2, path=SETTINGS)

    def test_heartbeats_of_many_unknown_workers(self):
        """Strangers' names must not fill the memory of the control nodes, nor of those who follow."""
        machines = [*self.site.machines.current_machines("core"), self.site.edge]
        for machine in machines:
            port = "publicHttp" if machine is self.site.edge else "control"
            self.site.fresh(machine, machine.addresses[port])

        async def report(first):
            for number in range(first, first + 50):
                target = f"/vaneledge/servers/stranger-{number}"
                await call(self.site.orders, "PUT", target, JSON_TYPE, heartbeat(number))

        async def crowd():
            await asyncio.gather(*[report(first) for first in range(0, 2000, 50)])
            return await self.site.ordinary()

        self.assertThat(self.site.run(crowd()), Equals(True))
        for machine in machines:
            self.assertThat(machine.running, Equals(True))
            print(f"{self.id()}: {peak_mb(machine.process.pid):.0f} MB")
            self.assertThat(peak_mb(machine.process.pid), LessThan(MEMORY_MB))

    def test_heads_at_the_control_address(self):
        pieces = unfinished_head(SETTINGS, 60)
        self.play(self.site.control, self.site.orders, pieces, 300, path=SETTINGS)

    def test_idle_connections_up_to_the_limit_of_descriptors(self):
        self.play(self.site.edge, self.site.clients, [], OPEN_FILES)

    def test_heads_that_never_end_are_closed(self):
        """A head that isn't whole within `headerWaitMs` frees its connection."""
        self.site.fresh(self.site.edge, self.site.clients)

        async def closed():
            client = CrowdClient(self.site.clients, [b"POST /plain/1 HTTP/1.1\r\nHost: x\r\nX: "])
            await client.send()
            try:
                for _ in range(60):
                    client.writer.write(b"x")
                    await client.writer.drain()
                    await asyncio.sleep(0.5)
            except OSError:
                return True
            finally:
                client.leave()
            return False

        self.assertThat(self.site.run(closed()), Equals(True))

    def test_the_largest_requests_are_served_in_calm(self):
        self.site.fresh(self.site.edge, self.site.clients)
        self.assertThat(self.site.run(self.site.ordinary(BODY_BYTES)), Equals(True))
        size = BODY_BYTES * 3 // 4 - 1000
        self.assertThat(self.site.run(self.site.submit(size)), Equals(True))

    def test_a_body_in_very_small_chunks_is_served_in_calm(self):
        size = 20_000
        body = b"".join(itertools.repeat(b"1\r\nx\r\n", size)) + b"0\r\n\r\n"

        async def answer():
            headers = {"Request-Id": "small", "Transfer-Encoding": "chunked", "Connection": "close"}
            host, _, port = self.site.clients.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head_bytes("POST", "/plain/1", headers) + body)
            try:
                return await reader.read()
            finally:
                writer.close()

        self.assertThat(self.site.run(answer()).endswith(b'{"bytes": 20000}'), Equals(True))

    def test_the_memory_of_requests_is_shown_to_operators(self):
        for machine in (self.site.edge, self.site.store, self.site.control):
            address = self.site.own_http(machine)
            _, status = self.site.run(call(address, "GET", "/status", {}, b""))
            self.assertThat(json.loads(status)["request_memory"]["limit_bytes"], Equals(30 * MIB))
            _, metrics = self.site.run(call(address, "GET", "/metrics", {}, b""))
            self.assertThat(metrics.decode(), Contains("vaneledge_request_memory_refused_total"))

    def test_a_head_of_the_largest_size_is_served(self):
        async def status():
            headers = {"Request-Id": "large", "Deadline-Ms": "6000"}
            size = HEADER_BYTES - len(head_bytes("POST", "/plain/1", headers)) - 200
            headers["X-Long"] = "x" * size
            answer, _ = await call(self.site.clients, "POST", "/plain/1", headers, b"x")
            return answer

        self.assertThat(self.site.run(status()), Equals(200))

    def test_an_order_of_a_thousand_routes_is_taken_in_calm(self):
        current = json.loads(self.site.run(self.settings()))["revision"]
        self.assertThat(self.site.run(self.site.order(current, current + 2, 1000)), Equals(True))
        self.assertThat(self.site.run(self.site.order(current + 2, current + 4)), Equals(True))

    async def settings(self):
        _, body = await call(self.site.orders, "GET", SETTINGS, {}, b"")
        return body
