"""Dispatch of items to edges.

The response to an edge's heartbeat carries items to run, listing leases and the jobs that have
closed. A claim is appended to the log before the edge is notified, and committed first if the item
isn't safe to repeat. A heartbeat with free capacity for which there is nothing to report is parked
for up to `heartbeat_ms` (a long poll), so that new forwarded items are dispatched at once.
"""

from collections.abc import Callable

from messaging import Message, Node

from batch_state.edge_liveness import EdgeLiveness
from batch_state.entries import JobCancelled
from batch_state.forward_completion import ForwardCompletion
from batch_state.heartbeat_offer import Heartbeat, HeartbeatOffer
from batch_state.interfaces import DeadlineForecast, LogLeader, ProfileSource, Reply
from batch_state.item_claims import ItemClaims, claim_entries
from batch_state.item_selection import ItemSelector
from batch_state.listing_leases import ListingLeases
from batch_state.messages import (
    AdvanceListing,
    ReportItemOutcomes,
    ReportResult,
)
from batch_state.outcomes import AppendOutcome
from batch_state.result_reports import ResultReports

__all__ = ["ItemDispatcher"]


class _ParkedHeartbeat:
    """An unanswered heartbeat, to be answered at the latest at `due_ms` of the node's clock."""

    __slots__ = ("due_ms", "message", "reply")

    def __init__(self, message: Heartbeat, reply: Reply, due_ms: int) -> None:
        self.message, self.reply, self.due_ms = message, reply, due_ms


