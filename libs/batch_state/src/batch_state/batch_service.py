"""The holder's request handler, here called the desk: it decides, logs, and answers edges.

Admission is exact because only the holder admits, and it counts what it has logged, settled or not.
Answers that clients may rely on wait until they are settled, that is durable on f+1 disks. A store
that isn't the holder answers who is.
"""

from collections import Counter
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from messaging import Component, Message, Origin

from batch_state import entries as e
from batch_state import messages as m
from batch_state.admission import JobAdmission
from batch_state.forward_reads import ForwardJobReader
from batch_state.item_dispatch import ItemDispatcher
from batch_state.job_responses import JobReader, job_response
from batch_state.jobs import Job
from batch_state.leader_replies import KEPT, LeaderReplies
from batch_state.state import BatchState

__all__ = ["BatchService"]

_LOT_KEEP_FACTOR = 7


class BatchService(Component):
    """Handles the requests of edges while this store holds the log.

    `profiles` returns the number and the tree of the profiles in force here, `who_holds` the
    holder's epoch and address as far as this store knows, `settled` the settled ledger.
    """

    __slots__ = (
        "_admission",
        "_answers",
        "_base_ms",
        "_dealer",
        "_holder",
        "_jobs",
        "_office_ms",
        "_profiles",
        "_reading",
        "_settled",
        "_swept_ms",
        "_who_holds",
        "counts",
        "make_forecast",
        "mend",
        "shelves",
    )
    HANDLES = (
        m.EdgeHeartbeat,
        m.RolloutHeartbeat,
        m.SubmitRollout,
        m.SubmitJob,
        m.GetJob,
        m.ListResults,
        m.CancelJob,
        m.ReportResult,
        m.AdvanceListing,
        m.OpenKey,
        m.CloseKey,
        m.SubmitForwardJob,
        m.ReportItemOutcomes,
        m.ListForwardResults,
        m.GetItem,
    )

    def __init__(
        self,
        profiles: Callable[[], tuple[int, Any]],
        who_holds: Callable[[], tuple[int, str]],
        settled: Callable[[], BatchState],
    ) -> None:
        self._profiles = profiles
        self._who_holds = who_holds
        self._settled = settled
        self._holder: Any = None
        self._dealer: ItemDispatcher | None = None
        self._reading: ForwardJobReader | None = None
        self._answers: LeaderReplies | None = None
        self._admission: JobAdmission | None = None
        self._jobs: JobReader | None = None
        self._swept_ms = 0
        self._base_ms = self._office_ms = 0
        self.counts: dict[str, int] = {}
        self.shelves: Any = None
        self.make_forecast: Callable[[], Any] | None = None
        self.mend: Callable[[str, str], None] = lambda kind, name: None

    def take_holder(self, holder: Any) -> None:
        """Start to serve under a holder, or stop if it is None.

        Requests that are being held are answered that this store isn't the holder any more.
        """
        for part in (self._dealer, self._reading):
            if part is not None:
                part.stop(self._not_holder())
        self._holder = holder
        self._office_ms = self.node.env.now()
        self._dealer = self._reading = None
        if holder is not None:
            ages = [
                row.at_ms
                for rows in (holder.state.jobs, holder.state.keys)
                for row in rows.values()
            ]
            self._base_ms = max(ages, default=self.node.env.wall())
            self._reading = ForwardJobReader(
                holder, self.node, self._settled, self.shelves, self.mend
            )
            self._dealer = ItemDispatcher(
                holder,
                self.node,
                self._log_ms,
                self._profiles,
                self._reading.wake,
                self.make_forecast() if self.make_forecast is not None else None,
            )
            self._answers = LeaderReplies(holder, self.node)
            self._admission = JobAdmission(
                holder, self.node, self._answers, self._profiles, self._log_ms, self._dealer.wake
            )
            self._jobs = JobReader(
                holder,
                self._settled,
                lambda: self.shelves,
                lambda kind, name: self.mend(kind, name),
            )

    def _not_holder(self) -> m.NotLeader:
        epoch, address = self._who_holds()
        return m.NotLeader(epoch=epoch, address=address)

    def receive(self, message: Message, origin: Origin) -> None:
        """Handle a request of an edge."""
        if self._holder is None or self._holder.deposed:
            self.node.reply(origin, self._not_holder())
            return
        name = type(message).__name__
        self.counts[name] = self.counts.get(name, 0) + 1
        self._on(message, origin)

    def backlogs(self) -> dict[str, int]:
        """Return how many lots are open on each path; empty unless this store is the holder."""
        if self._holder is None or self._holder.deposed:
            return {}
        return dict(
            Counter(job.path for job in self._holder.state.open_jobs.values() if not job.rollout)
        )

    @singledispatchmethod
    def _on(self, message: Message, origin: Origin) -> None:
        raise TypeError(type(message).__name__)

    # -- lots ----------------------------------------------------------------------------------

    @_on.register(m.SubmitJob)
    @_on.register(m.SubmitRollout)
    @_on.register(m.SubmitForwardJob)
    def _(self, message: Message, origin: Origin) -> None:
        self._admission.receive(message, origin)

    @_on.register
    def _(self, message: m.GetJob, origin: Origin) -> None:
        self._answers.when_confirmed(
            origin,
            lambda ok: (
                self._jobs.job(message.job_id)
                if ok
                else job_response("unknown", message.job_id, None)
            ),
        )

    @_on.register
    def _(self, message: m.ListResults, origin: Origin) -> None:
        self._answers.when_confirmed(
            origin,
            lambda ok: (
                self._jobs.results(message)
                if ok
                else m.ListResultsResponse(
                    outcome="unknown", rows=[], listed=0, total=0, cancelled=False
                )
            ),
        )

    @_on.register
    def _(self, message: m.CancelJob, origin: Origin) -> None:
        job = self._holder.state.jobs.get(message.job_id)
        if job is None:
            self._answers.when_confirmed(
                origin,
                lambda ok: job_response("missing" if ok else "unknown", message.job_id, None),
            )
        elif not job.open:
            self._answers.when_settled(
                origin, lambda ok: job_response("known" if ok else "unknown", message.job_id, job)
            )
        else:
            self._answers.log(
                origin,
                [e.JobCancelled(job_id=message.job_id, at_ms=self._log_ms())],
                lambda outcome: self._ended(job, outcome),
                urgent=True,
            )

    def _ended(self, job: Job, outcome: str) -> m.JobResponse:
        if self._dealer is not None and outcome == KEPT:
            self._dealer.wake()
            self._reading.wake({job.job_id})
        return job_response("known" if outcome == KEPT else outcome, job.job_id, job)

    @_on.register
    def _(self, message: m.ListForwardResults, origin: Origin) -> None:
        self._reading.read(message, lambda receipt: self.node.reply(origin, receipt))

    @_on.register
    def _(self, message: m.GetItem, origin: Origin) -> None:
        self._reading.item(message, lambda receipt: self.node.reply(origin, receipt))

    # -- items ---------------------------------------------------------------------------------

    @_on.register(m.EdgeHeartbeat)
    @_on.register(m.RolloutHeartbeat)
    def _(self, message: m.EdgeHeartbeat | m.RolloutHeartbeat, origin: Origin) -> None:
        self._dealer.beat(message, lambda receipt: self.node.reply(origin, receipt))

    @_on.register
    def _(self, message: m.ReportResult, origin: Origin) -> None:
        self._dealer.finish(message, lambda receipt: self.node.reply(origin, receipt))

    @_on.register
    def _(self, message: m.ReportItemOutcomes, origin: Origin) -> None:
        self._dealer.end_items(message, lambda receipt: self.node.reply(origin, receipt))

    @_on.register
    def _(self, message: m.AdvanceListing, origin: Origin) -> None:
        job = self._holder.state.jobs.get(message.job_id)
        may = (
            job is not None
            and job.open
            and message.epoch == job.listing_epoch
            and message.edge == job.listing_edge
            and job.listed < message.up_to <= job.listable
        )
        if not may:
            self.node.reply(origin, m.ReportResultResponse(ok=False, listing_epoch=0, up_to=0))
            return
        self._answers.log(
            origin,
            [e.ListingAdvanced(job_id=message.job_id, up_to=message.up_to, epoch=message.epoch)],
            lambda outcome: m.ReportResultResponse(ok=outcome == KEPT, listing_epoch=0, up_to=0),
            urgent=True,
        )

    # -- transactions that are not safe to repeat ------------------------------------------------

    @_on.register
    def _(self, message: m.OpenKey, origin: Origin) -> None:
        key = self._holder.state.keys.get(message.key)
        if key is not None and key.state != "void":
            outcome = {"open": "open", "doubt": "doubt"}.get(key.state, "recorded")
            if key.digest != message.digest:
                outcome = "conflict"
            elif key.transaction == message.transaction and key.state == "open":
                outcome = "opened"
            body = (
                key.body
                if key.shelf is None or outcome != "recorded"
                else self.shelves.read_answer(key)
            )
            if body is None:
                self.mend("key", message.key)
                self.node.reply(origin, m.KeyResponse(outcome="unknown", status=0, body=""))
                return
            self._answers.when_settled(
                origin,
                lambda ok: m.KeyResponse(
                    outcome=outcome if ok else "unknown", status=key.status, body=body
                ),
            )
        elif self._answers.stale(message):
            self.node.reply(origin, m.KeyResponse(outcome="stale", status=0, body=""))
        else:
            entry = e.KeyOpened(
                key=message.key,
                digest=message.digest,
                edge=message.edge,
                transaction=message.transaction,
                at_ms=self._log_ms(),
            )
            self._answers.log(
                origin,
                [entry],
                lambda outcome: m.KeyResponse(
                    outcome="opened" if outcome == KEPT else outcome, status=0, body=""
                ),
            )

    @_on.register
    def _(self, message: m.CloseKey, origin: Origin) -> None:
        key = self._holder.state.keys.get(message.key)
        if key is None or key.transaction != message.transaction or key.state == message.state:
            self._answers.when_settled(
                origin,
                lambda ok: m.KeyResponse(outcome="known" if ok else "unknown", status=0, body=""),
            )
            return
        entry = e.KeyClosed(
            key=message.key,
            transaction=message.transaction,
            state=message.state,
            status=message.status,
            body=message.body,
            at_ms=self._log_ms(),
        )
        self._answers.log(
            origin,
            [entry],
            lambda outcome: m.KeyResponse(
                outcome="known" if outcome == KEPT else outcome, status=0, body=""
            ),
            urgent=True,
        )

    # -- common --------------------------------------------------------------------------------

    def tick(self) -> None:
        """Deal work, time out requests, and now and then forget what is too old."""
        if self._dealer is None or self._holder.deposed:
            return
        self._dealer.tick()
        self._reading.tick()
        now_ms = self.node.env.now()
        if now_ms - self._swept_ms > self.node.settings.resume_ms:
            self._swept_ms = now_ms
            self._admission.sweep()
            self._forget()

    def _log_ms(self) -> int:
        """Return the log's own time in milliseconds.

        It continues from the newest entry by the monotonic clock, so that no step of the wall clock
        makes anything look old. Time without a holder doesn't count.
        """
        return self._base_ms + self.node.env.now() - self._office_ms

    def _forget(self) -> None:
        """Remove what is over and past its retention time, by entries like any others."""
        floor_ms = self._log_ms() - self.node.settings.keep_ms
        state = self._holder.state
        rows: list[Message] = [
            e.KeyExpired(key=name) for name, key in state.keys.items() if key.at_ms < floor_ms
        ]
        job_floor_ms = self._log_ms() - _LOT_KEEP_FACTOR * self.node.settings.keep_ms
        rows += [
            e.JobExpired(job_id=job.job_id)
            for job in state.jobs.values()
            if not job.open and job.at_ms < job_floor_ms
        ]
        if rows:
            self._holder.append(rows, False, lambda outcome: None, True)
