"""The platform's calls for operators, on a simulated fleet.

Two changes based on the same revision must never both be acknowledged, whatever nodes crash, freeze or are
cut off meanwhile. An acknowledged change is in force on the live edges, and survives the loss of power
on all machines. A retired store leaves the log, and stays retired when it returns with an empty disk.
"""

import asyncio
import random
from functools import partial

from platform_calls import ROUTE, SETTINGS, Platform
from testtools import TestCase
from testtools.matchers import Equals, HasLength


def revised(revision, **more):
    return {**SETTINGS, "revision": revision, **more}


class Operator(TestCase):
    def run_test(self, body, **sizes):
        async def run():
            await body(Platform(**sizes))

        asyncio.run(run())

    def edges_have(self, platform, revision):
        return all(
            host.node.profile_tree().about.get("revision") == revision
            for host in platform.fleet.with_role("edge")
        )

    def test_every_call_and_its_response(self):
        """The rows are (method, base revision, body, status); each follows on the state of those before."""
        patch = {"revision": 12, "upsert": {"routes": [{**ROUTE, "tries": 9}]}}
        rows = [
            ("GET", None, None, 404),
            ("PUT", "1", revised(3), 412),
            ("PUT", None, revised(3), 400),
            ("PUT", "x", revised(3), 400),
            ("PUT", "-1", revised(3), 400),
            ("PUT", "9" * 40, revised(3), 400),
            ("PUT", "0", b"{", 400),
            ("PUT", "0", revised(0), 400),
            ("PATCH", "3", patch, 412),
            ("PUT", "0", revised(3), 200),
            ("GET", None, None, 200),
            ("PUT", "0", revised(3), 200),
            ("PUT", "0", revised(4), 412),
            ("PUT", "3", revised(3), 400),
            ("PUT", "3", revised(2), 400),
            ("PUT", "4", revised(9), 412),
            ("PUT", '"3"', revised(7), 200),
            ("PUT", "3", revised(7), 200),
            ("PUT", "0", revised(3), 200),
            ("PATCH", "7", patch, 200),
            ("PATCH", "7", patch, 200),
            ("PATCH", "7", {**patch, "revision": 13}, 412),
            ("PATCH", "12", {"revision": 13, "remove": {"backends": ["jo"]}}, 400),
            ("PATCH", "12", {"upsert": {}}, 400),
            ("PATCH", "12", {"revision": 12}, 400),
            ("PATCH", "12", {"revision": 15}, 200),
            ("PUT", "3", revised(7), 200),
            ("DELETE", None, None, 405),
        ]

        async def body(platform):
            for index, (method, base, sent, status) in enumerate(rows):
                headers = None if base is None else {"If-Match": base}
                response = await platform.request(
                    f"control{index % 5 + 1}", method, "/vaneledge/settings", sent, headers
                )
                self.assertThat(
                    (response[0], response[2] <= 700),
                    Equals((status, True)),
                    str((method, base, str(sent)[:80], response)),
                )
            wanted = revised(15, routes=[{**ROUTE, "tries": 9}, SETTINGS["routes"][1]])
            for host in platform.fleet.with_role("control"):
                self.assertThat(
                    (await platform.get_configuration(host.name))[:2], Equals((200, wanted))
                )
            self.assertThat(
                (await platform.request("control1", "GET", "/vaneledge/other"))[0], Equals(404)
            )

        self.run_test(body)

    def test_a_change_is_acknowledged_once_the_edges_have_it(self):
        async def body(platform):
            for base, revision in ((0, 3), (3, 8), (8, 9)):
                response = await platform.put("control2", base, revised(revision))
                self.assertThat(
                    (response[0], self.edges_have(platform, revision)), Equals((200, True))
                )

        self.run_test(body)

    def test_of_two_changes_with_one_base_revision_only_one_ever_takes_effect(self):
        async def body(platform):
            rng = random.Random(5)
            base = 0
            for round_number in range(12):
                names = rng.sample(["control1", "control2", "control3", "control4", "control5"], 2)
                sent = [
                    revised(base + 2 + index, note=f"{round_number}-{index}") for index in range(2)
                ]
                tasks = [
                    platform.start(
                        name, "PUT", "/vaneledge/settings", settings, {"If-Match": str(base)}
                    )
                    for name, settings in zip(names, sent, strict=True)
                ]
                responses = await platform.finish(*tasks)
                self.assertThat(
                    sorted(row[0] for row in responses), Equals([200, 412]), str(responses)
                )
                won = [row[0] for row in responses].index(200)
                retries = [
                    await platform.put(rng.choice(names), base, settings) for settings in sent
                ]
                self.assertThat([row[0] for row in retries], Equals([row[0] for row in responses]))
                self.assertThat((await platform.get_configuration(names[0]))[1], Equals(sent[won]))
                base = sent[won]["revision"]

        self.run_test(body)

    def test_concurrent_changes_under_faults_are_never_both_acknowledged(self):
        """Control nodes are killed, frozen or cut off while two callers each retry until the result is known."""

        async def race(seed):
            platform = Platform(seed=seed)
            rng = random.Random(seed)
            base, hosts = 0, platform.fleet.with_role("control")
            for round_number in range(3):
                sent = [
                    revised(base + 3 + index, note=f"{round_number}-{index}") for index in range(2)
                ]
                known: dict[int, int] = {}
                faulty = rng.choice(hosts)
                for attempt in range(14):
                    open_calls = [index for index in range(2) if index not in known]
                    tasks = [
                        platform.start(
                            rng.choice(
                                [host for host in hosts if host.up and not host.frozen]
                            ).name,
                            "PUT",
                            "/vaneledge/settings",
                            sent[index],
                            {"If-Match": str(base)},
                        )
                        for index in open_calls
                    ]
                    if attempt == 0:
                        platform.run(rng.randrange(30))
                        fault = rng.choice(("kill", "freeze", "cut"))
                        {
                            "kill": faulty.kill,
                            "freeze": faulty.freeze,
                            "cut": partial(platform.fleet.network.isolate, faulty.address),
                        }[fault]()
                    for index, response in zip(
                        open_calls, await platform.finish(*tasks, wait_ms=1000), strict=True
                    ):
                        if response is not None and response[0] != 503:
                            known[index] = response[0]
                    if attempt == 5:
                        platform.fleet.network.heal()
                        faulty.wake() if faulty.frozen else None if faulty.up else faulty.start()
                    platform.run(300)
                self.assertThat(sorted(known.values()), Equals([200, 412]), f"seed {seed}: {known}")
                won = next(index for index, status in known.items() if status == 200)
                platform.run(1500)
                for host in hosts:
                    self.assertThat(
                        (await platform.get_configuration(host.name))[:2],
                        Equals((200, sent[won])),
                        f"seed {seed}",
                    )
                base = sent[won]["revision"]

        for seed in range(1, 5):
            asyncio.run(race(seed))

    def test_a_minority_refuses_calls_and_its_changes_never_take_effect(self):
        async def body(platform):
            self.assertThat((await platform.put("control1", 0, revised(3)))[0], Equals(200))
            minority = [platform.fleet.hosts[name].address for name in ("control1", "control2")]
            platform.fleet.network.split(
                [
                    minority,
                    [
                        host.address
                        for host in platform.fleet.hosts.values()
                        if host.address not in minority
                    ],
                ]
            )
            response = await platform.put("control1", 3, revised(5), wait_ms=1000)
            self.assertThat((response[0], response[2] <= 750), Equals((503, True)), str(response))
            platform.run(1500)
            for call in (
                platform.put("control2", 3, revised(6)),
                platform.get_configuration("control1"),
            ):
                response = await call
                self.assertThat((response[0], response[2]), Equals((503, 0.0)))
            self.assertThat((await platform.put("control3", 3, revised(7)))[0], Equals(200))
            platform.fleet.network.heal()
            platform.run(2500)
            self.assertThat((await platform.get_configuration("control1"))[1], Equals(revised(7)))
            for sent in (revised(5), revised(6)):
                self.assertThat((await platform.put("control1", 3, sent))[0], Equals(412))

        self.run_test(body)

    def test_a_lost_edge_does_not_delay_a_change_for_long(self):
        async def body(platform):
            platform.fleet.hosts["edge2"].kill()
            responses = [
                await platform.put("control1", 0, revised(3)),
                await platform.put("control2", 0, revised(3)),
            ]
            self.assertThat(responses[1][0], Equals(200))
            self.assertThat(sum(row[2] for row in responses) <= 1000, Equals(True), str(responses))

        self.run_test(body)

    def test_settings_survive_a_power_loss_of_all_machines(self):
        async def body(platform):
            self.assertThat((await platform.put("control1", 0, revised(3)))[0], Equals(200))
            hosts = list(platform.fleet.hosts.values())
            for host in hosts:
                host.lose_power()
            platform.run(400)
            for host in hosts:
                host.start()
            self.assertThat(platform.fleet.run_until_true(platform.ready, 6000), Equals(True))
            for host in platform.fleet.with_role("control"):
                self.assertThat(
                    (await platform.get_configuration(host.name))[:2], Equals((200, revised(3)))
                )
            self.assertThat((await platform.put("control4", 0, revised(3)))[0], Equals(200))
            self.assertThat((await platform.put("control4", 3, revised(4)))[0], Equals(200))

        self.run_test(body)

    def test_many_routes(self):
        async def body(platform):
            routes = [
                {**ROUTE, "name": f"r{index}", "pathStart": f"/{index}/"} for index in range(400)
            ]
            self.assertThat(
                (await platform.put("control1", 0, revised(3, routes=routes)))[0], Equals(200)
            )
            patch = {
                "revision": 4,
                "upsert": {"routes": [{**ROUTE, "name": "r7", "pathStart": "/new/"}]},
            }
            self.assertThat((await platform.patch("control2", 3, patch))[0], Equals(200))
            shown = (await platform.get_configuration("control3"))[1]
            self.assertThat(
                (shown["routes"], self.edges_have(platform, 4)),
                Equals(([*routes[:7], patch["upsert"]["routes"][0], *routes[8:]], True)),
            )

        self.run_test(body)


