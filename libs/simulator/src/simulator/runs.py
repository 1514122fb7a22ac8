"""A simulated run, from the start of a fleet to the oracle's judgement.

Random requests are sent and faults are injected for a time. Then all faults are undone, each kind
of request is tried once the fleet has to have recovered, all jobs are read, and acknowledged
changes are sent again.
"""

from collections.abc import Callable
from functools import partial
from typing import Any

from simulator.clients import Clients
from simulator.faults import FAULTS, UNRESPONSIVE, FaultSchedule, schedule
from simulator.fleet import SimFleet
from simulator.history import Row, RowKind
from simulator.operators import BACKLOG_LIMIT, Operators
from simulator.oracle import judge

__all__ = ["SHAPES", "Run", "run_seed"]

SHAPES: dict[str, dict[str, Any]] = {
    "small": {"sizes": {}, "items": (1, 12), "every_ms": 60.0},
    "jade": {
        "sizes": {"edges": 6, "stores": 3, "control": 5, "workers": 7},
        "items": (70, 90),
        "every_ms": 40.0,
    },
    "swan": {
        "sizes": {"edges": 8, "stores": 3, "control": 5, "workers": 6},
        "items": (70, 90),
        "every_ms": 40.0,
    },
}
_LIVE_CALL_PATHS = ("rulings", "rulings", "narrations")
"""The paths of random live calls; one that is listed twice is drawn twice as often."""

_START_LIMIT_MS = 12_000
_SETTLE_MS = 600
_PROBE_LIMIT_MS = 8500
_FINAL_ROUNDS = 4
_FINAL_ROUND_MS = 3000
_RESENT_CHANGES = 8
_GOOD_OUTCOMES = {
    "live": ("finish ",),
    "move": ("finish ",),
    "lot": ("admitted", "waiting-room-full"),
    "change": ("ok", "lost"),
}
"""The kinds of requests that are probed, with the outcomes that show that they work."""


