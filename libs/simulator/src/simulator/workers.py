"""A simulated model worker, with slots, heartbeats to any edge, and runs that stream events.

It can crash in the middle of a run, fall silent, leave, or be replaced at the same address.
"""

from collections.abc import Callable
from typing import Any

from request_routing import WorkerUpdate

from simulator.history import RowKind
from simulator.worker_runs import Reply, ReplyPart, WorkerRun, prompt_fields

__all__ = ["SimWorker"]

_HEARTBEAT_MS = 300.0
_EVENT_COUNT = 6
_EVENT_MS = 12.0


class SimWorker:
    """A worker; `incarnation` distinguishes it from earlier ones of its identity.

    A run has `event_count` events of about `event_ms` each. While `unresponsive` the worker is
    silent and stands still; `watches_connections` says whether it notices closed ones at once.
    """

    watches_connections = False
    __slots__ = (
        "_fleet",
        "_heartbeat_count",
        "_running_count",
        "address",
        "crashed",
        "event_count",
        "event_ms",
        "history",
        "identity",
        "incarnation",
        "labels",
        "leaving",
        "slots",
        "time",
        "unresponsive",
        "zone",
    )

    def __init__(
        self, fleet: Any, identity: str, address: str, labels: list[str], slots: int, zone: str
    ) -> None:
        self._fleet = fleet
        self.time, self.history = fleet.time, fleet.history
        self.identity, self.address, self.zone = identity, address, zone
        self.labels, self.slots = labels, slots
        self.incarnation = int(self.time.now_ms) + 1
        self.event_count, self.event_ms = _EVENT_COUNT, _EVENT_MS
        self.crashed = self.leaving = self.unresponsive = False
        self._running_count = 0
        self._heartbeat_count = 0
        self._send_heartbeats()

    @property
    def instance_id(self) -> str:
        """Identity and incarnation, by which requests are addressed."""
        return f"{self.identity}/{self.incarnation}"

    @property
    def waiting_count(self) -> int:
        """How many calls wait for a slot; this worker has no queue."""
        return 0

    @property
    def busy(self) -> int:
        """How many calls run or wait."""
        return self._running_count + self.waiting_count

    # -- heartbeats ----------------------------------------------------------------------------

    def _send_heartbeats(self) -> None:
        if self.crashed or self.leaving:
            return
        self._heartbeat_count += 1
        if not self.unresponsive:
            self._report(leaving=False)
        self.time.after(_HEARTBEAT_MS * (0.9 + 0.2 * self.time.rng.random()), self._send_heartbeats)

    def _report(self, leaving: bool) -> bool:
        """Report to a random edge that can be reached; return whether there is one."""
        edges = [
            host
            for host in self._fleet.running("edge")
            if self._fleet.network.passes(self.address, host.address)
        ]
        if not edges:
            return False
        edge = self.time.rng.choice(edges)
        edge.node.registry.apply_update(
            WorkerUpdate(
                identity=self.identity,
                incarnation=self.incarnation,
                address=self.address,
                zone=self.zone,
                labels=self.labels,
                beat=self._heartbeat_count,
                running=self._running_count,
                waiting=self.waiting_count,
                slots=self.slots,
                cache_use=0.0,
                leaving=leaving,
            )
        )
        return True

    def leave(self) -> None:
        """Announce that the worker takes no more requests."""
        self.leaving = True
        if self._report(leaving=True):
            self._record_departure("left")

    def crash(self) -> None:
        """End the worker at once; its runs are cut off."""
        self.crashed = True
        self._record_departure("crashed")

    def _record_departure(self, how: str) -> None:
        self.history.add(RowKind.WORKER_LEFT, self.time.now_ms, worker=self.instance_id, how=how)

    # -- requests ------------------------------------------------------------------------------

    def call(
        self,
        headers: dict[str, str],
        body: dict[str, Any],
        reply: Reply,
        is_open: Callable[[], bool],
    ) -> None:
        """Take a request: run it, refuse it, or nothing at all while unresponsive.

        `reply(part, *arguments)` gets the parts of the answer, or how the connection broke.
        `is_open` says whether the edge still holds its end.
        """
        run = WorkerRun(self, headers, body, reply, is_open, self.events_of(body["model"]))
        if self.crashed:
            reply(ReplyPart.NO_CONNECTION)
        elif self.unresponsive:
            return
        elif (refusal := self.refusal(headers)) is not None:
            run.refuse(*refusal)
        else:
            self.accept(run)

    def events_of(self, path: str) -> int:
        """Return how many events a run on `path` has."""
        return self.event_count

    def extra_headers(self) -> list[tuple[str, str]]:
        """Return headers of each answer besides the worker's and the request's identity."""
        return []

    def refusal(self, headers: dict[str, str]) -> tuple[int, str] | None:
        """Return status and code with which a request is refused, or None if it is accepted."""
        if headers["X-Vaneledge-Worker"] != self.instance_id:
            return 409, "wrong-worker"
        if self.busy >= 2 * self.slots or self.leaving:
            return 429, "busy"
        return None

    def accept(self, run: WorkerRun) -> None:
        """Start a run; its first output follows after the time of one event."""
        self._running_count += 1
        self.record_run(run)
        self.time.after(self.event_ms, lambda: run.write_event(0))

    def record_run(self, run: WorkerRun, **details: Any) -> None:
        """Record that a run has begun."""
        self.history.add(
            RowKind.RUN,
            self.time.now_ms,
            worker=self.instance_id,
            identity=self.identity,
            labels=self.labels,
            address=self.address,
            transaction=run.transaction,
            path=run.path,
            **details,
            **prompt_fields(run.body),
        )

    def is_running(self, run: WorkerRun) -> bool:
        """Return whether a run that was accepted has not been finished."""
        return True

    def is_abandoned(self, run: WorkerRun, index: int) -> bool:
        """Return whether the caller has gone; this is not noticed before the first event."""
        return index > 0 and not run.is_open()

    def finish(self, run: WorkerRun) -> None:
        """Free the slot of a run."""
        self._running_count -= 1
