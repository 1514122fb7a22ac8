"""Reported results of items of ordinary jobs and of samples of rollouts."""

from messaging import Message

from batch_state.entries import ItemFinished, ItemReturned
from batch_state.interfaces import DeadlineForecast, LogLeader, Reply
from batch_state.item_claims import ItemClaims
from batch_state.jobs import Job
from batch_state.listing_leases import ListingLeases
from batch_state.messages import ReportResult, ReportResultResponse
from batch_state.outcomes import AppendOutcome, ItemResult, ItemState

__all__ = ["ResultReports"]


class ResultReports:
    """Records reported results under one leader.

    The response about an item that isn't safe to repeat waits until the result is committed. An
    edge that dropped the item earlier would no longer report it as running, so if the result were
    lost, the item would look as if it had never started and would run again.
    """

    __slots__ = ("_claims", "_forecast", "_leader", "_leases")

    def __init__(
        self,
        leader: LogLeader,
        claims: ItemClaims,
        leases: ListingLeases,
        forecast: DeadlineForecast | None,
    ) -> None:
        self._leader, self._claims, self._leases = leader, claims, leases
        self._forecast = forecast

    def report(self, message: ReportResult, reply: Reply) -> None:
        """Append an item's result, or the return of its claim."""
        job = self._leader.state.jobs.get(message.job_id)
        claimed_for_ms = self._claims.remove_claim(message.job_id, message.index)
        if job is None or job.cancelled or not 0 <= message.index < len(job.items):
            self._acknowledge(reply)
            return
        if claimed_for_ms is not None:
            self._record_duration(job, message, claimed_for_ms)
        entries = self._entries(job, message)

        def appended(outcome: str) -> None:
            committed = outcome == AppendOutcome.COMMITTED
            if committed:
                self._leases.result_reported(job, message.index, message.edge)
            reply(self._leases.response(job, message.edge, committed))

        self._leader.append(entries, not job.safe, appended, True)

    def _acknowledge(self, reply: Reply) -> None:
        """Respond to a report that changes nothing, once all earlier entries are committed."""
        self._leader.append(
            [],
            True,
            lambda outcome: reply(
                ReportResultResponse(
                    ok=outcome == AppendOutcome.COMMITTED, listing_epoch=0, up_to=0
                )
            ),
            True,
        )

    def _record_duration(self, job: Job, message: ReportResult, took_ms: int) -> None:
        """Pass the duration of an item of an ordinary job to the forecast, unless it hasn't run."""
        if (
            self._forecast is not None
            and not job.rollout
            and message.outcome != ItemResult.RETURNED
        ):
            self._forecast.record_item_duration(job.path, took_ms)

    def _entries(self, job: Job, message: ReportResult) -> list[Message]:
        item = job.items[message.index]
        if message.outcome == ItemResult.RETURNED:
            if not item.claimed_under(message.claim_number):
                return []
            return [
                ItemReturned(
                    job_id=message.job_id, index=message.index, claim_number=message.claim_number
                )
            ]
        if item.state == ItemState.FINISHED:
            return []
        return [
            ItemFinished(
                job_id=message.job_id,
                index=message.index,
                outcome=message.outcome,
                body=message.body,
                worker=message.worker,
            )
        ]
