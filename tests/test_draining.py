"""An edge's process between SIGTERM and its end: every request that it has read gets a final answer.

The process runs here with its own drain, on real sockets, with scripted workers. Only a stream that was
taken up while clients couldn't know yet of the stop may be broken off, and then as late as possible.
"""

import asyncio
import json
from types import SimpleNamespace

import edge_api
from data_plane.drain_schedule import DrainSchedule
from data_plane.edge_process import EdgeProcess
from forward_fixture import PROFILES, ROUTE, Client, Edge, Worker, async_test, chunk, event, head
from ports import free_ports
from request_routing import Call, RequestLifecycle, RetryBudget
from runtime import Settings, boot_ms, set_up_logs
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

GRACE_MS = 3000
LOT_ROUTE = {**ROUTE, "match": {"host": "h", "prefix": "/lot/"}, "kind": "lot", "due_ms": 9000}
ITEM = {"serverId": "e5", "path": "/lot/x", "headers": {}, "body": "", "tokens": 1}


async def respond_for_a_time(worker, fields, writer):
    """Respond with an event each 50 ms for as long as the header Lasts-Ms says; never, if it says 0."""
    lasts_ms = int(fields["Lasts-Ms"])
    if not lasts_ms:
        await asyncio.sleep(30)
    worker.write_text(writer, head(fields))
    for number in range(1, lasts_ms // 50 + 1):
        await asyncio.sleep(0.05)
        worker.write_text(writer, chunk(event(number)))
    worker.write_text(writer, "0\r\n\r\n")


class Process:
    """An edge's process with one worker; `stop` does what a SIGTERM does."""

    async def __aenter__(self):
        set_up_logs("CRITICAL")
        link, http, self.port, readiness, worker_port = free_ports(5)
        self.worker = Worker("w0", respond_for_a_time)
        await self.worker.start(worker_port)
        settings = Settings(
            role="edge",
            link=f"127.0.0.1:{link}",
            http=f"127.0.0.1:{http}",
            zone="z",
            seeds=[f"127.0.0.1:{link}"],
            grace_ms=GRACE_MS,
            cut_off="serve",
        )
        config = SimpleNamespace(
            addresses={
                "clients": f"127.0.0.1:{self.port}",
                "readiness": f"127.0.0.1:{readiness}",
            }
        )
        self.process = EdgeProcess(settings)
        self.process.make_extra_services = lambda: edge_api.attach(self.process, config)
        await self.process.start()
        node = self.process.node
        node.forward_service._why_profiles_uncertain = lambda: ""
        profiles = {**PROFILES["profiles"], "lot": LOT_ROUTE}
        node.config_feed.publish("profiles", 1, json.dumps({**PROFILES, "profiles": profiles}))
        row = {
            "address": f"127.0.0.1:{worker_port}",
            "zone": "z",
            "label": "s",
            "slots": 1 << 10,
            "state": "serving",
            "seq": 1,
            "models": [],
        }
        node.config_feed.publish("workers", 1, json.dumps({"workers": {"w0": row}}))
        return self

    async def __aexit__(self, *_):
        self.worker.server.close()

    async def stop(self):
        self.stopped_ms = boot_ms()
        await self.process.drain()
        await self.process.stop()

    async def wait_until(self, at_ms):
        await asyncio.sleep(max(0, self.stopped_ms + at_ms - boot_ms()) / 1000)

    async def ask(
        self, at_ms, target, name, lasts_ms, deadline_ms, body=b"body", last_byte_at_ms=None
    ):
        """Send a request on an open connection at a time after the stop, its last byte later if that is given.

        Return its status, whether the answer is whole, and when it ended, or a status of 0 without an answer.
        """
        client = await Client(self.port).open()
        await self.wait_until(at_ms)
        extra = f"Lasts-Ms: {lasts_ms}\r\nDeadline-Ms: {deadline_ms}\r\n"
        if last_byte_at_ms is None:
            client.send(target, request_id=name, extra=extra, body=body)
        else:
            framing = f"Content-Length: {len(body)}\r\n"
            client.send(target, request_id=name, extra=extra, body=body[:-1], framing=framing)
            await self.wait_until(last_byte_at_ms)
            client.writer.write(body[-1:])
        status, whole = 0, False
        try:
            first = await client.reader.readuntil(b"\r\n\r\n")
            status = int(first.split()[1])
            rest = await client.read_to_end()
            whole = rest.endswith(b"0\r\n\r\n") if b"chunked" in first else True
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        return status, whole, boot_ms() - self.stopped_ms

    def ran(self):
        return {fields["Request-Id"] for _, fields, _, _ in self.worker.requests}


class Schedules(TestCase):
    def test_the_steps_of_a_drain_are_in_order_for_every_grace_time(self):
        for grace_ms in (500, 1000, 2000, 8000, 30_000, 600_000):
            drain = DrainSchedule(1000, grace_ms)
            times = [
                drain.take_all_until_ms, drain.accept_until_ms, drain.answer_by_ms, drain.end_ms,
                drain.end_ms + 2 * drain.poll_ms, 1000 + grace_ms,
            ]  # fmt: skip
            self.assertThat(times, Equals(sorted(set(times))), grace_ms)
            # A worker that is still at work in the last sixth excuses a request of the first 3 s.
            self.assertThat(drain.answer_by_ms - 1000, GreaterThan(grace_ms * 5 / 6))
            self.assertThat(drain.take_all_until_ms - 1000, LessThan(3000))

    def test_a_late_request_is_taken_only_if_its_deadline_is_before_the_end(self):
        drain = DrainSchedule(0, 8000)
        rows = [
            (0, 60_000, True),
            (2400, 9000, True),
            (2401, 7041, False),
            (3100, 8100, False),
            (3100, 7040, True),
            (6900, 7040, True),
            (7041, 7041, False),
        ]
        for now_ms, due_ms, taken in rows:
            self.assertThat(drain.takes(now_ms, due_ms), Equals(taken), (now_ms, due_ms))


class Deadlines(TestCase):
    # Guards against: a completion whose body arrived after the drain began is cut without an answer.
    @async_test
    async def test_a_live_request_that_starts_while_draining_has_its_deadline_in_the_drain(self):
        async with Edge([], grace_ms=2000) as edge:
            node = edge.node
            edge.start_draining()
            profile = node.profile_tree().get("safe")
            for call, is_limited in (
                (Call({"prompt": "x"}, "", "x", False, False), True),
                (Call({"prompt": "x"}, "", "x", True, False), False),
            ):
                now_ms = node.env.now()
                lifecycle = RequestLifecycle(
                    "tx", profile, "", now_ms, RetryBudget(), now_ms + 60_000, claimed=True
                )
                node.router.start(lifecycle, call, None, lambda step: None)
                limited = lifecycle.due_ms <= node.forward_service.drain.answer_by_ms
                self.assertThat(limited, Equals(is_limited), call.job)


class Stopping(TestCase):
    # Guards against: a draining edge takes up a stream that it cuts before the stream's deadline.
    @async_test
    async def test_what_was_read_after_sigterm_is_answered_whole_or_refused_unsent(self):
        async with Process() as edge:
            edge.stopped_ms = boot_ms() + 300
            lot = json.dumps({"requests": [ITEM]}).encode()
            asked = {
                "early": edge.ask(-200, "/s/1", "early", 2000, 2600),
                "at the stop": edge.ask(50, "/s/1", "at the stop", 1500, 15_000),
                "fits": edge.ask(1050, "/s/1", "fits", 500, 1200),
                "too late": edge.ask(1100, "/s/1", "too late", 1500, 1800),
                "too late, resumable": edge.ask(1100, "/r/1", "too late, resumable", 1500, 1800),
                "unanswered": edge.ask(-200, "/p/1", "unanswered", 0, 15_000),
                "unanswered, repeatable": edge.ask(50, "/i/1", "unanswered, repeatable", 0, 15_000),
                "slow body": edge.ask(-200, "/s/1", "slow body", 500, 15_000, last_byte_at_ms=1900),
                "slow lot": edge.ask(-200, "/lot/1", "slow lot", 0, 15_000, lot, 1900),
                "lot": edge.ask(-200, "/lot/1", "lot", 0, 15_000, lot),
                "late lot": edge.ask(1100, "/lot/1", "late lot", 0, 15_000, lot),
            }
            tasks = {name: asyncio.create_task(ask) for name, ask in asked.items()}
            await asyncio.sleep(0.3)
            await edge.stop()
            ended_ms = boot_ms() - edge.stopped_ms
            answers = {name: await task for name, task in tasks.items()}
            found = {name: (status, whole) for name, (status, whole, _) in answers.items()}
            self.assertThat(
                found,
                Equals(
                    {
                        "early": (200, True),
                        "at the stop": (200, True),
                        "fits": (200, True),
                        "too late": (503, True),
                        "too late, resumable": (503, True),
                        "unanswered": (504, True),
                        "unanswered, repeatable": (504, True),
                        "slow body": (503, True),
                        "slow lot": (503, True),
                        "lot": (503, True),
                        "late lot": (503, True),
                    }
                ),
            )
            refused = {"too late", "too late, resumable", "slow body"}
            self.assertThat(edge.ran() & refused, Equals(set()), "ran after a 503")
            for name, read_ms in (
                ("too late", 1100),
                ("too late, resumable", 1100),
                ("slow body", 1900),
            ):
                self.assertThat(answers[name][2], LessThan(read_ms + 400), "refused at once")
            self.assertThat(ended_ms, LessThan(GRACE_MS))
