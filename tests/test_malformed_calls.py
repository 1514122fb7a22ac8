"""Calls of clients and workers with values that no message between nodes can carry.

Each is refused when it arrives. A component that got such a value would fail when it encodes its message, at
once or at a later tick, and the process would end with it.
"""

import asyncio
import json
from types import SimpleNamespace

from control_api import _worker_report
from data_plane.forward_job_service import ForwardJobService
from data_plane.request_bodies import HeartbeatBody, LeaveBody, parse
from edge_api import PlatformRequestReader
from fake_requests import FakeRequest
from forward_fixture import Client, Edge, Worker, async_test, respond_ok
from job_api import JobApi
from live_calls import SETTINGS
from messaging import encode
from platform_calls import Platform, heartbeat_body
from prompt_headers import MAX_TOKENS, read_prompt_parts, read_token_counts
from request_routing import LeaderRequest
from test_invalid_configurations import VALUES, places, replaced
from test_job_api import ITEM, PROFILE
from testtools import TestCase
from testtools.matchers import Contains, Equals, LessThan

TEXTS = ("\ud800", "\udcff", "a\r\nb: c", "a\x00", "x" * 300)


class EncodingLeaderClient:
    """Encodes each request like a transport, and gives no response."""

    def request(self, message, wait_ms, done):
        encode(message)
        asyncio.get_running_loop().call_soon(done, None)
        return LeaderRequest(message, 0, wait_ms, 0, done)


def job_service():
    profile = SimpleNamespace(attempts=2, due_ms=9000, keep_ms=9000)
    tree = SimpleNamespace(usable=lambda path: profile)
    service = ForwardJobService(EncodingLeaderClient(), None, lambda: (1, tree))
    service.node = SimpleNamespace(
        env=SimpleNamespace(now=lambda: 0, log=lambda *args, **fields: None),
        settings=SETTINGS,
    )
    return service


class JobCalls(TestCase):
    def status(self, method, path, headers=None, query=None, body=b""):
        async def handle():
            rows = {"Host": "h", "Request-Id": "7c", **(headers or {})}
            request = FakeRequest(method, path, rows, query, body)
            return await JobApi(job_service())(request, PROFILE)

        return asyncio.run(handle()).status

    def test_a_wrong_value_at_any_place_of_a_submission_is_refused_or_can_be_sent_to_the_leader(
        self,
    ):
        sent = {"requests": [ITEM, {**ITEM, "serverId": "e6"}]}
        for at in places(sent):
            for wrong in (*VALUES, *TEXTS):
                body = json.dumps(replaced(sent, at, wrong)).encode()
                status = self.status("POST", "/p/7c", body=body)
                # 503: accepted here, and the leader gave no response
                self.assertThat((400, 503), Contains(status), (at, str(wrong)[:40]))

    def test_an_item_that_could_never_be_sent_to_a_worker_is_refused(self):
        items = [
            *({**ITEM, "serverId": text} for text in TEXTS),
            *({**ITEM, "path": f"/{text}"} for text in TEXTS[:4]),
            {**ITEM, "path": "x"},
            {**ITEM, "path": "/a b"},
            *({**ITEM, "headers": {"Model": text}} for text in TEXTS[:4]),
            {**ITEM, "headers": {"Mod el": "m"}},
            {**ITEM, "headers": {"Model:": "m"}},
            {**ITEM, "headers": {"": "m"}},
            {**ITEM, "tokens": 1 << 70},
            {**ITEM, "tokens": float("inf")},
            {**ITEM, "body": 3},
        ]
        for item in items:
            body = json.dumps({"requests": [item]}).encode()
            self.assertThat(self.status("POST", "/p/7c", body=body), Equals(400), str(item)[:200])
        deep = b'{"requests": ' + b"[" * 100_000
        self.assertThat(self.status("POST", "/p/7c", body=deep), Equals(400))

    def test_ids_positions_and_times_outside_their_bounds(self):
        lot = "/vaneledge/lots/"
        rows = [
            ("GET", f"{lot}x", {}, {"pageAfter": "99999999999999999999"}, 400),
            ("GET", f"{lot}x", {}, {"pageAfter": "1e300"}, 400),
            ("GET", f"{lot}x", {}, {"pageAfter": "-1"}, 503),
            ("GET", f"{lot}x", {"Wait-Ms": "1e300"}, {}, 503),
            ("GET", f"{lot}\udcff", {}, {}, 404),
            ("GET", f"{lot}{'x' * 300}", {}, {}, 404),
            ("DELETE", f"{lot}\udcff", {}, {}, 404),
            ("GET", "/vaneledge/items/\udcff", {}, {"serverId": "e5"}, 404),
            ("GET", "/vaneledge/items/x", {}, {"serverId": "\ud800"}, 404),
            ("POST", "/p/7c", {"Request-Id": "\udcff"}, {}, 400),
            ("POST", "/p/7c", {"Host": "h:\udcff"}, {}, 400),
            ("POST", "/p/7c", {"Deadline-Ms": "1e300"}, {}, 503),
        ]
        body = json.dumps({"requests": [ITEM]}).encode()
        for method, path, headers, query, status in rows:
            self.assertThat(
                self.status(method, path, headers, query, body),
                Equals(status),
                (method, ascii(path), headers, ascii(query)),
            )


