"""Runs items of batch jobs in the capacity that live requests leave free.

Each heartbeat tells the log's leader how many items the edge could start and which ones it runs.
The edge runs the items that the response assigns, reports each outcome until it is acknowledged,
and lists a job's results in order while it has the job's listing lease. The leader's response also
renews a lease of `claim_timeout_ms` on the running items: all of them are stopped once it has
expired, and after the process was frozen for longer than that.
"""

from collections.abc import Callable, Iterable
from typing import Any, Protocol, cast

from batch_state import messages
from messaging import Component, Message, decode

from request_routing.batch_execution.item_outcome import ItemDone, ItemOutcome
from request_routing.batch_execution.item_reports import (
    Assignment,
    ItemClaim,
    ItemReports,
    RunningItem,
)
from request_routing.batch_execution.leader_client import LeaderClient

__all__ = ["JobRunner", "RolloutSamples"]

STOPPED_BODY = (
    '{"error":{"verdict":"may_have_run","code":"stopped","message":"stopped while it ran"}}'
)
_NEVER_MS = -1 << 40
_SUCCESSES = (ItemOutcome.RAN, ItemOutcome.FINISHED)
# Heartbeats are sent this many times as often while more work is expected.
_BUSY_HEARTBEAT_RATE = 4

Capacity = tuple[int, Iterable[str]]
"""How many items may start now, and on which routes."""

Start = Callable[[Any, ItemDone], Callable[[], None]]
HeartbeatResponse = messages.EdgeHeartbeatResponse | messages.RolloutHeartbeatResponse


class RolloutSamples(Protocol):
    """Runs samples of rollouts at this edge."""

    def lends(self) -> bool:
        """Whether any profile lends slots to rollouts."""
        ...

    def capacity(self) -> Capacity:
        """Return how many samples may start now, and on which routes."""
        ...

    def on_heartbeat_response(self, response: Any) -> None:
        """Handle the leader's response to a heartbeat."""
        ...


