"""Changes of the configuration at a simulated fleet: resent after lost responses, after many other changes and to
other nodes; delayed in the network; eight concurrent ones; and hundreds in a row.
"""

import asyncio
import random

from configuration_case import SETTINGS_PATH, ConfigurationCase, make_settings
from control_store import Change
from platform_calls import ROUTE
from testtools.matchers import Equals


class ResentChanges(ConfigurationCase):
    def test_a_decided_change_is_never_refused_however_many_followed(self):
        """The oldest of 300 changes are no longer remembered; if they are resent, the outcome is reported as unknown.
        A remembered change is acknowledged, and one that cannot have been applied is refused at once.
        """

        async def body(platform):
            for number in range(300):
                response = await platform.put("control1", 2 * number, make_settings(2 * number + 2))
                self.assertThat(response[0], Equals(200), str((number, response)))
            rows = [
                # base, revision, note, expected status
                (0, 2, None, 503),
                (20, 22, None, 503),
                (20, 22, "never sent", 503),
                (20, 700, "a stale base", 412),
                (560, 562, None, 200),
                (560, 562, "never sent", 412),
                (560, 700, None, 412),
                (598, 600, None, 200),
                (600, 600, None, 400),
                (600, 20, None, 400),
                (700, 701, None, 412),
            ]
            for base, revision, note, status in rows:
                sent = make_settings(revision, **({"note": note} if note else {}))
                for host in ("control2", "control5"):
                    response = await platform.put(host, base, sent)
                    self.assertThat(
                        (response[0], response[2] <= 700),
                        Equals((status, True)),
                        str((base, sent, response)),
                    )
            self.assertThat(self.version(platform), Equals(300))

        self.run_test(body, edges=1)

    def test_the_outcome_of_a_forgotten_patch_is_reported_as_unknown(self):
        async def body(platform):
            first = {"revision": 2, "upsert": {"routes": [{**ROUTE, "tries": 3}]}}
            self.assertThat((await platform.put("control1", 0, make_settings(1)))[0], Equals(200))
            self.assertThat((await platform.patch("control1", 1, first))[0], Equals(200))
            for number in range(2, 290):
                patch = {"revision": number + 1, "upsert": {"routes": [{**ROUTE, "tries": number}]}}
                self.assertThat((await platform.patch("control1", number, patch))[0], Equals(200))
            for host in ("control1", "control3"):
                self.assertThat((await platform.patch(host, 1, first))[0], Equals(503))
                self.assertThat(
                    (await platform.patch(host, 1, {**first, "revision": 900}))[0], Equals(412)
                )

        self.run_test(body, edges=0)

    def test_a_control_key_distinguishes_forgotten_from_lost(self):
        async def body(platform):
            seen = []
            owner = platform.fleet.hosts["control1"].node.owner

            def change(version, change_id):
                seen.clear()
                owner.submit(
                    Change(key="loose", version=version, change_id=change_id, body="{}", hops=0),
                    seen.append,
                )
                platform.fleet.run_until_true(lambda: seen, 4000)
                return str(seen[0].outcome)

            for version in range(70):
                self.assertThat(change(version, f"c{version}"), Equals("ok"))
            rows = [(0, "c0", "forgotten"), (5, "c5", "forgotten"), (6, "c6", "ok")]
            rows += [(69, "c69", "ok"), (6, "other", "lost"), (5, "other", "forgotten")]
            for version, change_id, outcome in rows:
                self.assertThat(change(version, change_id), Equals(outcome), change_id)

        self.run_test(body, edges=0)

    def test_results_are_known_after_a_lost_owner_a_power_failure_and_a_wiped_voter(self):
        async def body(platform):
            fleet = platform.fleet
            hosts = [f"control{number + 1}" for number in range(5)]
            patch = {"revision": 9, "upsert": {"routes": [{**ROUTE, "tries": 7}]}}

            async def check_results(names):
                platform.run(1500)
                self.assertThat(
                    fleet.run_until_true(
                        lambda: all(fleet.hosts[name].node.has_quorum() for name in names), 25000
                    ),
                    Equals(True),
                )
                for name in names:
                    self.assertThat((await platform.put(name, 0, make_settings(3)))[0], Equals(200))
                    self.assertThat((await platform.patch(name, 3, patch))[0], Equals(200))
                    self.assertThat((await platform.put(name, 0, make_settings(4)))[0], Equals(412))

            self.assertThat((await platform.put("control1", 0, make_settings(3)))[0], Equals(200))
            self.assertThat((await platform.patch("control1", 3, patch))[0], Equals(200))
            owner = self.key_owner(platform)
            owner.kill()
            await check_results([name for name in hosts if name != owner.name])
            owner.start()
            await check_results(hosts)
            for host in list(fleet.hosts.values()):
                host.lose_power()
            platform.run(400)
            for host in list(fleet.hosts.values()):
                host.start()
            await check_results(hosts)
            wiped = fleet.hosts["control2"]
            wiped.lose_disk()
            wiped.start()
            await check_results(hosts)
            self.assertThat(self.version(platform), Equals(2))

        self.run_test(body, edges=1)

    def test_a_change_resent_while_it_is_in_progress_is_applied_once(self):
        """A copy is sent to another node every 3 ms; all copies are one change, acknowledged by every node."""

        async def body(platform):
            base = 0
            for turn in range(10):
                sent = make_settings(base + 2)
                tasks = []
                for number in range(8):
                    tasks.append(
                        platform.start(
                            f"control{(turn + number) % 5 + 1}",
                            "PUT",
                            SETTINGS_PATH,
                            sent,
                            {"If-Match": str(base)},
                        )
                    )
                    for _ in range(3):
                        await asyncio.sleep(0)
                    platform.run(3)
                responses = await platform.finish(*tasks)
                self.assertThat([row[0] for row in responses], Equals([200] * 8), str(responses))
                self.assertThat(self.version(platform), Equals(turn + 1))
                base += 2

        self.run_test(body, edges=1)


