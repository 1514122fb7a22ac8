"""Dealing items out to edges.

A claim is in the log before the edge hears of it, and settled if the item isn't safe to repeat. An
edge that falls silent loses its claims: safe items are dealt again under a higher number, others
are listed as `may_have_run`. The listing lease of a lot, the right to list its results, goes to the
edge that finished the next result; a lost one is issued again under a higher epoch. A heartbeat
with free capacity that finds no work is held for one heartbeat's time, so that forwarded items are
dispatched as they come.
"""

from collections.abc import Callable
from typing import Any

from messaging import Message, encode

from batch_state import entries as e
from batch_state import messages as m
from batch_state.item_completion import ItemCompletion
from batch_state.item_selection import ItemSelector
from batch_state.jobs import Job

__all__ = ["ItemDispatcher"]

_UNKNOWN_BODY = (
    '{"error":{"verdict":"may_have_run","code":"edge-lost",'
    '"message":"the node running this item was lost"}}'
)


Reply = Callable[[Message], None]


class _Held:
    """An edge's heartbeat that waits for work."""

    __slots__ = ("due_ms", "message", "reply")

    def __init__(self, message: m.EdgeHeartbeat, reply: Reply, due_ms: int) -> None:
        self.message, self.reply, self.due_ms = message, reply, due_ms