class ItemDispatcher:
    """Dispatches items under one leader, and records what edges report about them.

    Parameters
    ----------
    leader
        The leader of the log.
    node
        The node, for its clock, settings and log.
    log_ms
        Returns the log's own time in milliseconds.
    profiles
        Returns the profiles in force.
    on_results
        Called with the ids of forwarded jobs that may have newly committed results.
    forecast
        Tells whether jobs will meet their deadlines while rollouts run; without it no rollout is
        dispatched.
    """

    __slots__ = (
        "_claims",
        "_edges",
        "_forecast",
        "_forward",
        "_leader",
        "_leases",
        "_log_ms",
        "_node",
        "_parked",
        "_reports",
        "_selector",
    )

    def __init__(
        self,
        leader: LogLeader,
        node: Node,
        log_ms: Callable[[], int] = lambda: 0,
        profiles: ProfileSource = lambda: (0, None),
        on_results: Callable[[set[str]], None] = lambda job_ids: None,
        forecast: DeadlineForecast | None = None,
    ) -> None:
        self._leader, self._node, self._log_ms = leader, node, log_ms
        self._forecast = forecast
        self._parked: dict[str, _ParkedHeartbeat] = {}
        self._edges = EdgeLiveness(node)
        self._leases = ListingLeases(leader, self._edges)
        self._claims = ItemClaims(leader, node, self._edges)
        self._selector = ItemSelector(
            leader, node, self._edges, log_ms, forecast, self._rollouts_recalled
        )
        self._reports = ResultReports(leader, self._claims, self._leases, forecast)
        self._forward = ForwardCompletion(leader, node, log_ms, profiles, on_results)

    def heartbeat(self, message: Heartbeat, reply: Reply) -> None:
        """Answer an edge's heartbeat now, or park it if there is nothing to report.

        It replaces an earlier parked heartbeat of the edge, which is then never answered.
        """
        due_ms = self._node.env.now() + self._node.settings.heartbeat_ms
        replaced = self._edges.record_heartbeat(message.edge, message.address)
        if replaced is not None:
            self._parked.pop(replaced, None)
        self._claims.return_undelivered(message)
        self._parked.pop(message.edge, None)
        if not self._answer(message, reply):
            self._parked[message.edge] = _ParkedHeartbeat(message, reply, due_ms)

    def answer_parked(self) -> None:
        """Answer the parked heartbeats for which there is something to report now."""
        for edge, parked in list(self._parked.items()):
            if self._answer(parked.message, parked.reply):
                self._parked.pop(edge, None)

    def close(self, response: Message) -> None:
        """Answer all parked heartbeats with `response`, because this leader's epoch has ended."""
        parked, self._parked = self._parked, {}
        for heartbeat in parked.values():
            heartbeat.reply(response)

    def _answer(self, message: Heartbeat, reply: Reply, due: bool = False) -> bool:
        """Answer a heartbeat and return True, or return False if it may be parked.

        With `due` it is always answered. If its claims can't be appended, it is answered without
        the work.
        """
        offer = self._offer(message)
        if not due and not offer.is_urgent(message):
            return False

        def appended(outcome: str) -> None:
            reply(
                offer.response(
                    message,
                    self._leader.epoch,
                    self._node.env.now(),
                    claimed=outcome == AppendOutcome.COMMITTED,
                )
            )

        if offer.work:
            self._claims.record_claims(offer.work)
            entries = claim_entries(offer.work, message.edge)
            self._leader.append(entries, offer.has_unsafe_work(), appended)
        else:
            appended(AppendOutcome.COMMITTED)
        return True

    def _offer(self, message: Heartbeat) -> HeartbeatOffer:
        closed_jobs = self._closed_jobs(message)
        listing_leases = self._leases.of_edge(message.edge)
        self._leases.take_over_lost(message.edge)
        work = self._selector.select(message)
        waiting, paths = self._waiting_items()
        samples_out, recalled = self._rollout_status()
        return HeartbeatOffer(
            work, listing_leases, closed_jobs, waiting, paths, samples_out, recalled
        )

    def _closed_jobs(self, message: Heartbeat) -> list[str]:
        """Return the closed jobs of which an edge still runs items."""
        running = {item.rpartition("#")[0] for item in message.running}
        return sorted(job_id for job_id in running if self._is_closed(job_id))

    def _is_closed(self, job_id: str) -> bool:
        """Whether an edge may drop a job: its closing or removal is committed, or it is unknown."""
        job = self._leader.committed_state.jobs.get(job_id)
        return not job.open if job is not None else job_id not in self._leader.state.jobs

    def _waiting_items(self) -> tuple[int, list[str]]:
        """Return the number of waiting items, except of rollouts, and the paths with waiting items.

        The paths include those of rollouts if rollouts are dispatched. Edges report capacity for
        these paths in their next heartbeats.
        """
        jobs = [
            job
            for job in self._leader.state.open_jobs.values()
            if not job.rollout or self._forecast is not None
        ]
        return sum(job.waiting for job in jobs if not job.rollout), sorted(
            {job.path for job in jobs if job.waiting}
        )

    def _rollout_status(self) -> tuple[int, bool]:
        """Return how many samples run or may start, and whether a job needs their slots.

        The number is that of the claimed samples, plus one for each open rollout.
        """
        if self._forecast is None:
            return 0, False
        rollouts = [job for job in self._leader.state.open_jobs.values() if job.rollout]
        return sum(len(job.claims) + 1 for job in rollouts), self._rollouts_recalled()

    def _rollouts_recalled(self) -> bool:
        """Whether a job may miss its deadline while rollouts run; a change is logged."""
        return self._forecast is not None and self._forecast.at_risk(
            self._leader.state, self._log_ms(), self._node.env.log
        )

    def _cancel_expired_rollouts(self) -> None:
        """Cancel rollouts past their deadline; their listed results stay readable."""
        log_ms = self._log_ms()
        expired = [
            job.job_id
            for job in self._leader.state.open_jobs.values()
            if job.rollout and 0 < job.expires_ms <= log_ms
        ]
        if expired:
            self._node.env.log("rollouts-expired", jobs=expired)
            self._leader.append(
                [JobCancelled(job_id=job_id, at_ms=log_ms) for job_id in expired],
                True,
                lambda outcome: self.answer_parked(),
                True,
            )

    def report_result(self, message: ReportResult, reply: Reply) -> None:
        """Record the result of an item, or the return of its claim."""
        self._edges.record_message(message.edge)
        self._reports.report(message, reply)

    def report_outcomes(self, message: ReportItemOutcomes, reply: Reply) -> None:
        """Record how attempts of an edge at forwarded items ended."""
        self._edges.record_message(message.edge)
        self._forward.report(message, reply, self.answer_parked)

    def may_advance_listing(self, message: AdvanceListing) -> bool:
        """Whether an edge may list results up to a position under its lease."""
        return self._leases.may_advance(message)

    def tick(self) -> None:
        """Answer due heartbeats, end expired items and rollouts, and end claims of lost edges."""
        now_ms = self._node.env.now()
        for edge in [edge for edge, parked in self._parked.items() if now_ms >= parked.due_ms]:
            parked = self._parked.pop(edge)
            self._answer(parked.message, parked.reply, due=True)
        self._forward.end_expired()
        self._cancel_expired_rollouts()
        if self._claims.reclaim_lost():
            self.answer_parked()
