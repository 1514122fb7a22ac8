"""The oracle of the platform's days on hand-made histories, and the parts of the bench around it.

Covers reachability, the rules about stops, losses and ends of processes, the detection of starved
processes, and the load balancer. Rules about what happens on sockets are tested in
test_platform_bench.
"""

import os

from platform_oracle_table import CASES, SETTINGS, fault_span, history, start
from platform_testbed import processor_starvation as starvation_module
from platform_testbed.load_balancer import LoadBalancer
from platform_testbed.operators import apply_patch
from platform_testbed.oracle import PLATFORM_RULES, judge_day
from platform_testbed.processor_starvation import StarvationMonitor, starved_ms
from platform_testbed.reachability import Reachability
from platform_testbed.site import TIMING, Deployment, allowed_services
from simulator.history import History
from testtools import TestCase
from testtools.matchers import Equals

READ_WAITED_MS = starvation_module._read_waited_ms


class PlatformOracle(TestCase):
    def test_each_rule_judges_its_cases(self):
        for case, (rule, rows, judged, breaches) in enumerate(CASES):
            count, found_breaches = PLATFORM_RULES[rule](history(rows))
            self.assertThat(
                (case, rule, count, len(found_breaches)),
                Equals((case, rule, judged, breaches)),
                str(found_breaches),
            )

    def test_a_required_rule_without_rows_is_broken(self):
        for name in PLATFORM_RULES:
            self.assertThat(sorted(judge_day(history([]), [name])[1]), Equals([name]))

    def test_a_machine_is_out_of_contact_around_faults_of_its_own_and_of_the_core(self):
        reachability = Reachability(
            history(
                [
                    start(at_ms=0.0),
                    start("c", "core", 0.0),
                    fault_span(10_000.0, 11_000.0),
                    fault_span(30_000.0, 31_000.0, "c", "core"),
                    fault_span(50_000.0, 51_000.0, planned=True),
                ]
            )
        )
        for at_ms, same_machine, other_machine in (
            (2000, False, False),
            (4000, True, True),
            (10_500, False, True),
            (13_500, False, True),
            (14_500, True, True),
            (30_500, False, False),
            (33_500, False, False),
            (34_500, True, True),
            (50_500, False, True),
        ):
            self.assertThat(
                (at_ms, reachability.in_contact("e", at_ms), reachability.in_contact("f", at_ms)),
                Equals((at_ms, same_machine, other_machine)),
            )
        self.assertThat(
            (
                reachability.has_unplanned_fault(49_000, 52_000),
                reachability.has_unplanned_fault(9000, 10_500),
            ),
            Equals((False, True)),
        )


class Starvation(TestCase):
    def test_a_waiting_process_is_starved_and_all_are_while_the_runner_waits(self):
        recorded = History(timing=TIMING, first_event=1)
        monitor = StarvationMonitor(recorded)
        waited_by_pid = {}
        starvation_module._read_waited_ms = lambda pid: waited_by_pid.get(pid, 0.0)
        self.addCleanup(setattr, starvation_module, "_read_waited_ms", READ_WAITED_MS)
        machines = [
            type(
                "M",
                (),
                {
                    "name": name,
                    "machine_class": "edge",
                    "running": True,
                    "process": type("P", (), {"pid": pid})(),
                },
            )()
            for name, pid in (("e", -1), ("f", -2))
        ]
        for now_ms, waits in (
            (1000, {}),
            (1500, {-1: 90}),
            (2000, {-1: 290}),
            (2500, {-1: 300}),
            (3000, {os.getpid(): 150}),
            (3100, {}),
            (3600, {}),
        ):
            waited_by_pid.update(waits)
            monitor.sample(machines, now_ms)
        self.assertThat(
            [(row["node"], row["at_ms"], row["till_ms"]) for row in recorded.rows_of("trouble")],
            Equals([("e", 1500, 2500), ("e", 2500, 3600), ("f", 2500, 3600)]),
        )
        self.assertThat(starved_ms(recorded), Equals(2100))


class LoadBalancing(TestCase):
    def load_balancer(self, zones):
        class Fleet:
            machines = [
                type("M", (), {"name": f"{zone}{place}", "zone": zone, "removed": False})()
                for zone in zones
                for place in range(zones[zone])
            ]

            def current_machines(self, machine_class):
                return self.machines

        return LoadBalancer(Fleet(), History(), lambda: 0.0)

    def chosen(self, load_balancer, zone, count=40):
        return {load_balancer.choose(zone, f"client{number}").name for number in range(count)}

    def test_two_failed_checks_remove_an_edge_and_one_success_adds_it(self):
        load_balancer = self.load_balancer({"n": 2, "s": 1})
        load_balancer.record_check("n0", True)
        load_balancer.record_check("n0", False)
        self.assertThat(self.chosen(load_balancer, "n"), Equals({"n0", "n1"}))
        load_balancer.record_check("n0", False)
        self.assertThat(self.chosen(load_balancer, "n"), Equals({"n1"}))
        load_balancer.record_check("n0", True)
        self.assertThat(self.chosen(load_balancer, "n"), Equals({"n0", "n1"}))

    def test_all_edges_of_a_zone_are_used_if_few_are_ready_and_others_if_none_is(self):
        load_balancer = self.load_balancer({"n": 3, "s": 1})
        for name in ("n0", "n1"):
            load_balancer.record_check(name, False)
            load_balancer.record_check(name, False)
        self.assertThat(self.chosen(load_balancer, "n"), Equals({"n0", "n1", "n2"}))
        load_balancer.record_check("n2", False)
        load_balancer.record_check("n2", False)
        self.assertThat(self.chosen(load_balancer, "n"), Equals({"s0"}))

    def test_a_client_keeps_its_edge_and_later_attempts_reach_others(self):
        load_balancer = self.load_balancer({"n": 3})
        names = [load_balancer.choose("n", "c", attempt).name for attempt in (0, 0, 1, 2)]
        self.assertThat((names[0] == names[1], len(set(names))), Equals((True, 3)))


class Settings(TestCase):
    def test_a_patch_replaces_adds_and_removes_rows_by_name(self):
        patched = apply_patch(
            SETTINGS,
            {
                "revision": 7,
                "upsert": {
                    "routes": [
                        {"name": "b", "hostname": "h", "pathStart": "/n/", "backend": "t"},
                        {"name": "c", "hostname": "h", "pathStart": "/c/", "backend": "s"},
                    ]
                },
                "remove": {"routes": ["a"]},
            },
        )
        self.assertThat(
            (patched["revision"], [row["name"] for row in patched["routes"]]),
            Equals((7, ["b", "c"])),
        )
        self.assertThat(
            [allowed_services(patched, "h", path) for path in ("/a/b/", "/n/1", "/c/", "/")],
            Equals([None, {"t"}, {"s"}, None]),
        )
        self.assertThat(
            [allowed_services(SETTINGS, "h", path) for path in ("/a/x", "/a/b/x")],
            Equals([{"s"}, {"t"}]),
        )

    def test_equal_seeds_draw_equal_names_and_different_seeds_different_ones(self):
        rows = [
            (deployment.zones, deployment.services, deployment.routes, deployment.first_event)
            for deployment in (
                Deployment("small", 1),
                Deployment("small", 1),
                Deployment("small", 2),
            )
        ]
        self.assertThat((rows[0] == rows[1], rows[0] == rows[2]), Equals((True, False)))
