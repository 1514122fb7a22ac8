"""Completions and batch jobs on real processes, with a killed leader and clients that disconnect.

The tests wait for conditions, never for a fixed time.
"""

import asyncio
import json
import signal
import tempfile

from profile_tree import TREE
from testbed.fleet import SHAPES, Fleet, wait_until
from testtools import TestCase
from testtools.matchers import Equals


class SmokeTest(TestCase):
    def run_fleet(self, body, base_port):
        async def run():
            with tempfile.TemporaryDirectory() as folder:
                async with Fleet(folder, SHAPES["thin"], base_port) as fleet:
                    await fleet.bootstrap(TREE)
                    await fleet.wait_for_workers(2)
                    await body(fleet)

        asyncio.run(run())

    async def wait_until_done(self, fleet, edge, job_id):
        """Wait until the job is done, and check that each of its items ran and has one result."""

        async def done():
            status, body = await fleet.request("GET", edge, f"/lots/{job_id}")
            return status == 200 and body["state"] == "done"

        await wait_until(done, 30000, f"{job_id} is done")
        status, body = await fleet.request("GET", edge, f"/lots/{job_id}/results?from=0")
        self.assertThat(
            [row["index"] for row in body["results"]], Equals(list(range(body["total"])))
        )
        self.assertThat({row["verdict"] for row in body["results"]}, Equals({"ran"}))

    async def begin_and_disconnect(self, edge, call, key=""):
        """Request a stream on a connection of its own, and close it at the fourth event (id 3)."""
        host, _, port = edge.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        data = json.dumps(call).encode()
        head = f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n"
        writer.write(
            head.encode()
            + (f"Idempotency-Key: {key}\r\n".encode() if key else b"")
            + b"\r\n"
            + data
        )
        await reader.readuntil(b"id: 3")
        writer.close()

    def test_a_client_that_disconnects(self):
        """A request that is safe to repeat is stopped, and not counted as the worker's failure.

        An unsafe one runs to its end, and a later request with its key gets the result.
        """

        async def body(fleet):
            edge = fleet.with_role("edge")[0].http
            call = {"model": "rulings", "prompt": "long", "stream": True, "max_tokens": 512}
            await self.begin_and_disconnect(edge, call)
            move = {**call, "model": "moves", "prompt": "long move"}
            await self.begin_and_disconnect(edge, move, "left")

            async def disconnect_counted():
                _, text = await fleet.request("GET", edge, "/metrics")
                return (
                    "vaneledge_edge_steps_gone_total 1.0" in text
                    and "vaneledge_edge_steps_finish_total 1.0" in text
                )

            await wait_until(
                disconnect_counted, 8000, "the safe request is stopped, the unsafe one ends"
            )
            _, text = await fleet.request("GET", edge, "/metrics")
            self.assertThat("sends_failed" in text or "steps_cut" in text, Equals(False))
            status, again = await fleet.request(
                "POST",
                fleet.with_role("edge")[1].http,
                "/v1/completions",
                move,
                {"Idempotency-Key": "left"},
            )
            self.assertThat((status, again.count("id: ")), Equals((200, 512)))
            runs = []
            for worker in fleet.workers.values():
                _, shown = await fleet.get(worker, "/runs")
                runs += [(run["path"], run["ended"]) for run in shown["runs"]]
            self.assertThat(sorted(runs), Equals([("moves", True), ("rulings", False)]))

        self.run_fleet(body, 22600)

    def test_completions_jobs_and_a_killed_leader(self):
        async def body(fleet):
            first, second = [member.http for member in fleet.with_role("edge")]
            status, text = await fleet.request(
                "POST",
                first,
                "/v1/completions",
                {"model": "rulings", "prompt": "a", "stream": True},
            )
            self.assertThat(
                (status, text.count("id: "), text.endswith("data: [DONE]\n\n")),
                Equals((200, 12, True)),
            )
            move = {"model": "moves", "prompt": "knight"}
            answers = [
                await fleet.request("POST", edge, "/v1/completions", move, {"Idempotency-Key": "k"})
                for edge in (first, second)
            ]
            self.assertThat(answers[0], Equals(answers[1]))
            job = {
                "path": "summaries",
                "items": [{"prompt": f"item {index}"} for index in range(80)],
            }
            status, _ = await fleet.request("PUT", first, "/lots/one", job)
            self.assertThat(status, Equals(201))
            leader = None
            for member in fleet.with_role("store"):
                _, shown = await fleet.get(member, "/status")
                if shown["log_role"] == "serving":
                    leader = member
            leader.kill()
            await self.wait_until_done(fleet, second, "one")

            async def accepted():
                status, _ = await fleet.request(
                    "PUT", second, "/lots/two", {**job, "items": job["items"][:5]}
                )
                return status in (200, 201)

            await wait_until(accepted, 12000, "jobs are accepted again")
            await self.wait_until_done(fleet, first, "two")
            runs = []
            for worker in fleet.workers.values():
                _, shown = await fleet.get(worker, "/runs")
                runs += [run for run in shown["runs"] if run["path"] == "moves"]
            self.assertThat(len(runs), Equals(1))
            for member in fleet.members.values():
                member.signal(signal.SIGTERM)
            for member in fleet.members.values():
                if member is not leader:
                    self.assertThat(member.process.wait(10), Equals(0))

        self.run_fleet(body, 22000)
