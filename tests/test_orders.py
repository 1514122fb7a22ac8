"""Operators' orders at a simulated fleet: sent again after lost answers, many changes later, to other nodes,
delayed on their way, eight at once, and hundreds in a row; what nodes tell about them is linearizable.
"""

import asyncio
import json
import random
from types import SimpleNamespace
from unittest import mock

from aiohttp import web
from catalogue import Change, Changed, ReadKey
from commons import Neighbours
from platform_calls import ROUTE, SETTINGS, Platform
from registrar.operators import Operators
from testtools import TestCase
from testtools.matchers import Equals

SETTINGS_PATH = "/vaneledge/settings"


def revised(revision, **more):
    return {**SETTINGS, "revision": revision, **more}


class OrdersCase(TestCase):
    def play(self, body, **sizes):
        async def run():
            await body(Platform(**sizes))

        asyncio.run(run())

    async def statuses(self, platform, hosts, base, sent):
        return [(await platform.put(host, base, sent))[0] for host in hosts]

    def key_owner(self, platform):
        hosts = {host.node.voter.identity: host for host in platform.fleet.of("control")}
        name = platform.fleet.hosts["control1"].node.owner.owner_of("profiles")
        return hosts[name]

    def version(self, platform):
        return max(
            host.node.gazette.number("profiles") for host in platform.fleet.of("control") if host.up
        )


