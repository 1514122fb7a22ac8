"""Seeded runs of the worker list: workers join, drain, end and crash while control nodes are killed, frozen,
cut off and lose their power or their disks. From 700 ms after its acknowledgement a drain is in force at every
edge, and at the end each edge lists as serving exactly the workers that serve, so that no ended identity returned.
"""

import asyncio
import random

from platform_calls import Platform, heartbeat_body
from testtools import TestCase
from testtools.matchers import Equals

_BEAT_MS, _STEP_MS = 1200, 100


class _Worker:
    def __init__(self, index, rng):
        self.name, self.address = f"w{index}", f"10.9.9.{index}:80"
        self.count, self.state, self.acked_ms = 0, "serving", None
        self.crash_ms = self.next_ms = 0
        self.home = rng.randrange(5)


class _Run:
    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.platform = Platform(seed=seed)
        self.fleet = self.platform.fleet
        self.workers = [_Worker(index, self.rng) for index in range(8)]
        self.calls: list = []
        self.target = None
        self.violations: list[str] = []

    def call(self, worker, now_ms):
        """Send a report of the worker; `collect_responses` selects the next node if no 200 comes within a second."""
        hosts = [host for host in self.fleet.with_role("control") if host.up and not host.frozen]
        host = hosts[worker.home % len(hosts)]
        worker.count += 1
        if worker.state == "gone":
            task = self.platform.start(host.name, "DELETE", f"/vaneledge/servers/{worker.name}")
        else:
            task = self.platform.start(
                host.name,
                "PUT",
                f"/vaneledge/servers/{worker.name}",
                heartbeat_body(address=worker.address, state=worker.state, callCount=worker.count),
            )
        self.calls.append((worker, worker.state, task, now_ms))

    def collect_responses(self, now_ms):
        for row in list(self.calls):
            worker, state, task, sent_ms = row
            status_code = task.result().status if task.done() else None
            if status_code == 200 and state != "serving" and worker.acked_ms is None:
                worker.acked_ms = now_ms
            if status_code is not None or now_ms - sent_ms > 1000:
                self.calls.remove(row)
                if status_code != 200 and worker.state != "crashed":
                    worker.home += 1
                    worker.next_ms = now_ms + _STEP_MS

    def report_if_due(self, worker, now_ms):
        if (
            worker.state != "crashed"
            and now_ms >= worker.next_ms
            and not any(row[0] is worker for row in self.calls)
        ):
            worker.next_ms = now_ms + _BEAT_MS
            if not (worker.state == "gone" and worker.acked_ms is not None):
                self.call(worker, now_ms)

    def inject_fault(self):
        hosts = self.fleet.with_role("control")
        if self.target is None:
            self.target = self.rng.choice(hosts)
            fault = self.rng.choice(("kill", "freeze", "cut", "power", "empty"))
            if fault == "cut":
                self.fleet.network.isolate(self.target.address)
            else:
                {
                    "kill": self.target.kill,
                    "freeze": self.target.freeze,
                    "power": self.target.lose_power,
                    "empty": self.target.lose_disk,
                }[fault]()
        else:
            host, self.target = self.target, None
            self.fleet.network.heal()
            if host.frozen:
                host.wake()
            elif not host.up:
                host.start()

    def check(self, now_ms):
        for host in self.fleet.with_role("edge"):
            rows = (host.node.config_feed.value("workers") or {"workers": {}})["workers"]
            for worker in self.workers:
                if (
                    worker.acked_ms is not None
                    and now_ms - worker.acked_ms > 700
                    and (rows.get(worker.name, {}).get("state") == "serving")
                ):
                    self.violations.append(
                        f"{worker.name} serving at {host.name} {now_ms - worker.acked_ms} ms after its drain"
                    )

    async def play(self):
        start_ms = self.fleet.time.now_ms
        for step in range(260):
            now_ms = self.fleet.time.now_ms
            if step % 25 == 10 and step < 150:
                self.inject_fault()
            if step % 20 == 15 and step < 160:
                worker = self.rng.choice(
                    [worker for worker in self.workers if worker.state == "serving"] or self.workers
                )
                worker.state = self.rng.choice(("draining", "draining", "gone", "crashed"))
                worker.next_ms = 0
            for worker in self.workers:
                if (
                    worker.state == "draining"
                    and worker.acked_ms is not None
                    and now_ms - worker.acked_ms > 2000
                ):
                    worker.state, worker.next_ms = "gone", 0
                self.report_if_due(worker, now_ms)
            self.platform.run(_STEP_MS)
            for _ in range(4):
                await asyncio.sleep(0)
            self.collect_responses(now_ms)
            self.check(now_ms)
        return start_ms

    def listed(self, host):
        return sorted(
            name
            for name, row in host.node.config_feed.value("workers")["workers"].items()
            if row["state"] == "serving"
        )


class WorkerListFaults(TestCase):
    def test_acknowledged_drains_hold_and_the_list_is_right_after_faults(self):
        async def run_seed(seed):
            run = _Run(seed)
            await run.play()
            self.assertThat(run.violations[:3], Equals([]), f"seed {seed}")
            wanted = sorted(worker.name for worker in run.workers if worker.state == "serving")
            for host in run.fleet.with_role("edge"):
                self.assertThat(run.listed(host), Equals(wanted), f"seed {seed}")
            unacknowledged = [
                worker.name
                for worker in run.workers
                if worker.state in ("draining", "gone") and worker.acked_ms is None
            ]
            self.assertThat(unacknowledged, Equals([]), f"seed {seed}")

        for seed in range(1, 4):
            asyncio.run(run_seed(seed))
