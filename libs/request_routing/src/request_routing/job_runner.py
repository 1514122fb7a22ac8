"""Runs batches (lots) in the room that live traffic leaves.

Each heartbeat tells the leader of the log how many items the edge could start and what it runs. The
edge runs what it is assigned, reports each end until that is acknowledged, and publishes results in
order while it has a batch's listing lease. The ends of forwarded items are reported
together, as many as there are while the report before is in flight. An answer from the leader is a
lease on all this: without one for too long, or after the process was frozen, everything that runs
is stopped.
"""

from collections.abc import Callable
from typing import Any

from batch_state import messages as m
from messaging import Component, Message, decode, encode

from request_routing.leader_client import LeaderClient

__all__ = ["JobRunner"]

STOPPED_BODY = (
    '{"error":{"verdict":"may_have_run","code":"stopped","message":"stopped while it ran"}}'
)
Start = Callable[
    [m.ItemAssignment | m.ForwardAssignment, Callable[[str, Any, str], None]], Callable[[], None]
]
_REPORT_BYTES = 1 << 20


class _Run:
    __slots__ = ("cancel", "reported", "work")

    def __init__(self, work: m.ItemAssignment | m.ForwardAssignment) -> None:
        self.work = work
        self.cancel: Callable[[], None] = lambda: None
        self.reported = False