class SentAgain(OrdersCase):
    def test_a_taken_order_is_never_refused_however_many_came_after(self):
        """The oldest of 300 orders are forgotten: sent again they get no clear answer. What is remembered is
        acknowledged, and what cannot have been taken is refused at once.
        """

        async def body(platform):
            for number in range(300):
                told = await platform.put("control1", 2 * number, revised(2 * number + 2))
                self.assertThat(told[0], Equals(200), str((number, told)))
            rows = [
                # base, revision, note, its status
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
                sent = revised(revision, **({"note": note} if note else {}))
                for host in ("control2", "control5"):
                    told = await platform.put(host, base, sent)
                    self.assertThat(
                        (told[0], told[2] <= 700), Equals((status, True)), str((base, sent, told))
                    )
            self.assertThat(self.version(platform), Equals(300))

        self.play(body, edges=1)

    def test_a_forgotten_patch_gets_no_clear_answer(self):
        async def body(platform):
            first = {"revision": 2, "upsert": {"routes": [{**ROUTE, "tries": 3}]}}
            self.assertThat((await platform.put("control1", 0, revised(1)))[0], Equals(200))
            self.assertThat((await platform.patch("control1", 1, first))[0], Equals(200))
            for number in range(2, 290):
                patch = {"revision": number + 1, "upsert": {"routes": [{**ROUTE, "tries": number}]}}
                self.assertThat((await platform.patch("control1", number, patch))[0], Equals(200))
            for host in ("control1", "control3"):
                self.assertThat((await platform.patch(host, 1, first))[0], Equals(503))
                self.assertThat(
                    (await platform.patch(host, 1, {**first, "revision": 900}))[0], Equals(412)
                )

        self.play(body, edges=0)

    def test_a_key_of_the_control_state_tells_forgotten_from_lost(self):
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

        self.play(body, edges=0)

    def test_known_after_an_owner_is_lost_a_power_loss_and_a_wiped_voter(self):
        async def body(platform):
            fleet = platform.fleet
            hosts = [f"control{number + 1}" for number in range(5)]
            patch = {"revision": 9, "upsert": {"routes": [{**ROUTE, "tries": 7}]}}

            async def known(names):
                platform.run(1500)
                self.assertThat(
                    fleet.run_until_true(
                        lambda: all(fleet.hosts[name].node.quorate() for name in names), 25000
                    ),
                    Equals(True),
                )
                for name in names:
                    self.assertThat((await platform.put(name, 0, revised(3)))[0], Equals(200))
                    self.assertThat((await platform.patch(name, 3, patch))[0], Equals(200))
                    self.assertThat((await platform.put(name, 0, revised(4)))[0], Equals(412))

            self.assertThat((await platform.put("control1", 0, revised(3)))[0], Equals(200))
            self.assertThat((await platform.patch("control1", 3, patch))[0], Equals(200))
            owner = self.key_owner(platform)
            owner.kill()
            await known([name for name in hosts if name != owner.name])
            owner.start()
            await known(hosts)
            for host in list(fleet.hosts.values()):
                host.lose_power()
            platform.run(400)
            for host in list(fleet.hosts.values()):
                host.start()
            await known(hosts)
            wiped = fleet.hosts["control2"]
            wiped.lose_disk()
            wiped.start()
            await known(hosts)
            self.assertThat(self.version(platform), Equals(2))

        self.play(body, edges=1)

    def test_sent_again_while_the_first_is_under_way(self):
        """Every 3 ms to another node: all copies end as one change, acknowledged by every node."""

        async def body(platform):
            base = 0
            for turn in range(10):
                sent = revised(base + 2)
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
                told = await platform.finish(*tasks)
                self.assertThat([row[0] for row in told], Equals([200] * 8), str(told))
                self.assertThat(self.version(platform), Equals(turn + 1))
                base += 2

        self.play(body, edges=1)


class OnTheWay(OrdersCase):
    """Copies that are held up and arrive once the operator has been answered elsewhere."""

    async def held_up(self, platform, sent, base, after):
        """A copy of the order on its way from a node to the owner, which is frozen for a while; returns the
        late answer. `after` is what happens meanwhile.
        """
        owner = self.key_owner(platform)
        relay = next(host for host in platform.fleet.of("control") if host is not owner)
        task = platform.start(relay.name, "PUT", SETTINGS_PATH, sent, {"If-Match": str(base)})
        for _ in range(6):
            await asyncio.sleep(0)
        platform.run(4)
        owner.freeze()
        relay.freeze()
        platform.run(1800)
        await after([host.name for host in platform.fleet.of("control") if not host.frozen])
        owner.wake()
        relay.wake()
        platform.run(4000)
        return (await platform.finish(task))[0]

    def test_not_applied_twice(self):
        async def body(platform):
            self.assertThat((await platform.put("control1", 0, revised(3)))[0], Equals(200))

            async def after(names):
                self.assertThat((await platform.put(names[0], 3, revised(5)))[0], Equals(200))
                self.assertThat((await platform.put(names[1], 5, revised(6)))[0], Equals(200))

            late = await self.held_up(platform, revised(5), 3, after)
            self.assertThat(late is None or late[0] in (200, 503), Equals(True), str(late))
            self.assertThat((self.version(platform)), Equals(3))
            self.assertThat((await platform.shown("control1"))[1], Equals(revised(6)))
            self.assertThat((await platform.put("control1", 3, revised(5)))[0], Equals(200))

        for seed in range(1, 5):
            self.play(body, seed=seed, edges=1)

    def test_refused_is_never_in_force_later(self):
        async def body(platform):
            self.assertThat((await platform.put("control1", 0, revised(3)))[0], Equals(200))
            refused = []

            async def after(names):
                one, other = revised(5, note="one"), revised(5, note="other")
                told = [
                    await platform.put(names[0], 3, one),
                    await platform.put(names[1], 3, other),
                ]
                self.assertThat(sorted(row[0] for row in told), Equals([200, 412]), str(told))
                refused.append(other if told[0][0] == 200 else one)

            late = await self.held_up(platform, revised(5, note="other"), 3, after)
            self.assertThat(late is None or late[0] in (200, 412, 503), Equals(True), str(late))
            for host in platform.fleet.of("control"):
                shown = (await platform.shown(host.name))[1]
                self.assertThat(shown["note"] != refused[0]["note"], Equals(True))
                self.assertThat((await platform.put(host.name, 3, refused[0]))[0], Equals(412))

        for seed in range(1, 5):
            self.play(body, seed=seed, edges=1)

    def test_no_acknowledgement_from_an_owner_whose_change_nobody_hands_out(self):
        """The owner is cut off once a majority of disks has the change and before the news of it is out: only
        nodes that it cannot reach have the change, and none of them hands it out.
        """

        async def body(platform):
            fleet = platform.fleet
            self.assertThat((await platform.put("control1", 0, revised(3)))[0], Equals(200))
            owner = self.key_owner(platform)
            others = [host for host in fleet.of("control") if host is not owner]
            edges = fleet.of("edge")
            task = platform.start(owner.name, "PUT", SETTINGS_PATH, revised(5), {"If-Match": "3"})

            def published():
                return owner.node.gazette.number("profiles") == 2

            for _ in range(6):
                await asyncio.sleep(0)
            while not published():
                fleet.time.run_until(fleet.time.now_ms + 0.05)
            fleet.network.isolate(owner.address)
            told = (await platform.finish(task, wait_ms=1000))[0]
            in_force = [host.node.gazette.number("profiles") for host in (*others, *edges)]
            if told is not None and told[0] == 200:
                self.assertThat(sum(1 for number in in_force[:4] if number == 2) >= 2, Equals(True))
            else:
                self.assertThat(told is None or told[0] == 503, Equals(True), str(told))
            fleet.network.heal()
            platform.run(3000)
            self.assertThat((await platform.put(others[0].name, 3, revised(5)))[0], Equals(200))

        for seed in range(1, 6):
            self.play(body, seed=seed, edges=2)


class Identity(OrdersCase):
    def test_the_whole_order_is_what_is_known(self):
        async def body(platform):
            one, other = revised(5, note="one"), revised(5, note="other")
            for host in ("control1", "control2"):
                rows = [(0, one, 200), (0, other, 412), (0, one, 200), (3, one, 412), (5, one, 400)]
                for base, sent, status in rows:
                    self.assertThat((await platform.put(host, base, sent))[0], Equals(status))
            self.assertThat((await platform.shown("control3"))[1], Equals(one))

        self.play(body, edges=1)

    def test_same_number_while_the_first_is_in_doubt(self):
        """The owner loses its majority in the midst of a change; whichever of two with one number comes out, the
        other is refused by every node, also once the first is known to be in force.
        """

        async def body(platform):
            rng = random.Random(platform.fleet.time.rng.random())
            one, other = revised(5, note="one"), revised(5, note="other")
            owner = self.key_owner(platform)
            hosts = platform.fleet.of("control")
            task = platform.start(owner.name, "PUT", SETTINGS_PATH, one, {"If-Match": "0"})
            for _ in range(6):
                await asyncio.sleep(0)
            platform.run(rng.random() * 12)
            platform.fleet.network.isolate(owner.address)
            told = (await platform.finish(task, wait_ms=900))[0]
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
            self.assertThat(final["one"] == 200 or told is None or told[0] != 200, Equals(True))
            self.assertThat(final["other"] == second or second == 503, Equals(True))

        for seed in range(1, 9):
            self.play(body, seed=seed, edges=1)


class Answered:
    """An owner of keys that notes what it is asked and answers from a table."""

    def __init__(self, version, body):
        self.version, self.body = version, body
        self.asked = []

    def submit(self, message, done):
        self.asked.append(message)
        outcome = "ok" if isinstance(message, ReadKey) else "lost"
        done(Changed(outcome=outcome, version=self.version, body=self.body, reason=""))


class OwnInterface(TestCase):
    """The operators' calls of the product's own interface."""

    def call(self, owner, handler, sent):
        async def run():
            desk = SimpleNamespace(app=web.Application())
            params = SimpleNamespace(max_body_bytes=1 << 20)
            operators = Operators(SimpleNamespace(owner=owner, params=params), desk)

            async def read():
                return json.dumps(sent).encode()

            request = SimpleNamespace(
                content_length=100, content_type="application/json", headers={}, read=read
            )
            request.content = SimpleNamespace(read=lambda count=-1: read())
            return (await getattr(operators, handler)(request)).status

        return asyncio.run(run())

    def test_a_patch_on_another_version_is_only_asked_after(self):
        """It once went to the key's owner with the tree as it was, to be taken, without the patch, if the version
        that it named came into force meanwhile.
        """
        owner = Answered(4, json.dumps({"profiles": {}}))
        sent = {"version": 5, "change_id": "c", "patch": {"profiles": {"a": {"abstract": True}}}}
        self.assertThat(self.call(owner, "_patch", sent), Equals(409))
        self.assertThat([row for row in owner.asked if isinstance(row, Change)], Equals([]))

    def test_one_id_for_two_contents_is_two_changes(self):
        owner = Answered(4, json.dumps({"profiles": {}}))
        for name, version in (("a", 4), ("b", 4), ("a", 4), ("a", 3)):
            tree = {"profiles": {name: {"abstract": True}}}
            self.call(owner, "_send", {"version": version, "change_id": "c", "tree": tree})
        first, second, again, older = [
            row.change_id for row in owner.asked if isinstance(row, Change)
        ]
        self.assertThat((first == again, len({first, second, older})), Equals((True, 3)))


class Stores(TestCase):
    def test_a_node_that_has_just_started_refuses_no_emptying(self):
        """It has not heard of all stores yet: that too few would be left it cannot know."""

        async def run(seed):
            platform = Platform(seed=seed, edges=0)
            fleet = platform.fleet
            fleet.add("store", "fresh")
            platform.run(7000)
            name = fleet.hosts["store1"].address
            host = fleet.hosts["control3"]
            host.kill()
            platform.run(200)
            host.start()
            found = []
            while not found or found[-1] == 503:
                told = await platform.ask(
                    host.name, "POST", f"/vaneledge/retire/{name}", {"overS": 10}
                )
                found.append(told[0])
                platform.run(10)
            self.assertThat(set(found), Equals({200, 503}), f"seed {seed}: {found}")

        for seed in range(1, 9):
            asyncio.run(run(seed))

    def test_too_few_only_once_all_stores_can_have_been_heard(self):
        """Just started or just awake, a node that has heard of one store only gives no clear answer."""

        async def run():
            platform = Platform(edges=0)
            fleet = platform.fleet
            fleet.add("store", "fresh")
            platform.run(7000)
            name = fleet.hosts["store1"].address
            host = fleet.hosts["control3"]

            async def asked():
                neighbours = host.node.neighbours
                heard = [row for row in neighbours.of_role("store", 9000) if row.name == name]
                with mock.patch.object(Neighbours, "of_role", lambda *args: heard):
                    platform.run(250)
                    return (
                        await platform.ask(
                            host.name, "POST", f"/vaneledge/retire/{name}", {"overS": 10}
                        )
                    )[0]

            self.assertThat(await asked(), Equals(409))
            host.freeze()
            platform.run(4000)
            host.wake()
            platform.run(400)
            self.assertThat(await asked(), Equals(503))
            platform.run(1500)
            self.assertThat(await asked(), Equals(409))

        asyncio.run(run())


class Register:
    """Whether what operators saw of the configuration is linearizable: a search over the orders that may have
    been taken next, in Wing and Gong's way, with the states that were tried left out.
    """

    def __init__(self, calls):
        self.calls = calls

    def explained(self):
        tried = set()

        def search(left, state):
            must = [place for place in left if self.calls[place]["outcome"] != "unknown"]
            if not must:
                return True
            if (left, state) in tried:
                return False
            tried.add((left, state))
            first_end = min(self.calls[place]["end"] for place in must)
            for place in left:
                call = self.calls[place]
                if call["start"] <= first_end:
                    after = self.step(call, state)
                    if after is not None and search(left - {place}, after):
                        return True
            return False

        return search(frozenset(range(len(self.calls))), (0, ""))

    @staticmethod
    def step(call, state):
        """The state after the call, or None where it can't have been answered so in this one. A state is the
        revision and the mark of the configuration in force.
        """
        if call["what"] == "read":
            return state if call["seen"] == state else None
        fits = call["base"] == state[0]
        if call["outcome"] == "refused":
            return None if fits else state
        return (call["revision"], call["mark"]) if fits else None


class Linearizable(OrdersCase):
    """One order of an operator is one call of the history, from its first sending to its clear answer,
    however often it was sent in between.
    """

    def test_the_checker(self):
        def change(start, end, base, revision, mark, outcome):
            return {
                "what": "change",
                "start": start,
                "end": end,
                "base": base,
                "revision": revision,
                "mark": mark,
                "outcome": outcome,
            }

        def read(start, end, seen):
            return {"what": "read", "start": start, "end": end, "seen": seen, "outcome": "ok"}

        one, other = change(0, 2, 0, 3, "a", "taken"), change(1, 3, 0, 3, "b", "taken")
        lost = change(1, 3, 0, 3, "b", "refused")
        unknown = change(1, 1e12, 3, 4, "c", "unknown")
        rows = [
            ([one, lost], True),
            ([one, other], False),
            ([one, lost, read(4, 5, (3, "a"))], True),
            ([one, lost, read(4, 5, (3, "b"))], False),
            ([one, read(4, 5, (0, ""))], False),
            ([one, read(1, 5, (0, ""))], True),
            ([one, unknown, read(4, 5, (4, "c"))], True),
            ([one, unknown, read(4, 5, (4, "c")), read(6, 7, (3, "a"))], False),
            ([lost], False),
        ]
        for calls, wanted in rows:
            self.assertThat(Register(calls).explained(), Equals(wanted), str(calls))

    async def one_run(self, seed, rounds):
        platform = Platform(seed=seed, edges=1)
        fleet, rng = platform.fleet, random.Random(seed)
        hosts, calls = fleet.of("control"), []
        base = 0

        def awake():
            return [host.name for host in hosts if host.up and not host.frozen]

        def send(call):
            task = platform.start(
                rng.choice(awake()), "PUT", SETTINGS_PATH, call["sent"], {"If-Match": call["base"]}
            )
            return task

        def strike():
            struck = rng.choice(hosts)
            blow = rng.choice(("kill", "freeze", "cut", "power", "loss"))
            if blow == "kill":
                struck.kill()
            elif blow == "power":
                for host in hosts:
                    host.lose_power()
                platform.run(100)
                for host in hosts:
                    host.start()
            elif blow == "freeze":
                struck.freeze()
            elif blow == "cut":
                fleet.network.isolate(struck.address)
            else:
                fleet.network.loss_rate, fleet.network.double_rate = 0.1, 0.1

        def mend():
            fleet.network.heal()
            for host in hosts:
                if host.frozen:
                    host.wake()
                elif not host.up:
                    host.start()

        for turn in range(rounds):
            batch = []
            for number in range(rng.randrange(1, 9)):
                revision = base + rng.randrange(1, 3)
                mark = f"{turn}-{number}"
                call = {
                    "what": "change",
                    "base": str(base),
                    "revision": revision,
                    "mark": mark,
                    "sent": revised(revision, note=mark),
                    "start": fleet.time.now_ms,
                    "end": 1e12,
                    "outcome": "unknown",
                }
                batch.append(call)
            calls += batch
            for attempt in range(12):
                left = [call for call in batch if call["outcome"] == "unknown"]
                if not left:
                    break
                tasks = [send(call) for call in left]
                if attempt == 0 and rng.random() < 0.7:
                    for _ in range(4):
                        await asyncio.sleep(0)
                    platform.run(rng.random() * 25)
                    strike()
                if attempt == 4:
                    mend()
                answers = await platform.finish(*tasks, wait_ms=1000)
                for call, told in zip(left, answers, strict=True):
                    if told is None or told[0] == 503 or rng.random() < 0.4:
                        continue
                    self.assertThat(told[0] in (200, 412), Equals(True), str(told))
                    call["outcome"] = "taken" if told[0] == 200 else "refused"
                    call["end"] = fleet.time.now_ms
                if left:
                    platform.run(rng.randrange(10, 400))
            mend()
            platform.run(1500)
            start = fleet.time.now_ms
            shown = await platform.shown(rng.choice(awake()))
            self.assertThat(shown[0] in (200, 404), Equals(True), str(shown))
            seen = (shown[1]["revision"], shown[1]["note"]) if shown[0] == 200 else (0, "")
            calls.append(
                {
                    "what": "read",
                    "seen": seen,
                    "start": start,
                    "end": fleet.time.now_ms,
                    "outcome": "ok",
                }
            )
            base = seen[0]
        for call in calls:
            call["base"] = int(call.get("base", 0))
        return calls

    def test_several_operators_in_drawn_trouble(self):
        for seed in range(900, 908):
            calls = asyncio.run(self.one_run(seed, 6))
            told = [{key: call[key] for key in call if key != "sent"} for call in calls]
            self.assertThat(Register(calls).explained(), Equals(True), f"seed {seed}: {told}")
