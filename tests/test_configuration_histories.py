"""Random histories of configuration changes, checked for linearizability: up to eight concurrent changes, with
lost responses, and with control nodes killed, frozen, cut off and without power.
"""

import asyncio
import random

from configuration_case import SETTINGS_PATH, ConfigurationCase, make_settings
from modelcheck import Call, linearize
from platform_calls import Platform
from testtools.matchers import Equals


class Configuration:
    """Model of the configuration for the checker; a state is a revision and the mark of its change."""

    def initial_state(self):
        return (0, "")

    def next_state(self, state, call):
        """Return the state after the call, or None if the call can't have had this outcome in `state`."""
        request = call.request
        if request["operation"] == "read":
            return state if request["seen"] == state else None
        fits = request["base"] == state[0]
        if request["outcome"] == "refused":
            return None if fits else state
        return (request["revision"], request["mark"]) if fits else None


def is_history_linearizable(calls):
    """Return whether the checker decides that the history of calls is linearizable."""
    rows = [
        Call(call, call["start"])
        if call["outcome"] == "unknown"
        else Call(call, call["start"], call["outcome"], call["end"])
        for call in calls
    ]
    result = linearize(rows, Configuration())
    return result.is_decided and result.is_linearizable


class RandomChanges:
    """Rounds of one to eight concurrent changes with the same base. Each change is resent, up to 12 times, until its
    outcome is known; half of the responses are lost, and a random fault is injected in most rounds. After each
    round the configuration is read.
    """

    def __init__(self, seed):
        self.platform = Platform(seed=seed, edges=1)
        self.fleet, self.rng = self.platform.fleet, random.Random(seed)
        self.hosts = self.fleet.with_role("control")
        self.base = 0
        self.calls = []

    def running_hosts(self):
        return [host.name for host in self.hosts if host.up and not host.frozen]

    def inject_fault(self):
        target = self.rng.choice(self.hosts)
        network = self.fleet.network
        {
            "kill": target.kill,
            "freeze": target.freeze,
            "cut": lambda: network.isolate(target.address),
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

    def make_change(self, mark):
        revision = self.base + self.rng.randrange(1, 3)
        return {
            "operation": "change",
            "base": self.base,
            "revision": revision,
            "mark": mark,
            "sent": make_settings(revision, note=mark),
            "start": self.fleet.time.now_ms,
            "end": 1e12,
            "outcome": "unknown",
        }

    def send(self, call):
        return self.platform.start(
            self.rng.choice(self.running_hosts()),
            "PUT",
            SETTINGS_PATH,
            call["sent"],
            {"If-Match": str(call["base"])},
        )

    def record_response(self, call, response):
        """Record the outcome for the operator, unless it is unknown or the response is lost (half of them)."""
        if response is None or response[0] == 503 or self.rng.random() < 0.5:
            return
        call["outcome"] = {200: "applied", 412: "refused"}[response[0]]
        call["end"] = self.fleet.time.now_ms

    async def round(self, turn):
        batch = [self.make_change(f"{turn}-{number}") for number in range(self.rng.randrange(1, 9))]
        self.calls += batch
        for attempt in range(12):
            unresolved = [call for call in batch if call["outcome"] == "unknown"]
            if not unresolved:
                break
            tasks = [self.send(call) for call in unresolved]
            if attempt == 0 and self.rng.random() < 0.7:
                for _ in range(4):
                    await asyncio.sleep(0)
                self.platform.run(self.rng.random() * 25)
                self.inject_fault()
            if attempt == 4:
                self.repair()
            answers = await self.platform.finish(*tasks, wait_ms=1000)
            for call, response in zip(unresolved, answers, strict=True):
                self.record_response(call, response)
            self.platform.run(self.rng.randrange(10, 400))
        self.repair()
        self.platform.run(1500)
        await self.read()

    async def read(self):
        call = {"operation": "read", "start": self.fleet.time.now_ms, "outcome": "ok"}
        status, shown, _ = await self.platform.get_configuration(
            self.rng.choice(self.running_hosts())
        )
        call["seen"] = {200: lambda: (shown["revision"], shown["note"]), 404: lambda: (0, "")}[
            status
        ]()
        call["end"] = self.fleet.time.now_ms
        self.calls.append(call)
        self.base = call["seen"][0]


class LinearizableHistories(ConfigurationCase):
    """A change is one call of the history, from the first request until the outcome is known, regardless of how
    often it was resent.
    """

    def test_checker_on_known_histories(self):
        def change(start, end, base, revision, mark, outcome):
            return {
                "operation": "change",
                "start": start,
                "end": end,
                "base": base,
                "revision": revision,
                "mark": mark,
                "outcome": outcome,
            }

        def read(start, end, seen):
            return {"operation": "read", "start": start, "end": end, "seen": seen, "outcome": "ok"}

        one, other = change(0, 2, 0, 3, "a", "applied"), change(1, 3, 0, 3, "b", "applied")
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
            self.assertThat(is_history_linearizable(calls), Equals(wanted), str(calls))

    async def run_rounds(self, seed, rounds):
        run = RandomChanges(seed)
        for turn in range(rounds):
            await run.round(turn)
        return run.calls

    def test_random_histories_with_faults(self):
        for seed in range(900, 908):
            calls = asyncio.run(self.run_rounds(seed, 6))
            response = [{key: call[key] for key in call if key != "sent"} for call in calls]
            self.assertThat(
                is_history_linearizable(calls), Equals(True), f"seed {seed}: {response}"
            )