class ItemDispatcher:
    """Deals items under one holder.

    `log_ms` is the log's own time, `profiles` returns the number and the tree of the profiles known
    here, and `woke` gets the lots in which something was settled. `outlook` says whether the lots
    will be done in time beside rollouts; without it no rollout is dealt.
    """

    __slots__ = (
        "_addresses",
        "_claimed_ms",
        "_edges",
        "_endings",
        "_gone",
        "_held",
        "_holder",
        "_log_ms",
        "_node",
        "_outlook",
        "_picker",
        "_since_ms",
    )

    def __init__(
        self,
        holder: Any,
        node: Any,
        log_ms: Callable[[], int] = lambda: 0,
        profiles: Callable[[], tuple[int, Any]] = lambda: (0, None),
        woke: Callable[[set[str]], None] = lambda job_ids: None,
        outlook: Any = None,
    ) -> None:
        self._outlook = outlook
        self._holder = holder
        self._node = node
        self._log_ms = log_ms
        self._since_ms = node.env.now()
        self._edges: dict[str, int] = {}
        self._addresses: dict[str, str] = {}
        self._gone: set[str] = set()
        self._held: dict[str, _Held] = {}
        self._claimed_ms: dict[tuple[str, int], int] = {}
        self._picker = ItemSelector(holder, node, log_ms, outlook, lambda: self._rollouts()[1])
        self._endings = ItemCompletion(holder, node, log_ms, profiles, woke, self._live)

    def beat(self, message: m.EdgeHeartbeat, reply: Reply) -> None:
        """Answer an edge's heartbeat, at once or when there is something to say."""
        now_ms = self._node.env.now()
        self._hear(message, now_ms)
        self._return_unheard(message)
        self._held.pop(message.edge, None)
        if not self._answer(message, reply, False):
            self._held[message.edge] = _Held(
                message, reply, now_ms + self._node.settings.heartbeat_ms
            )

    def _hear(self, message: m.EdgeHeartbeat, now_ms: int) -> None:
        """Note that an edge is alive; of two edges at one address the earlier one has ended."""
        self._edges[message.edge] = now_ms
        before = self._addresses.get(message.address, message.edge)
        self._addresses[message.address] = message.edge
        if before != message.edge:
            self._gone.add(before)
            self._held.pop(before, None)

    def wake(self) -> None:
        """Offer new work or stops to the edges whose heartbeats are held."""
        for edge, held in list(self._held.items()):
            if self._answer(held.message, held.reply, False):
                self._held.pop(edge, None)

    def stop(self, reply: Message) -> None:
        """Answer all held heartbeats with a message, because this holder's epoch is over."""
        held, self._held = self._held, {}
        for row in held.values():
            row.reply(reply)

    def _answer(self, message: m.EdgeHeartbeat, reply: Reply, now: bool) -> bool:
        """Answer a heartbeat; return False if it may wait for something to be said."""
        state = self._holder.state
        stops = sorted(
            job_id
            for job_id in {row.rpartition("#")[0] for row in message.running}
            if self._over(job_id)
        )
        listing_leases = [
            encode(m.ListingLease(job_id=job.job_id, epoch=job.listing_epoch, up_to=job.listable))
            for job in state.open_jobs.values()
            if job.listable > job.listed and job.listing_edge == message.edge and job.listing_epoch
        ]
        for job in list(state.open_jobs.values()):
            if job.listable > job.listed and not self._live(job.listing_edge):
                self._grant_listing_lease(job, message.edge)
        work, safe_only = self._picker.pick(message, self._live_edges)
        waiting, paths = self._waiting()
        samples_out, recalled = self._rollouts()
        lends = isinstance(message, m.RolloutHeartbeat)
        if not (
            now
            or not message.capacity
            or work
            or listing_leases
            or stops
            or set(paths) - set(message.paths)
            or lends
            and samples_out
        ):
            return False

        def logged(outcome: str) -> None:
            rows = work if outcome == "kept" else []
            told = {
                "epoch": self._holder.epoch,
                "holder_ms": self._node.env.now(),
                "work": [encode(row) for row in rows],
                "listing_leases": listing_leases,
                "stops": stops,
                "waiting": waiting,
                "paths": paths,
            }
            reply(
                m.RolloutHeartbeatResponse(**told, samples_out=samples_out, recalled=recalled)
                if lends
                else m.EdgeHeartbeatResponse(**told)
            )

        if not work:
            logged("kept")
            return True
        self._claimed_ms.update({(row.job_id, row.index): self._node.env.now() for row in work})
        self._holder.append(self._claims(work, message.edge), not safe_only, logged)
        return True

    def _claims(self, work: list[Any], edge: str) -> list[Message]:
        rows: list[Message] = []
        forward: dict[str, e.ItemsClaimed] = {}
        for row in work:
            if isinstance(row, m.ForwardAssignment):
                if row.job_id not in forward:
                    forward[row.job_id] = e.ItemsClaimed(
                        job_id=row.job_id, edge=edge, indexes=[], numbers=[]
                    )
                    rows.append(forward[row.job_id])
                forward[row.job_id].indexes.append(row.index)
                forward[row.job_id].numbers.append(row.number)
            else:
                rows.append(
                    e.ItemClaimed(job_id=row.job_id, index=row.index, edge=edge, number=row.number)
                )
        return rows

    def _over(self, job_id: str) -> bool:
        """Whether a lot is over and settled, so that an edge may forget what it ran of it."""
        job = self._holder.committed_state.jobs.get(job_id)
        return not job.open if job is not None else job_id not in self._holder.state.jobs

    def _waiting(self) -> tuple[int, list[str]]:
        """Return how many items wait and on which paths, for which edges then offer room."""
        jobs = [
            job
            for job in self._holder.state.open_jobs.values()
            if not job.rollout or self._outlook is not None
        ]
        return sum(job.waiting for job in jobs if not job.rollout), sorted(
            {job.path for job in jobs if job.waiting}
        )

    def _rollouts(self) -> tuple[int, bool]:
        """Return how many samples are or may be out, and whether a lot needs their slots."""
        if self._outlook is None:
            return 0, False
        out = sum(
            len(job.claims) + 1 for job in self._holder.state.open_jobs.values() if job.rollout
        )
        return out, self._outlook.at_risk(self._holder.state, self._log_ms(), self._node.env.log)

    def _return_unheard(self, message: m.EdgeHeartbeat) -> None:
        """Return claims whose notice was lost: the edge doesn't list them as running.

        It would no longer accept the notice.
        """
        now_ms = self._node.env.now()
        running = set(message.running)
        rows: list[Message] = []
        for job in self._holder.state.open_jobs.values():
            for index, item in job.claims.items():
                if item.edge != message.edge or f"{job.job_id}#{index}" in running:
                    continue
                if (
                    now_ms - self._claimed_ms.get((job.job_id, index), self._since_ms)
                    > 2 * self._node.settings.request_timeout_ms
                ):
                    rows.append(e.ItemReturned(job_id=job.job_id, index=index, number=item.number))
        if rows:
            self._holder.append(rows, False, lambda outcome: None, True)

    def _live_edges(self) -> int:
        return sum(1 for edge in self._edges if self._live(edge))

    def _end_rollouts(self) -> None:
        """End rollouts whose deadline has passed; their listed results stay."""
        log_ms = self._log_ms()
        rows = [
            e.JobCancelled(job_id=job.job_id, at_ms=log_ms)
            for job in self._holder.state.open_jobs.values()
            if job.rollout and 0 < job.expires_ms <= log_ms
        ]
        if rows:
            self._node.env.log("rollouts-out-of-time", jobs=[row.job_id for row in rows])
            self._holder.append(rows, True, lambda outcome: self.wake(), True)

    def end_items(self, message: m.ReportItemOutcomes, reply: Reply) -> None:
        """Take in how an edge's forwarded items ended, in one append."""
        self._edges[message.edge] = self._node.env.now()
        self._endings.take(message, reply, self.wake)

    def finish(self, message: m.ReportResult, reply: Callable[[Message], None]) -> None:
        """Take in how an item ended, or that its claim is returned (`again`).

        For items that aren't safe to repeat the answer waits until this is settled: an edge that
        forgot the item sooner would make it look as if it had never begun.
        """
        state = self._holder.state
        job = state.jobs.get(message.job_id)
        self._edges[message.edge] = self._node.env.now()
        claimed_ms = self._claimed_ms.pop((message.job_id, message.index), None)
        if job is None or job.cancelled or not 0 <= message.index < len(job.items):
            self._holder.append(
                [],
                True,
                lambda outcome: reply(
                    m.ReportResultResponse(ok=outcome == "kept", listing_epoch=0, up_to=0)
                ),
                True,
            )
            return
        item = job.items[message.index]
        if (
            self._outlook is not None
            and not job.rollout
            and message.outcome != "again"
            and claimed_ms is not None
        ):
            self._outlook.took(job.path, self._node.env.now() - claimed_ms)
        rows: list[Message] = []
        if message.outcome == "again":
            if item.state == "claimed" and item.number == message.number:
                rows.append(
                    e.ItemReturned(
                        job_id=message.job_id, index=message.index, number=message.number
                    )
                )
        elif item.state != "finished":
            rows.append(
                e.ItemFinished(
                    job_id=message.job_id,
                    index=message.index,
                    outcome=message.outcome,
                    body=message.body,
                    worker=message.worker,
                )
            )

        def logged(outcome: str) -> None:
            if outcome == "kept" and job.open and job.listable > job.listed:
                if (
                    job.listing_edge == message.edge
                    or not self._live(job.listing_edge)
                    or self._finished_next(job, message)
                ):
                    self._grant_listing_lease(job, message.edge)
            mine = job.listing_edge == message.edge and job.listable > job.listed
            reply(
                m.ReportResultResponse(
                    ok=outcome == "kept",
                    listing_epoch=job.listing_epoch if mine else 0,
                    up_to=job.listable if mine else 0,
                )
            )

        self._holder.append(rows, not job.safe, logged, True)

    def _finished_next(self, job: Job, message: m.ReportResult) -> bool:
        return message.index == job.listed

    def _grant_listing_lease(self, job: Job, edge: str) -> None:
        if job.listing_edge != edge:
            self._holder.append(
                [e.ListingLeaseGranted(job_id=job.job_id, edge=edge, epoch=job.listing_epoch + 1)],
                False,
                lambda outcome: None,
                True,
            )

    def _live(self, edge: str) -> bool:
        if not edge:
            return False
        return (
            self._node.env.now() - self._edges.get(edge, self._since_ms)
            <= self._node.settings.failure_timeout_ms
        )

    def _lost(self, job: Job, edge: str) -> bool:
        """Whether an edge has been silent for so long that its claims are lost.

        That is longer than any edge keeps its claims; silence from before this holder's start
        doesn't count. Forwarded items are safe and due soon, so they are dealt again once their
        edge doesn't count as live.
        """
        if edge in self._gone:
            return True
        if job.forward:
            return not self._live(edge)
        return (
            self._node.env.now() - self._edges.get(edge, self._since_ms)
            > self._node.settings.claim_revocation_ms
        )

    def tick(self) -> None:
        """Answer held heartbeats that are due, and take back claims of lost edges."""
        now_ms = self._node.env.now()
        for edge in [edge for edge, held in self._held.items() if now_ms >= held.due_ms]:
            held = self._held.pop(edge)
            self._answer(held.message, held.reply, True)
        self._endings.give_up()
        self._end_rollouts()
        rows: list[Message] = []
        for job in self._holder.state.open_jobs.values():
            for index, item in job.claims.items():
                if not self._lost(job, item.edge):
                    continue
                if job.safe:
                    rows.append(e.ItemReturned(job_id=job.job_id, index=index, number=item.number))
                else:
                    rows.append(
                        e.ItemFinished(
                            job_id=job.job_id,
                            index=index,
                            outcome="may_have_run",
                            body=_UNKNOWN_BODY,
                            worker="",
                        )
                    )
        if rows:
            self._node.env.log("claims-taken-back", "WARNING", count=len(rows))
            self._holder.append(rows, False, lambda outcome: None, True)
            self.wake()
