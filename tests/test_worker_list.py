"""The worker list: the changes that reports make to it, and its maintenance by the control nodes."""

import asyncio

from control_store import WorkerRecords, WorkerReport, apply_reports
from platform_calls import Platform, heartbeat_body
from testtools import TestCase
from testtools.matchers import Equals, HasLength


def report(identity="a", state="serving", seq=1, **values):
    return WorkerReport(
        **{
            "identity": identity,
            "address": f"10.1.0.{ord(identity[0])}:80",
            "zone": "north",
            "label": "service/s",
            "slots": 4,
            "state": state,
            "seq": seq,
            "models": "[]",
            **values,
        }
    )


def after(*reports):
    records = WorkerRecords()
    for one in reports:
        records, _ = apply_reports(records, [one])
    return {name: record.state for name, record in records.workers.items()}, in_order(records)


def in_order(records):
    """Return the identities that ended, in the order in which they ended."""
    return sorted(records.ended, key=records.ended.__getitem__)


class ReportedChanges(TestCase):
    def test_the_list_after_reports(self):
        drains, gone, silent = (
            report(state="draining", seq=5),
            report(state="gone", seq=0),
            report(state="silent", seq=1),
        )
        rows = [
            ("join", [report()], {"a": "serving"}, []),
            ("drain", [report(), drains], {"a": "draining"}, []),
            ("end", [report(), gone], {}, ["a"]),
            ("end after a drain", [report(), drains, gone], {}, ["a"]),
            (
                "a late heartbeat after a drain",
                [report(), drains, report(seq=4)],
                {"a": "draining"},
                [],
            ),
            ("a late heartbeat after the end", [report(), gone, report(seq=9)], {}, ["a"]),
            ("a late drain after the end", [report(), gone, drains], {}, ["a"]),
            ("an end that arrives first", [gone, report()], {}, ["a"]),
            ("a drain that arrives first", [drains, report()], {}, ["a"]),
            (
                "serving again by a newer heartbeat",
                [report(), drains, report(seq=6)],
                {"a": "serving"},
                [],
            ),
            ("silence", [report(), silent], {}, []),
            ("silence, then a heartbeat", [report(), silent, report(seq=7)], {"a": "serving"}, []),
            (
                "a silence report with an older sequence number",
                [report(seq=3), silent],
                {"a": "serving"},
                [],
            ),
            (
                "silence of a draining worker, then a late heartbeat",
                [report(), drains, report(state="silent", seq=5), report(seq=4)],
                {},
                ["a"],
            ),
            (
                "another identity at its address",
                [report(), report("b", address=report().address)],
                {"b": "serving"},
                ["a"],
            ),
            (
                "a late heartbeat of the previous identity",
                [report(), report("b", address=report().address), report(seq=9)],
                {"b": "serving"},
                ["a"],
            ),
            (
                "two identities at different addresses",
                [report(), report("b")],
                {"a": "serving", "b": "serving"},
                [],
            ),
        ]
        for name, reports, listed, ended in rows:
            self.assertThat(after(*reports), Equals((listed, ended)), name)

    def test_identities_that_reports_change(self):
        records, _ = apply_reports(WorkerRecords(), [report()])
        rows = [
            ([report()], []),
            ([report(seq=2)], []),
            ([report(state="silent", seq=0)], []),
            ([report(seq=2, slots=5)], ["a"]),
            ([report(seq=2, models='[{"name": "m"}]')], ["a"]),
            ([report(seq=2, zone="south")], ["a"]),
            ([report(seq=2, label="service/t")], ["a"]),
            ([report(seq=1, slots=5)], []),
            ([report("b"), report("c"), report("d")], ["b", "c", "d"]),
        ]
        for reports, wanted in rows:
            _, changed = apply_reports(records, reports)
            self.assertThat(changed, Equals(wanted))

    def test_the_number_of_remembered_ended_workers_is_limited(self):
        records = WorkerRecords()
        for index in range(600):
            records, _ = apply_reports(records, [report(f"w{index}", state="gone")])
        self.assertThat(in_order(records), Equals([f"w{index}" for index in range(344, 600)]))