class DelayedChanges(ConfigurationCase):
    """Copies of a change that arrive only when the operator already has the response of another node."""

    async def delayed_response(self, platform, sent, base, during):
        """Send a change to a node that is then frozen together with the owner, call `during`, and wake both nodes.
        Returns the late response, or None.
        """
        owner = self.key_owner(platform)
        relay = next(host for host in platform.fleet.with_role("control") if host is not owner)
        task = platform.start(relay.name, "PUT", SETTINGS_PATH, sent, {"If-Match": str(base)})
        for _ in range(6):
            await asyncio.sleep(0)
        platform.run(4)
        owner.freeze()
        relay.freeze()
        platform.run(1800)
        await during([host.name for host in platform.fleet.with_role("control") if not host.frozen])
        owner.wake()
        relay.wake()
        platform.run(4000)
        return (await platform.finish(task))[0]

    def test_a_delayed_copy_of_a_change_is_not_applied_again(self):
        async def body(platform):
            self.assertThat((await platform.put("control1", 0, make_settings(3)))[0], Equals(200))

            async def during(names):
                self.assertThat((await platform.put(names[0], 3, make_settings(5)))[0], Equals(200))
                self.assertThat((await platform.put(names[1], 5, make_settings(6)))[0], Equals(200))

            late = await self.delayed_response(platform, make_settings(5), 3, during)
            self.assertThat(late is None or late[0] in (200, 503), Equals(True), str(late))
            self.assertThat((self.version(platform)), Equals(3))
            self.assertThat(
                (await platform.get_configuration("control1"))[1], Equals(make_settings(6))
            )
            self.assertThat((await platform.put("control1", 3, make_settings(5)))[0], Equals(200))

        for seed in range(1, 5):
            self.run_test(body, seed=seed, edges=1)

    def test_a_refused_change_is_never_in_force_later(self):
        async def body(platform):
            self.assertThat((await platform.put("control1", 0, make_settings(3)))[0], Equals(200))
            refused = []

            async def during(names):
                one, other = make_settings(5, note="one"), make_settings(5, note="other")
                responses = [
                    await platform.put(names[0], 3, one),
                    await platform.put(names[1], 3, other),
                ]
                self.assertThat(
                    sorted(row[0] for row in responses), Equals([200, 412]), str(responses)
                )
                refused.append(other if responses[0][0] == 200 else one)

            late = await self.delayed_response(platform, make_settings(5, note="other"), 3, during)
            self.assertThat(late is None or late[0] in (200, 412, 503), Equals(True), str(late))
            for host in platform.fleet.with_role("control"):
                shown = (await platform.get_configuration(host.name))[1]
                self.assertThat(shown["note"] != refused[0]["note"], Equals(True))
                self.assertThat((await platform.put(host.name, 3, refused[0]))[0], Equals(412))

        for seed in range(1, 5):
            self.run_test(body, seed=seed, edges=1)

    def test_no_acknowledgement_from_an_owner_whose_change_nobody_publishes(self):
        """The owner is cut off when a majority of disks has the change but before others have the published version:
        only nodes that it cannot reach have the change, and none of them publishes it.
        """

        async def body(platform):
            fleet = platform.fleet
            self.assertThat((await platform.put("control1", 0, make_settings(3)))[0], Equals(200))
            owner = self.key_owner(platform)
            others = [host for host in fleet.with_role("control") if host is not owner]
            edges = fleet.with_role("edge")
            task = platform.start(
                owner.name, "PUT", SETTINGS_PATH, make_settings(5), {"If-Match": "3"}
            )

            def published():
                return owner.node.config_feed.version("profiles") == 2

            for _ in range(6):
                await asyncio.sleep(0)
            while not published():
                fleet.time.run_until(fleet.time.now_ms + 0.05)
            fleet.network.isolate(owner.address)
            response = (await platform.finish(task, wait_ms=1000))[0]
            in_force = [host.node.config_feed.version("profiles") for host in (*others, *edges)]
            if response is not None and response[0] == 200:
                self.assertThat(sum(1 for number in in_force[:4] if number == 2) >= 2, Equals(True))
            else:
                self.assertThat(response is None or response[0] == 503, Equals(True), str(response))
            fleet.network.heal()
            platform.run(3000)
            self.assertThat(
                (await platform.put(others[0].name, 3, make_settings(5)))[0], Equals(200)
            )

        for seed in range(1, 6):
            self.run_test(body, seed=seed, edges=2)


