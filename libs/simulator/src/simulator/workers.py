"""A simulated model worker, with slots, heartbeats to random edges, and runs that stream events.

It can crash in the middle of a run, become unresponsive, leave, or be replaced at its address.
"""

from collections.abc import Callable
from typing import Any

from request_routing import WorkerUpdate

from simulator.history import RowKind
from simulator.worker_runs import Reply, ReplyPart, WorkerRun, prompt_fields

__all__ = ["SimWorker"]

_HEARTBEAT_INTERVAL_MS = 300.0
_EVENT_COUNT = 6
_EVENT_MS = 12.0


class SimWorker:
    """A worker; `incarnation` distinguishes it from earlier workers with the same identity.

    A run has `event_count` events, each of which takes 0.5 to 1.5 times `event_ms`. While
    `unresponsive`, the worker sends no heartbeats, ignores requests and makes no progress.
    `watches_connections` is whether it is told when an edge closes a connection.
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
        """The identity and incarnation, which requests have to name."""
        return f"{self.identity}/{self.incarnation}"

    @property
    def waiting_count(self) -> int:
        """The number of calls that wait for a slot; 0, as this worker has no queue."""
        return 0

    @property
    def busy(self) -> int:
        """The number of calls that run or wait."""
        return self._running_count + self.waiting_count

    def _send_heartbeats(self) -> None:
        if self.crashed or self.leaving:
            return
        self._heartbeat_count += 1
        if not self.unresponsive:
            self._report(leaving=False)
        self.time.after(
            _HEARTBEAT_INTERVAL_MS * (0.9 + 0.2 * self.time.rng.random()), self._send_heartbeats
        )

    def _report(self, leaving: bool) -> bool:
        """Report to a random reachable edge; return whether there is one."""
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
        """Refuse further requests, and report this to an edge.

        The departure is recorded only if an edge is reachable.
        """
        self.leaving = True
        if self._report(leaving=True):
            self._record_departure("left")

    def crash(self) -> None:
        """End the worker at once; the connections of its runs are lost."""
        self.crashed = True
        self._record_departure("crashed")

    def _record_departure(self, how: str) -> None:
        self.history.add(RowKind.WORKER_LEFT, self.time.now_ms, worker=self.instance_id, how=how)

    def call(
        self,
        headers: dict[str, str],
        body: dict[str, Any],
        reply: Reply,
        is_open: Callable[[], bool],
    ) -> None:
        """Run a request, refuse it, or ignore it while unresponsive.

        Parameters
        ----------
        headers
            The headers of the request.
        body
            The JSON object of its body.
        reply
            Called as `reply(part, *arguments)` for each part of the response, or for the failure of
            the connection; see ReplyPart.
        is_open
            Returns whether the edge still holds the connection open.
        """
        run = WorkerRun(self, headers, body, reply, is_open, self.event_count_of(body["model"]))
        if self.crashed:
            reply(ReplyPart.NO_CONNECTION)
        elif self.unresponsive:
            return
        elif (refusal := self.refusal(headers)) is not None:
            run.refuse(*refusal)
        else:
            self.accept(run)

    def event_count_of(self, path: str) -> int:
        """Return the number of events of a run on `path`."""
        return self.event_count

    def extra_headers(self) -> list[tuple[str, str]]:
        """Return headers of all responses in addition to the worker's and the request's ids."""
        return []

    def refusal(self, headers: dict[str, str]) -> tuple[int, str] | None:
        """Return the status and code of a refusal, or None if the request is accepted.

        Requests for another incarnation are refused, and all requests while the worker leaves or
        has twice as many calls as slots.
        """
        if headers["X-Vaneledge-Worker"] != self.instance_id:
            return 409, "wrong-worker"
        if self.busy >= 2 * self.slots or self.leaving:
            return 429, "busy"
        return None

    def accept(self, run: WorkerRun) -> None:
        """Start a run; its first output follows after `event_ms`."""
        self._running_count += 1
        self.record_run(run)
        self.time.after(self.event_ms, lambda: run.write_event(0))

    def record_run(self, run: WorkerRun, **details: Any) -> None:
        """Record the start of a run."""
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
        """Return whether an accepted run has not been finished; always true for this worker."""
        return True

    def is_abandoned(self, run: WorkerRun, index: int) -> bool:
        """Return whether the caller has disconnected; not noticed before the first event."""
        return index > 0 and not run.is_open()

    def finish(self, run: WorkerRun) -> None:
        """Free the slot of a run."""
        self._running_count -= 1