class WorkerListRequests(TestCase):
    """Heartbeats, drains and ends of workers, sent to the control nodes of a simulated fleet."""

    def run_test(self, body, **sizes):
        async def run():
            await body(Platform(**sizes))

        asyncio.run(run())

    async def heartbeat(self, platform, host, name, wait_ms=2000, **values):
        return await platform.request(
            host, "PUT", f"/vaneledge/servers/{name}", heartbeat_body(**values), wait_ms=wait_ms
        )

    def listed(self, platform, host="edge1"):
        value = platform.fleet.hosts[host].node.config_feed.value("workers") or {"workers": {}}
        return {name: row["state"] for name, row in value["workers"].items()}

    def owner(self, platform):
        return next(
            host
            for host in platform.fleet.with_role("control")
            if host.up and host.node.worker_list._owns_list()
        )

    async def send_heartbeats(self, platform, names, for_ms, first_count):
        """Send heartbeats of the workers every 400 ms, all to the first control node that is up."""
        for index in range(for_ms // 400):
            host = next(host.name for host in platform.fleet.with_role("control") if host.up)
            for name in names:
                await self.heartbeat(
                    platform, host, name, address=f"10.9.9.{name}:80", callCount=first_count + index
                )
            platform.run(400)

    def test_workers_that_join_at_once_are_combined_into_few_changes(self):
        async def body(platform):
            for index in range(40):
                response = await self.heartbeat(
                    platform, f"control{index % 5 + 1}", f"w{index}", address=f"10.9.9.{index}:80"
                )
                self.assertThat(response, Equals((200, {}, 0.0)))
            platform.run(400)
            node = platform.fleet.hosts["edge1"].node
            self.assertThat(
                (len(self.listed(platform)), node.config_feed.version("workers") <= 2),
                Equals((40, True)),
            )
            before = node.config_feed.version("workers")
            for index in range(40):
                await self.heartbeat(
                    platform,
                    f"control{(index + 1) % 5 + 1}",
                    f"w{index}",
                    address=f"10.9.9.{index}:80",
                    callCount=2,
                )
            platform.run(1500)
            self.assertThat(node.config_feed.version("workers"), Equals(before))

        self.run_test(body)

    def test_a_drain_is_acknowledged_once_the_edges_have_it(self):
        async def body(platform):
            await self.heartbeat(platform, "control1", "w")
            platform.run(500)
            for count, host in ((5, "control2"), (6, "control3")):
                status, _, took_ms = await self.heartbeat(
                    platform, host, "w", state="draining", callCount=count
                )
                self.assertThat((status, took_ms < 300), Equals((200, True)), str(took_ms))
                for edge in ("edge1", "edge2"):
                    self.assertThat(self.listed(platform, edge), Equals({"w": "draining"}))
            self.assertThat(
                (await self.heartbeat(platform, "control4", "w", callCount=4))[0], Equals(200)
            )
            platform.run(1500)
            self.assertThat(self.listed(platform), Equals({"w": "draining"}))
            status, _, _ = await platform.request("control5", "DELETE", "/vaneledge/servers/w")
            self.assertThat(
                (status, self.listed(platform), self.listed(platform, "edge2")),
                Equals((200, {}, {})),
            )
            self.assertThat(
                (await self.heartbeat(platform, "control4", "w", callCount=9))[0], Equals(200)
            )
            platform.run(1500)
            self.assertThat(self.listed(platform), Equals({}))

        self.run_test(body)

    def test_a_drain_waits_a_limited_time_for_a_frozen_edge(self):
        async def body(platform):
            await self.heartbeat(platform, "control1", "w")
            platform.run(500)
            platform.fleet.hosts["edge1"].freeze()
            response = [
                await self.heartbeat(platform, "control2", "w", state="draining", callCount=count)
                for count in (5, 6)
            ]
            settings = platform.fleet.hosts["control1"].settings
            self.assertThat([row[0] for row in response][-1], Equals(200))
            self.assertThat(
                sum(row[2] for row in response) >= settings.edge_confirmation_timeout_ms,
                Equals(True),
                str(response),
            )
            self.assertThat(
                all(row[2] <= settings.control_call_timeout_ms + 50 for row in response),
                Equals(True),
                str(response),
            )

        self.run_test(body)

    def test_without_a_majority_nothing_is_acknowledged(self):
        async def body(platform):
            await self.heartbeat(platform, "control1", "w")
            platform.run(500)
            names = ("control1", "control2")
            isolated = [platform.fleet.hosts[name].address for name in names]
            platform.fleet.network.split(
                [
                    isolated,
                    [
                        host.address
                        for host in platform.fleet.hosts.values()
                        if host.address not in isolated
                    ],
                ]
            )
            response = await self.heartbeat(
                platform, "control1", "w", state="draining", callCount=5
            )
            self.assertThat((response[0], response[2] <= 750), Equals((503, True)), str(response))
            platform.run(1500)
            for state in ("draining", "serving"):
                response = await self.heartbeat(platform, "control1", "w", state=state, callCount=6)
                self.assertThat((response[0], response[2]), Equals((503, 0.0)))
            response = await self.heartbeat(
                platform, "control3", "w", state="draining", callCount=7
            )
            self.assertThat(response[0], Equals(200), str(response))

        self.run_test(body)

    def test_silence_removes_a_worker_and_a_heartbeat_restores_it(self):
        async def body(platform):
            silent_ms = platform.fleet.hosts["control1"].settings.worker_removal_timeout_ms
            for name in ("1", "2"):
                await self.heartbeat(platform, "control1", name, address=f"10.9.9.{name}:80")
            platform.run(silent_ms)
            await self.heartbeat(platform, "control2", "1", address="10.9.9.1:80", callCount=2)
            platform.run(2000)
            self.assertThat(self.listed(platform), Equals({"1": "serving"}))
            await self.heartbeat(platform, "control3", "2", address="10.9.9.2:80", callCount=3)
            platform.run(500)
            self.assertThat(self.listed(platform), Equals({"1": "serving", "2": "serving"}))

        self.run_test(body)

    def test_a_worker_that_reports_to_one_node_stays_listed_under_a_new_owner(self):
        async def body(platform):
            await self.send_heartbeats(platform, ("1", "2"), 2000, 1)
            owner = self.owner(platform)
            owner.kill()
            platform.run(1200)
            await self.send_heartbeats(platform, ("1", "2"), 8000, 100)
            self.assertThat(self.listed(platform), Equals({"1": "serving", "2": "serving"}))
            self.assertThat(self.owner(platform) is owner, Equals(False))
            await self.send_heartbeats(platform, ("1",), 9000, 200)
            self.assertThat(self.listed(platform), Equals({"1": "serving"}))

        self.run_test(body)

    def test_a_node_cut_off_from_the_owner_refuses_heartbeats(self):
        async def body(platform):
            owner = self.owner(platform)
            other = next(host for host in platform.fleet.with_role("control") if host is not owner)
            platform.fleet.network.isolate(other.address)
            platform.run(2500)
            self.assertThat((await self.heartbeat(platform, other.name, "w"))[0], Equals(503))
            platform.fleet.network.heal()
            platform.run(2500)
            self.assertThat(
                (await self.heartbeat(platform, other.name, "w", callCount=2))[0], Equals(200)
            )

        self.run_test(body)

    def test_the_list_survives_a_restart_of_all_hosts(self):
        async def body(platform):
            for name in ("1", "2"):
                await self.heartbeat(platform, "control1", name, address=f"10.9.9.{name}:80")
            platform.run(500)
            hosts = list(platform.fleet.hosts.values())
            for host in hosts:
                host.kill()
            platform.run(500)
            for host in hosts:
                host.start()
            self.assertThat(
                platform.fleet.run_until_true(
                    lambda: self.listed(platform) == {"1": "serving", "2": "serving"}, 3000
                ),
                Equals(True),
            )

        self.run_test(body)

    def test_invalid_heartbeats_are_rejected(self):
        async def body(platform):
            rows = [
                b"",
                b"{",
                b"[]",
                {},
                heartbeat_body(backend=3),
                heartbeat_body(backend=""),
                heartbeat_body(address=None),
                heartbeat_body(zone=3),
                heartbeat_body(state="odd"),
                heartbeat_body(capacity="x"),
                heartbeat_body(callCount=-1),
                heartbeat_body(callCount=None),
                heartbeat_body(models={}),
                heartbeat_body(address="x" * 300),
            ]
            for sent in rows:
                response = await platform.request("control1", "PUT", "/vaneledge/servers/w", sent)
                self.assertThat(response[0], Equals(400), str(sent)[:100])
            platform.run(400)
            self.assertThat(self.listed(platform), HasLength(0))

        self.run_test(body)