class LiveCalls(TestCase):
    def test_token_counts_are_limited(self):
        many = "9" * 400
        self.assertThat(read_token_counts(f"{'9' * 18},{many}"), Equals((MAX_TOKENS, 0)))
        self.assertThat(
            read_prompt_parts(f"a:{many},b:{'9' * 18},c:²,d:5"),
            Equals([("b", MAX_TOKENS), ("d", 5)]),
        )

    @async_test
    async def test_a_head_that_is_not_utf_8_is_refused_and_the_next_request_is_served(self):
        async with Edge([Worker("w0", respond_ok)]) as edge:
            for target, request_id in ((b"/p/\xff", b"r-1"), (b"/p/1", b"r-\xff")):
                client = await Client(edge.port).open()
                client.writer.write(
                    b"POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n"
                    % (target, request_id)
                )
                answer = await asyncio.wait_for(client.read_response(), 5)
                self.assertThat(answer[0], Equals(400), target)
            many = f"Token-Counts: {'9' * 18},{'9' * 18}\r\nPrompt-Prefix: a:{'9' * 400},b:1\r\n"
            self.assertThat((await edge.request("/p/1", extra=many))[0], Equals(200))
            self.assertThat((await edge.request("/p/1"))[0], Equals(200))
            self.assertThat(len(edge.workers[0].requests), LessThan(3))

    def test_limits_of_any_type_can_be_read(self):
        for wrong in VALUES:
            PlatformRequestReader().limits({"limits": {"bodyBytes": wrong}})


class Heartbeats(TestCase):
    def test_a_wrong_value_at_any_place_is_refused_or_can_be_sent_to_the_owner(self):
        body = heartbeat_body()
        for at in places(body):
            for wrong in (*VALUES, *TEXTS):
                sent = replaced(body, at, wrong)
                report = _worker_report("i-1", sent) if isinstance(sent, dict) else None
                if report is not None:
                    encode(report)

    # Guards against: a worker's heartbeat with a lone surrogate ends the control process at a later tick.
    def test_a_heartbeat_that_no_message_can_carry_is_refused_and_the_list_goes_on(self):
        async def run():
            platform = Platform()
            path = "/vaneledge/servers/i-1"
            for wrong in ({"zone": "\ud800"}, {"address": "\ud800"}, {"models": [1]}):
                for name in ("control1", "control2"):
                    response = await platform.request(name, "PUT", path, heartbeat_body(**wrong))
                    self.assertThat(response[0], Equals(400), str(wrong))
            platform.run(3000)
            response = await platform.request("control1", "PUT", path, heartbeat_body())
            self.assertThat(response[0], Equals(200))
            platform.run(3000)
            for host in platform.fleet.with_role("control"):
                self.assertThat(list(host.node.worker_list.rows()), Equals(["i-1"]), host.name)

        asyncio.run(run())

    def test_numbers_of_our_own_interface_are_bounded(self):
        beat = {"identity": "w", "incarnation": 1, "address": "127.0.0.1:1", "beat": 1}
        for field in ("incarnation", "beat", "running", "waiting"):
            for wrong in (1 << 63, 10**400, -1):
                body = json.dumps({**beat, field: wrong}).encode()
                self.assertThat(parse(HeartbeatBody, body).is_error(), Equals(True), field)
        leave = json.dumps({"identity": "w", "incarnation": 1 << 63}).encode()
        self.assertThat(parse(LeaveBody, leave).is_error(), Equals(True))