class JobRunner(Component):
    """Sends the edge's heartbeats to the leader and runs the items that the leader assigns.

    Parameters
    ----------
    edge
        Identity of the edge.
    leader
        Client of the log's leader.
    capacity
        Returns how many items may start now, and on which routes.
    start
        Starts an item, calls back with its outcome, body and worker, and returns a function that
        cancels it.

    Attributes
    ----------
    samples
        Runs samples of rollouts, or None.
    paused
        While true, heartbeats report no capacity, so that nothing new is assigned.
    finished
        Number of items that ended successfully.
    """

    __slots__ = (
        "_awaited_heartbeat",
        "_capacity",
        "_expects_work",
        "_heartbeat_count",
        "_heartbeat_epoch",
        "_heartbeat_ms",
        "_items",
        "_job_paths",
        "_leader",
        "_listing_jobs",
        "_reports",
        "_start",
        "edge",
        "finished",
        "paused",
        "samples",
    )

    def __init__(
        self,
        edge: str,
        leader: LeaderClient,
        capacity: Callable[[], Capacity],
        start: Start,
    ) -> None:
        self.edge = edge
        self._leader = leader
        self._capacity = capacity
        self._start = start
        self._items: dict[ItemClaim, RunningItem] = {}
        self._reports = ItemReports(edge, leader, self)
        self._listing_jobs: set[str] = set()
        self._job_paths: set[str] = set()
        self._heartbeat_count = 0
        self._awaited_heartbeat = 0
        self._heartbeat_epoch = 0
        self._heartbeat_ms = _NEVER_MS
        self._expects_work = False
        self.paused = False
        self.samples: RolloutSamples | None = None
        self.finished = 0

    def running(self) -> int:
        """Return how many items are running."""
        return sum(1 for item in self._items.values() if not item.reported)

    def tick(self) -> None:
        """Send the heartbeat and the reports that are due; stop all items if the lease expired."""
        now_ms, settings = self.node.env.now(), self.node.settings
        silent_ms = now_ms - self._leader.heartbeat_answered_ms
        if self.running() and silent_ms > settings.claim_timeout_ms:
            self.stop_all("holder silent")
        period_ms = settings.heartbeat_ms
        if self._expects_work:
            period_ms //= _BUSY_HEARTBEAT_RATE
        leader_changed = self._awaited_heartbeat and self._leader.epoch > self._heartbeat_epoch
        due = now_ms - self._heartbeat_ms >= period_ms
        if leader_changed or (not self._awaited_heartbeat and due):
            self._send_heartbeat()
        self._reports.send(settings.force_ms)

    def _send_heartbeat(self) -> None:
        address = self._leader.address()
        if not address:
            return
        message = self._heartbeat()
        sent_ms = self._heartbeat_ms = self.node.env.now()
        self._heartbeat_epoch = self._leader.epoch
        self._heartbeat_count += 1
        self._awaited_heartbeat = number = self._heartbeat_count
        self._expects_work = False
        self.node.request(
            address,
            message,
            self.node.settings.request_timeout_ms,
            lambda response: self._answered(response, number, sent_ms),
        )

    def _heartbeat(self) -> Message:
        capacity, served = self._capacity_now(self._capacity)
        paths = sorted(self._job_paths.intersection(served))
        running = [f"{job_id}#{index}" for job_id, index in self._items]
        if self.samples is None or not self.samples.lends():
            return messages.EdgeHeartbeat(
                edge=self.edge,
                address=self.node.address,
                capacity=capacity,
                paths=paths,
                running=running,
            )
        sample_capacity, sample_paths = self._capacity_now(self.samples.capacity)
        return messages.RolloutHeartbeat(
            edge=self.edge,
            address=self.node.address,
            capacity=capacity,
            paths=paths,
            running=running,
            sample_capacity=sample_capacity,
            sample_paths=sorted(sample_paths),
        )

    def _capacity_now(self, capacity: Callable[[], Capacity]) -> Capacity:
        return (0, ()) if self.paused else capacity()

    def _answered(self, response: Message | None, number: int, sent_ms: int) -> None:
        newest = number == self._awaited_heartbeat
        if newest:
            self._awaited_heartbeat = 0
        if not isinstance(response, HeartbeatResponse):
            if isinstance(response, messages.NotLeader):
                redirected = self._leader.redirected(response)
                if redirected and newest:
                    self._send_heartbeat()
            return
        if response.epoch < self._leader.epoch:
            return
        self._leader.heartbeat_answered(response, sent_ms)
        self._apply(response)

    def _apply(self, response: HeartbeatResponse) -> None:
        """Apply the leader's response: stop jobs, run items, list results."""
        for job_id in response.closed_jobs:
            self.stop(job_id, "lot over")
        if isinstance(response, messages.RolloutHeartbeatResponse) and self.samples is not None:
            self.samples.on_heartbeat_response(response)
        assignments = [cast(Assignment, decode(data)) for data in response.work]
        for assignment in assignments:
            self._start_item(assignment)
        for data in response.listing_leases:
            lease = cast(messages.ListingLease, decode(data))
            self.listing_granted(lease.job_id, lease.epoch, lease.up_to)
        new_paths = set(response.paths) - self._job_paths
        self._job_paths |= new_paths
        self._expects_work = response.waiting > 0 or any(
            not _is_rollout(item) for item in self._items.values()
        )
        got_forwarded = any(isinstance(row, messages.ForwardAssignment) for row in assignments)
        if (new_paths or got_forwarded) and not self.paused:
            self.reports_sent()

    def reports_sent(self) -> None:
        """Send a heartbeat, as there may be free capacity, unless one is in flight."""
        if not self._awaited_heartbeat:
            self._send_heartbeat()

    def _start_item(self, assignment: Assignment) -> None:
        item = RunningItem(assignment)
        if item.claim in self._items:
            return
        self._items[item.claim] = item
        item.cancel = self._start(
            assignment, lambda outcome, body, worker: self._item_ended(item, outcome, body, worker)
        )

    def _item_ended(self, item: RunningItem, outcome: str, body: Any, worker: str) -> None:
        if not self.is_current(item) or item.reported:
            return
        item.reported = True
        self.finished += outcome in _SUCCESSES
        self._reports.add(item, outcome, body, worker, self.node.settings.force_ms)

    def is_current(self, item: RunningItem) -> bool:
        """Whether the item was neither stopped nor acknowledged."""
        return self._items.get(item.claim) is item

    def acknowledged(self, items: list[RunningItem]) -> None:
        """Remove items whose outcomes the leader has acknowledged."""
        for item in items:
            if self.is_current(item):
                del self._items[item.claim]
            if not _is_rollout(item):
                self._expects_work = True

    def listing_granted(self, job_id: str, epoch: int, up_to: int) -> None:
        """List a job's results up to an index, under the listing lease of this epoch.

        Does nothing while an earlier listing of the job is in flight.
        """
        if job_id in self._listing_jobs:
            return
        self._listing_jobs.add(job_id)
        self._leader.request(
            messages.AdvanceListing(job_id=job_id, edge=self.edge, epoch=epoch, up_to=up_to),
            self.node.settings.request_timeout_ms,
            lambda response: self._listing_jobs.discard(job_id),
        )

    def stop(self, job_id: str, reason: str) -> None:
        """Stop all items of one batch job without reporting their outcomes."""
        claims = [claim for claim in self._items if claim[0] == job_id]
        for claim in claims:
            self._items.pop(claim).cancel()
        self._log_stopped(claims, reason)

    def stop_all(self, reason: str) -> None:
        """Stop all items and report their outcomes, so that their jobs can continue elsewhere.

        An item that may not run twice is reported as one that may have run; forwarded items and
        idempotent ones are returned.
        """
        items = [item for item in self._items.values() if not item.reported]
        for item in items:
            item.cancel()
            if isinstance(item.assignment, messages.ForwardAssignment):
                self._item_ended(item, ItemOutcome.AGAIN, b"", "")
            elif item.assignment.safe:
                self._item_ended(item, ItemOutcome.AGAIN, STOPPED_BODY, "")
            else:
                self._item_ended(item, ItemOutcome.MAY_HAVE_RUN, STOPPED_BODY, "")
        self._log_stopped([item.claim for item in items], reason)

    def _log_stopped(self, claims: list[ItemClaim], reason: str) -> None:
        if claims:
            self.node.env.log(
                "items-stopped",
                jobs=sorted({job_id for job_id, _ in claims}),
                count=len(claims),
                reason=reason,
            )

    def resumed(self, gap_ms: int) -> None:
        """Stop all items if the process was frozen for longer than `claim_timeout_ms`."""
        if gap_ms > self.node.settings.claim_timeout_ms:
            self.stop_all("frozen")


def _is_rollout(item: RunningItem) -> bool:
    return isinstance(item.assignment, messages.RolloutAssignment)