class ChangeIdentity(ConfigurationCase):
    def test_a_change_is_identified_by_its_whole_content(self):
        async def body(platform):
            one, other = make_settings(5, note="one"), make_settings(5, note="other")
            for host in ("control1", "control2"):
                rows = [(0, one, 200), (0, other, 412), (0, one, 200), (3, one, 412), (5, one, 400)]
                for base, sent, status in rows:
                    self.assertThat((await platform.put(host, base, sent))[0], Equals(status))
            self.assertThat((await platform.get_configuration("control3"))[1], Equals(one))

        self.run_test(body, edges=1)

    def test_of_two_changes_with_the_same_revision_only_one_is_applied(self):
        """The owner loses its majority during a change. Of two changes with the same revision either may be applied;
        every node refuses the other one, even when the applied one is in force.
        """

        async def body(platform):
            rng = random.Random(platform.fleet.time.rng.random())
            one, other = make_settings(5, note="one"), make_settings(5, note="other")
            owner = self.key_owner(platform)
            hosts = platform.fleet.with_role("control")
            task = platform.start(owner.name, "PUT", SETTINGS_PATH, one, {"If-Match": "0"})
            for _ in range(6):
                await asyncio.sleep(0)
            platform.run(rng.random() * 12)
            platform.fleet.network.isolate(owner.address)
            response = (await platform.finish(task, wait_ms=900))[0]
            platform.run(1500)
            names = [host.name for host in hosts if host is not owner]
            second = (await platform.put(names[0], 0, other))[0]
            self.assertThat(second in (200, 412, 503), Equals(True))
            platform.fleet.network.heal()
            platform.run(2500)
            final = {}
            for label, sent in (("one", one), ("other", other)):
                found = {(await platform.put(host.name, 0, sent))[0] for host in hosts}
                self.assertThat(len(found), Equals(1))
                final[label] = found.pop()
            self.assertThat(sorted(final.values()), Equals([200, 412]), str(final))
            self.assertThat(
                final["one"] == 200 or response is None or response[0] != 200, Equals(True)
            )
            self.assertThat(final["other"] == second or second == 503, Equals(True))

        for seed in range(1, 9):
            self.run_test(body, seed=seed, edges=1)
