"""Drawn histories of several operators, checked for linearizability: up to eight orders at once, answers
lost, owners killed, frozen, cut off and out of power.
"""

import asyncio
import random

from modelcheck import Call, linearize
from orders_case import SETTINGS_PATH, OrdersCase, revised
from platform_calls import Platform
from testtools.matchers import Equals


class Configuration:
    """The configuration as its operators may see it; a state is its revision and its mark."""

    def initial_state(self):
        return (0, "")

    def next_state(self, state, call):
        """The state after the call, or None where it can't have been answered so in this one."""
        request = call.request
        if request["what"] == "read":
            return state if request["seen"] == state else None
        fits = request["base"] == state[0]
        if request["outcome"] == "refused":
            return None if fits else state
        return (request["revision"], request["mark"]) if fits else None


def explained(calls):
    """Whether what operators saw is linearizable."""
    rows = [
        Call(call, call["start"])
        if call["outcome"] == "unknown"
        else Call(call, call["start"], call["outcome"], call["end"])
        for call in calls
    ]
    result = linearize(rows, Configuration())
    return result.is_decided and result.is_linearizable


class DrawnOrders:
    """Rounds of one to eight orders at once on one base, each sent until it has a clear answer, with a drawn
    trouble in the midst of most; half of the clear answers are lost. After each round the
    configuration is read.
    """

    def __init__(self, seed):
        self.platform = Platform(seed=seed, edges=1)
        self.fleet, self.rng = self.platform.fleet, random.Random(seed)
        self.hosts = self.fleet.with_role("control")
        self.base = 0
        self.calls = []

    def awake(self):
        return [host.name for host in self.hosts if host.up and not host.frozen]

    def inject_fault(self):
        struck = self.rng.choice(self.hosts)
        network = self.fleet.network
        {
            "kill": struck.kill,
            "freeze": struck.freeze,
            "cut": lambda: network.isolate(struck.address),
            "power": self.lose_power,
            "loss": lambda: setattr(network, "loss_rate", 0.1),
            "double": lambda: setattr(network, "duplicate_rate", 0.3),
        }[self.rng.choice(("kill", "freeze", "cut", "power", "loss", "double"))]()

    def lose_power(self):
        for host in self.hosts:
            host.lose_power()
        self.platform.run(100)
        for host in self.hosts:
            host.start()

    def repair(self):
        self.fleet.network.heal()
        for host in self.hosts:
            if host.frozen:
                host.wake()
            elif not host.up:
                host.start()

    def order(self, mark):
        revision = self.base + self.rng.randrange(1, 3)
        return {
            "what": "change",
            "base": self.base,
            "revision": revision,
            "mark": mark,
            "sent": revised(revision, note=mark),
            "start": self.fleet.time.now_ms,
            "end": 1e12,
            "outcome": "unknown",
        }

    def send(self, call):
        return self.platform.start(
            self.rng.choice(self.awake()),
            "PUT",
            SETTINGS_PATH,
            call["sent"],
            {"If-Match": str(call["base"])},
        )

    def note(self, call, response):
        """What the operator hears; a lost answer is as none."""
        if response is None or response[0] == 503 or self.rng.random() < 0.5:
            return
        call["outcome"] = {200: "taken", 412: "refused"}[response[0]]
        call["end"] = self.fleet.time.now_ms

    async def round(self, turn):
        batch = [self.order(f"{turn}-{number}") for number in range(self.rng.randrange(1, 9))]
        self.calls += batch
        for attempt in range(12):
            left = [call for call in batch if call["outcome"] == "unknown"]
            if not left:
                break
            tasks = [self.send(call) for call in left]
            if attempt == 0 and self.rng.random() < 0.7:
                for _ in range(4):
                    await asyncio.sleep(0)
                self.platform.run(self.rng.random() * 25)
                self.inject_fault()
            if attempt == 4:
                self.repair()
            answers = await self.platform.finish(*tasks, wait_ms=1000)
            for call, response in zip(left, answers, strict=True):
                self.note(call, response)
            self.platform.run(self.rng.randrange(10, 400))
        self.repair()
        self.platform.run(1500)
        await self.read()

    async def read(self):
        call = {"what": "read", "start": self.fleet.time.now_ms, "outcome": "ok"}
        status, shown, _ = await self.platform.shown(self.rng.choice(self.awake()))
        call["seen"] = {200: lambda: (shown["revision"], shown["note"]), 404: lambda: (0, "")}[
            status
        ]()
        call["end"] = self.fleet.time.now_ms
        self.calls.append(call)
        self.base = call["seen"][0]


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
            self.assertThat(explained(calls), Equals(wanted), str(calls))

    async def drawn(self, seed, rounds):
        run = DrawnOrders(seed)
        for turn in range(rounds):
            await run.round(turn)
        return run.calls

    def test_several_operators_in_drawn_trouble(self):
        for seed in range(900, 908):
            calls = asyncio.run(self.drawn(seed, 6))
            response = [{key: call[key] for key in call if key != "sent"} for call in calls]
            self.assertThat(explained(calls), Equals(True), f"seed {seed}: {response}")