class Stores(TestCase):
    async def call(self, platform, method, host, name, **more):
        return await platform.request(
            host, method, f"/vaneledge/retire/{name}", {"overS": 10}, **more
        )

    def log_is_complete(self, platform):
        log = platform.fleet.hosts["control1"].node.config_feed.value("log")
        return bool(log) and len(log["members"]) == 3 and platform.fleet.leader() is not None

    def test_a_store_is_retired_once_it_has_left_the_log(self):
        async def run():
            platform = Platform(edges=1)
            self.assertThat(
                platform.fleet.run_until_true(lambda: self.log_is_complete(platform), 20000),
                Equals(True),
            )
            name = platform.fleet.leader().address
            for method, asked, status in (
                ("GET", name, 404),
                ("GET", "nobody", 404),
                ("POST", name, 409),
            ):
                self.assertThat(
                    (await self.call(platform, method, "control1", asked))[0],
                    Equals(status),
                    (method, asked),
                )
            platform.run(7000)
            self.assertThat(
                (await self.call(platform, "POST", "control1", "nobody"))[0], Equals(404)
            )
            platform.fleet.add("store", "fresh")
            platform.run(1000)
            identity = platform.fleet.leader().node.membership.identity
            for host in ("control2", "control3", "control2"):
                self.assertThat((await self.call(platform, "POST", host, name))[0], Equals(200))
            states = []
            for _ in range(200):
                response = await self.call(platform, "GET", "control4", name)
                states.append(response[1].get("state"))
                if states[-1] == "finished":
                    break
                platform.run(100)
            log = platform.fleet.hosts["control4"].node.config_feed.value("log")
            members = [row["identity"] for row in log["members"]]
            self.assertThat(
                (states[0], states[-1], identity in members),
                Equals(("rolling_out", "finished", False)),
            )
            self.assertThat(
                (log["phase"], platform.fleet.leader() is not None), Equals(("serving", True))
            )
            self.assertThat(members, HasLength(3))
            other = next(host for host in platform.fleet.with_role("store") if host.address != name)
            self.assertThat(
                (await self.call(platform, "POST", "control1", other.address))[0], Equals(409)
            )
            self.assertThat((await self.call(platform, "POST", "control1", name))[0], Equals(200))

        asyncio.run(run())

    def test_a_retired_store_that_comes_back_with_an_empty_disk_stays_retired(self):
        async def run():
            platform = Platform(edges=0)
            self.assertThat(
                platform.fleet.run_until_true(lambda: self.log_is_complete(platform), 20000),
                Equals(True),
            )
            platform.fleet.add("store", "fresh")
            platform.run(1000)
            host = platform.fleet.hosts["store1"]
            self.assertThat(
                (await self.call(platform, "POST", "control1", host.address))[0], Equals(200)
            )
            platform.run(3000)
            host.lose_disk()
            host.start()
            platform.run(3000)
            retired = platform.fleet.hosts["control2"].node.config_feed.value("retired")
            identity = host.node.membership.identity
            self.assertThat(
                (identity in retired["identities"], retired["names"]),
                Equals((True, {host.address: identity})),
            )

        asyncio.run(run())