class JobRunner(Component):
    """Sends the edge's heartbeats to the leader and runs the items that it is assigned.

    `room` gives how many items may start now, and on which paths; `start` runs one item, calls back
    with outcome, body and worker, and returns what stops it. `samples`, if set, runs rollouts.
    """

    __slots__ = (
        "_asked_epoch",
        "_asked_ms",
        "_asking",
        "_beats",
        "_ends",
        "_holder",
        "_job_paths",
        "_placing",
        "_reporting",
        "_room",
        "_runs",
        "_start",
        "_wish",
        "edge",
        "finished",
        "paused",
        "samples",
    )

    def __init__(
        self,
        edge: str,
        holder: LeaderClient,
        room: Callable[[], tuple[int, frozenset[str]]],
        start: Start,
    ) -> None:
        self.edge = edge
        self._holder = holder
        self._room = room
        self._start = start
        self._runs: dict[tuple[str, int], _Run] = {}
        self._placing: set[str] = set()
        self._asking = self._beats = 0
        self._asked_epoch = 0
        self._asked_ms = -1 << 40
        self._wish = False
        self._job_paths: set[str] = set()
        self._ends: list[tuple[_Run, bytes]] = []
        self._reporting = False
        self.paused = False
        self.samples: Any = None
        self.finished = 0

    def running(self) -> int:
        """Return how many items run that have not ended."""
        return sum(1 for run in self._runs.values() if not run.reported)

    def tick(self) -> None:
        """Send a heartbeat and reports that are due; stop everything once the lease has run out."""
        now_ms = self.node.env.now()
        settings = self.node.settings
        if self.running() and now_ms - self._holder.heard_ms > settings.claim_timeout_ms:
            self.stop_all("holder silent")
        due_ms = settings.heartbeat_ms // 4 if self._wish else settings.heartbeat_ms
        moved = self._asking and self._holder.epoch > self._asked_epoch
        if moved or (not self._asking and now_ms - self._asked_ms >= due_ms):
            self._beat()
        self._report_ends()

    def _beat(self) -> None:
        address = self._holder.address()
        if not address:
            return
        room, served = (0, frozenset()) if self.paused else self._room()
        asked_ms = self._asked_ms = self.node.env.now()
        self._asked_epoch = self._holder.epoch
        self._beats += 1
        self._asking = number = self._beats
        self._wish = False
        running = [f"{job_id}#{index}" for job_id, index in self._runs]
        told = {
            "edge": self.edge,
            "address": self.node.address,
            "capacity": room,
            "paths": sorted(served & self._job_paths),
            "running": running,
        }
        beat: Message = m.EdgeHeartbeat(**told)
        if self.samples is not None and self.samples.lends():
            sample_room, sample_paths = (0, ()) if self.paused else self.samples.room()
            beat = m.RolloutHeartbeat(
                **told, sample_capacity=sample_room, sample_paths=sorted(sample_paths)
            )
        self.node.request(
            address,
            beat,
            self.node.settings.request_timeout_ms,
            lambda receipt: self._answered(receipt, number, asked_ms),
        )

    def _answered(self, receipt: Message | None, number: int, asked_ms: int) -> None:
        last = number == self._asking
        if last:
            self._asking = 0
        if not isinstance(receipt, m.EdgeHeartbeatResponse | m.RolloutHeartbeatResponse):
            if isinstance(receipt, m.NotLeader) and self._holder.redirected(receipt) and last:
                self._beat()
            return
        if receipt.epoch < self._holder.epoch:
            return
        self._holder.heard(receipt, asked_ms)
        for job_id in receipt.closed_jobs:
            self.stop(job_id, "lot over")
        if isinstance(receipt, m.RolloutHeartbeatResponse) and self.samples is not None:
            self.samples.told(receipt)
        work = [decode(data) for data in receipt.work]
        for row in work:
            self._take(row)
        for data in receipt.listing_leases:
            listing_lease = decode(data)
            self._place(listing_lease.job_id, listing_lease.epoch, listing_lease.up_to)
        fresh = set(receipt.paths) - self._job_paths
        self._job_paths |= fresh
        self._wish = receipt.waiting > 0 or any(
            not isinstance(run.work, m.RolloutAssignment) for run in self._runs.values()
        )
        if (fresh or any(isinstance(row, m.ForwardAssignment) for row in work)) and not self.paused:
            self._beat_now()

    def _beat_now(self) -> None:
        """Send a heartbeat at once, as there may be room again."""
        if not self._asking:
            self._beat()

    # -- items ---------------------------------------------------------------------------------

    def _take(self, work: m.ItemAssignment) -> None:
        key = (work.job_id, work.index)
        if key in self._runs:
            return
        run = self._runs[key] = _Run(work)
        run.cancel = self._start(
            work, lambda outcome, body, worker: self._ended(run, outcome, body, worker)
        )

    def _ended(self, run: _Run, outcome: str, body: str, worker: str) -> None:
        key = (run.work.job_id, run.work.index)
        if self._runs.get(key) is not run or run.reported:
            return
        run.reported = True
        self.finished += outcome in ("ran", "finished")
        if isinstance(run.work, m.ForwardAssignment):
            self._report_end(run, outcome, body, worker)
        else:
            self._report(run, outcome, body, worker)

    def _report_end(self, run: _Run, outcome: str, text: bytes, worker: str) -> None:
        work = run.work
        self._ends.append(
            (
                run,
                encode(
                    m.ItemOutcome(
                        job_id=work.job_id,
                        index=work.index,
                        claim_number=work.claim_number,
                        outcome=outcome,
                        text=text,
                        worker=worker,
                    )
                ),
            )
        )
        self._report_ends()

    def _report_ends(self) -> None:
        if self._reporting:
            return
        rows: list[tuple[_Run, bytes]] = []
        size_bytes = 0
        while self._ends and size_bytes < _REPORT_BYTES:
            run, data = self._ends.pop(0)
            if self._runs.get((run.work.job_id, run.work.index)) is run:
                rows.append((run, data))
                size_bytes += len(data)
        if not rows:
            return
        self._reporting = True

        def told(receipt: Any) -> None:
            self._reporting = False
            if receipt is None or not receipt.ok:
                self._ends[:0] = rows
                return
            for run, _ in rows:
                if self._runs.get((run.work.job_id, run.work.index)) is run:
                    del self._runs[(run.work.job_id, run.work.index)]
            self._wish = True
            self._report_ends()

        self._holder.ask(
            m.ReportItemOutcomes(edge=self.edge, rows=[data for _, data in rows]),
            self.node.settings.force_ms,
            told,
        )
        self._beat_now()

    def _report(self, run: _Run, outcome: str, body: str, worker: str) -> None:
        key = (run.work.job_id, run.work.index)

        def told(receipt: Any) -> None:
            if self._runs.get(key) is not run:
                return
            if receipt is None or not receipt.ok:
                self._report(run, outcome, body, worker)
                return
            del self._runs[key]
            self._wish = self._wish or not isinstance(run.work, m.RolloutAssignment)
            if receipt.listing_epoch:
                self._place(run.work.job_id, receipt.listing_epoch, receipt.up_to)

        self._holder.ask(
            m.ReportResult(
                job_id=run.work.job_id,
                index=run.work.index,
                claim_number=run.work.claim_number,
                outcome=outcome,
                body=body,
                worker=worker,
                edge=self.edge,
            ),
            self.node.settings.force_ms,
            told,
        )

    def _place(self, job_id: str, epoch: int, up_to: int) -> None:
        if job_id in self._placing:
            return
        self._placing.add(job_id)
        self._holder.ask(
            m.AdvanceListing(job_id=job_id, edge=self.edge, epoch=epoch, up_to=up_to),
            self.node.settings.request_timeout_ms,
            lambda receipt: self._placing.discard(job_id),
        )

    # -- stopping ------------------------------------------------------------------------------

    def stop(self, job_id: str, reason: str) -> None:
        """Stop all items of one batch, without reporting them."""
        self._stop([key for key in self._runs if key[0] == job_id], reason)

    def stop_all(self, reason: str) -> None:
        """Stop everything and report what each item came to; the batches may continue elsewhere."""
        runs = [run for run in self._runs.values() if not run.reported]
        for run in runs:
            run.cancel()
            if isinstance(run.work, m.ForwardAssignment):
                self._ended(run, "again", b"", "")
            else:
                self._ended(run, "again" if run.work.safe else "may_have_run", STOPPED_BODY, "")
        self._note([(run.work.job_id, run.work.index) for run in runs], reason)

    def _stop(self, keys: list[tuple[str, int]], reason: str) -> None:
        for key in keys:
            run = self._runs.pop(key)
            run.cancel()
        self._note(keys, reason)

    def _note(self, keys: list[tuple[str, int]], reason: str) -> None:
        if keys:
            self.node.env.log(
                "items-stopped",
                jobs=sorted({job_id for job_id, _ in keys}),
                count=len(keys),
                reason=reason,
            )

    def resumed(self, gap_ms: int) -> None:
        """Stop everything if the process was frozen for longer than `claim_timeout_ms`."""
        if gap_ms > self.node.settings.claim_timeout_ms:
            self.stop_all("frozen")