class Run:
    """A fleet with its clients and operators.

    Parameters
    ----------
    seed
        The seed of all random decisions.
    settings
        Settings of the hosts that differ from those of SimFleet.
    items
        The range from which the number of items of a job is drawn, without its end.
    **sizes
        Numbers of hosts and workers, as for SimFleet.
    """

    __slots__ = ("clients", "fleet", "items", "operators", "stopped")

    def __init__(
        self,
        seed: int,
        settings: dict[str, Any] | None = None,
        items: tuple[int, int] = (1, 12),
        **sizes: int,
    ) -> None:
        self.items = items
        self.fleet = SimFleet(seed, settings=settings, **sizes)
        self.fleet.history.settings.update(
            room=BACKLOG_LIMIT,
            allowed=["gpu"],
            limits_ms={"rulings": 2000, "narrations": 5000, "moves": 5000},
        )
        self.clients = Clients(self.fleet)
        self.operators = Operators(self.fleet)
        self.stopped = False

    def start(self) -> None:
        """Start the fleet and its samples; AssertionError if it is not ready in time."""
        fleet = self.fleet
        if not fleet.run_until_true(
            lambda: all(host.node.has_quorum() for host in fleet.with_role("control")),
            _START_LIMIT_MS,
        ):
            raise AssertionError(f"control nodes have no quorum within {_START_LIMIT_MS} ms")
        self.operators.change()
        if not fleet.run_until_true(fleet.ready, _START_LIMIT_MS):
            raise AssertionError(f"the fleet is not ready within {_START_LIMIT_MS} ms")
        if not fleet.run_until_true(fleet.in_serving_set, _START_LIMIT_MS):
            raise AssertionError(
                f"edges and stores are not in the serving set within {_START_LIMIT_MS} ms"
            )
        fleet.run_until_true(lambda: False, _SETTLE_MS)
        fleet.start_sampling()

    def traffic(self, every_ms: float) -> None:
        """Send a random request every 0.5 to 1.5 times `every_ms`, until `stopped` is set."""
        if self.stopped:
            return
        rng, clients = self.fleet.time.rng, self.clients
        draw = rng.random()
        if draw < 0.42:
            clients.make_live_call(
                rng.choice(_LIVE_CALL_PATHS),
                disconnect_after_ms=40.0 if rng.random() < 0.05 else 0.0,
            )
        elif draw < 0.65:
            self._send_call_with_key()
        elif draw < 0.72:
            clients.submit(rng.choice(("summaries", "claims")), rng.randrange(*self.items))
        elif draw < 0.93 and clients.jobs:
            clients.read(rng.choice(list(clients.jobs)[-6:]))
        elif draw < 0.95 and clients.jobs:
            clients.cancel(rng.choice(list(clients.jobs)[-3:]))
        elif draw >= 0.95:
            self.operators.change()
            if rng.random() < 0.5:
                self.operators.change()
        self.fleet.time.after(every_ms * (0.5 + rng.random()), lambda: self.traffic(every_ms))

    def _send_call_with_key(self) -> None:
        """Send a call with a new key; one time in five, reuse the key for another prompt."""
        clients, key = self.clients, f"key{len(self.fleet.history.rows)}"
        clients.make_live_call("moves", key, 3)
        if self.fleet.time.rng.random() < 0.2:
            self.fleet.time.after(
                200 * self.fleet.time.rng.random(),
                lambda: clients.make_live_call("moves", key, question=f"{key}-other"),
            )

    def schedule_faults(self, fault_schedule: FaultSchedule) -> None:
        """Schedule the injection of faults at their times."""
        for at_ms, name in fault_schedule:
            self.fleet.time.after(at_ms - self.fleet.time.now_ms, partial(self._inject, name))

    def _inject(self, name: str) -> None:
        self.fleet.events.append((self.fleet.time.now_ms, "fault", name, {}))
        self.fleet.history.add(RowKind.FAULT, self.fleet.time.now_ms, what=name)
        FAULTS[name](self.fleet)

    def undo_faults(self) -> None:
        """Undo all faults; workers that crashed or left do not return."""
        fleet = self.fleet
        fleet.network.heal()
        for host in fleet.hosts.values():
            if host.disk is not None:
                host.disk.restore_capacity()
            host.wake()
            host.start()
        for worker in fleet.workers.values():
            worker.unresponsive = False
        for row in fleet.history.rows_of(RowKind.WORKER_LEFT):
            if row["how"] == UNRESPONSIVE:
                row["until_ms"] = min(row["until_ms"], fleet.time.now_ms)

    def probe(self, after_ms: float) -> None:
        """Try each kind of request once, after `after_ms`, and record whether it worked.

        The requests are as many live calls as there are edges, a call with a key, a job and a
        change. None is retried. Of the live calls, the last outcome is recorded.
        """
        fleet = self.fleet
        fleet.time.run_until(fleet.time.now_ms + after_ms)
        outcomes = self._send_probes()
        fleet.run_until_true(lambda: len(outcomes) == len(_GOOD_OUTCOMES), _PROBE_LIMIT_MS)
        for what, good in _GOOD_OUTCOMES.items():
            fleet.history.add(
                RowKind.PROBE,
                fleet.time.now_ms,
                what=what,
                worked=outcomes.get(what) in good,
                after_ms=after_ms,
                seen=outcomes.get(what, "nothing"),
            )

    def _send_probes(self) -> dict[str, str]:
        """Send the requests and return a dict that is filled with their outcomes by kind."""
        outcomes: dict[str, str] = {}

        def note_call(what: str, row: Row) -> None:
            outcomes[what] = f"{row['outcome']} {row['code']}"

        def note(what: str, row: Row) -> None:
            outcomes[what] = row["outcome"]

        for _ in self.fleet.with_role("edge"):
            self.clients.make_live_call("rulings", done=partial(note_call, "live"))
        key = f"probe{self.fleet.time.now_ms}"
        self.clients.make_live_call("moves", key, done=partial(note_call, "move"))
        self.clients.submit("summaries", 2, 1, done=partial(note, "lot"))
        self.operators.change(1, done=partial(note, "change"))
        return outcomes

    def read_all(self) -> None:
        """Read every acknowledged job and record what it lists, in up to 4 rounds of 3 s."""
        fleet = self.fleet
        unread = {job_id for job_id, job in self.clients.jobs.items() if job.acknowledged}

        def record(job_id: str, read: Row) -> None:
            if job_id not in unread:
                return
            unread.discard(job_id)
            fleet.history.add(
                RowKind.FINAL_READ,
                fleet.time.now_ms,
                lot=job_id,
                outcome=read["outcome"],
                listed=read["listed"],
            )

        for _ in range(_FINAL_ROUNDS):
            for job_id in sorted(unread):
                self.clients.read(job_id, partial(record, job_id))
            fleet.run_until_true(lambda: not unread, _FINAL_ROUND_MS)


def run_seed(
    seed: int,
    faults: int = 6,
    span_ms: float = 12_000,
    only: list[str] | None = None,
    fault_schedule: FaultSchedule | None = None,
    settings: dict[str, Any] | None = None,
    shape: str = "small",
    on_started: Callable[[Run], None] = lambda run: None,
) -> tuple[dict[str, list[str]], Run]:
    """Simulate a run and judge it; return the breaches by rule, and the run.

    Parameters
    ----------
    seed
        The seed of all random decisions.
    faults
        The number of faults that are drawn; ignored if `fault_schedule` is given.
    span_ms
        How long requests are sent and faults injected.
    only
        The names of the faults that may be drawn, by default all.
    fault_schedule
        A schedule of faults, with times from the start of the requests.
    settings
        Settings of the hosts that differ from those of SimFleet.
    shape
        The name of an entry of SHAPES.
    on_started
        Called with the run once its fleet has started.
    """
    shaped = SHAPES[shape]
    run = Run(seed, settings, shaped["items"], **shaped["sizes"])
    run.start()
    on_started(run)
    fleet = run.fleet
    start_ms = fleet.time.now_ms
    planned = (
        fault_schedule
        if fault_schedule is not None
        else schedule(fleet.time.rng, 500, span_ms - 1000, faults, only)
    )
    run.schedule_faults([(start_ms + at_ms, name) for at_ms, name in planned])
    run.traffic(shaped["every_ms"])
    fleet.time.run_until(start_ms + span_ms)
    run.stopped = True
    run.undo_faults()
    run.probe(fleet.hosts["edge1"].settings.resume_ms)
    run.read_all()
    run.operators.resend_acknowledged(_RESENT_CHANGES)
    return judge(fleet.history), run
