"""Completion of the items of forwarded jobs.

One entry ends an item and lists its result, and grants the listing lease to the edge that reported
it, under a higher epoch if another edge had the lease. So the results have the order of the log. An
item ends as dead if a worker reports that it can't be run, after as many failed attempts as its
route allows, when its job expires, or when its route is removed.
"""

from collections.abc import Callable
from typing import Any, cast

from messaging import Message, Node, decode

from batch_state.entries import AttemptFailed, ItemReturned, ResultListed
from batch_state.interfaces import LogLeader, ProfileSource, Reply
from batch_state.jobs import Job
from batch_state.messages import ItemOutcome, ReportItemOutcomes, ReportResultResponse
from batch_state.outcomes import AppendOutcome, ItemResult, ItemState

__all__ = ["ForwardCompletion"]

_EXPIRED_TEXT = b"not finished in time"
_ROUTE_GONE_TEXT = b"its route is gone"


def _route_gone(job: Job, version: int, profiles: Any) -> bool:
    """Whether a job's route is removed, by profiles no older than those at its admission."""
    return (
        profiles is not None
        and version >= max(1, job.version)
        and profiles.usable(job.path) is None
    )


class ForwardCompletion:
    """Ends items of forwarded jobs in the log of one leader.

    Parameters
    ----------
    leader
        The leader of the log.
    node
        The node, for its log.
    log_ms
        Returns the log's own time in milliseconds.
    profiles
        Returns the profiles in force.
    on_results
        Called with the ids of jobs that may have newly committed results.
    """

    __slots__ = ("_leader", "_log_ms", "_node", "_on_results", "_profiles")

    def __init__(
        self,
        leader: LogLeader,
        node: Node,
        log_ms: Callable[[], int],
        profiles: ProfileSource,
        on_results: Callable[[set[str]], None],
    ) -> None:
        self._leader, self._node, self._log_ms = leader, node, log_ms
        self._profiles, self._on_results = profiles, on_results

    def report(
        self, message: ReportItemOutcomes, reply: Reply, on_returned: Callable[[], None]
    ) -> None:
        """Append the entries for reported outcomes, and reply once they are committed.

        Parameters
        ----------
        message
            The outcomes; those of closed or unknown jobs and items are ignored.
        reply
            Sends the response, which isn't `ok` if the append failed.
        on_returned
            Called if a claim ended without a result, so that the item can be dispatched again.
        """
        entries: list[Message] = []
        for data in message.rows:
            outcome = cast(ItemOutcome, decode(data))
            job = self._leader.state.open_jobs.get(outcome.job_id)
            if job is not None and job.forward and 0 <= outcome.index < len(job.items):
                entries += self._entries(job, outcome, message.edge)
        job_ids = {entry.job_id for entry in entries if isinstance(entry, ResultListed)}
        returned = any(isinstance(entry, AttemptFailed | ItemReturned) for entry in entries)

        def appended(outcome: str) -> None:
            committed = outcome == AppendOutcome.COMMITTED
            reply(ReportResultResponse(ok=committed, listing_epoch=0, up_to=0))
            if job_ids and committed:
                self._on_results(job_ids)

        self._leader.append(entries, True, appended, True)
        if returned:
            on_returned()

    def _entries(self, job: Job, report: ItemOutcome, edge: str) -> list[Message]:
        """Return the entries for one reported outcome.

        The first report of FINISHED or DEAD ends the item, under whichever claim. A failure or the
        return of a claim has an effect only under the present claim.
        """
        item = job.items[report.index]
        if item.state == ItemState.FINISHED:
            return []
        if report.outcome in (ItemResult.FINISHED, ItemResult.DEAD):
            return [self._reported_result(report.outcome, job, report, edge)]
        if not item.claimed_under(report.claim_number):
            return []
        if report.outcome != ItemResult.FAILED:
            return [
                ItemReturned(
                    job_id=job.job_id, index=report.index, claim_number=report.claim_number
                )
            ]
        if item.failures + 1 >= self._attempts(job):
            return [self._reported_result(ItemResult.DEAD, job, report, edge)]
        return [
            AttemptFailed(
                job_id=job.job_id,
                index=report.index,
                claim_number=report.claim_number,
                failures=item.failures + 1,
                worker=report.worker,
            )
        ]

    def _reported_result(
        self, outcome: str, job: Job, report: ItemOutcome, edge: str
    ) -> ResultListed:
        return self._result_listed(job, report.index, outcome, report.text, report.worker, edge)

    def _result_listed(
        self, job: Job, index: int, outcome: str, text: bytes, worker: str, edge: str
    ) -> ResultListed:
        """Return the entry that ends an item and grants the listing lease to the edge."""
        epoch = max(1, job.listing_epoch + (edge != job.listing_edge))
        return ResultListed(
            job_id=job.job_id,
            index=index,
            outcome=outcome,
            text=text,
            worker=worker,
            edge=edge,
            epoch=epoch,
        )

    def _attempts(self, job: Job) -> int:
        """Return how many attempts an item may have, at least 1.

        It is the larger limit of the profile at admission and the present one, as either may be in
        force.
        """
        profile = self._present_profile(job)
        return max(job.attempts, profile.attempts or 0 if profile is not None else 0, 1)

    def _present_profile(self, job: Job) -> Any:
        _, profiles = self._profiles()
        return profiles.usable(job.path) if profiles is not None else None

    def end_expired(self) -> None:
        """End all unfinished items of jobs that have expired or whose route is removed."""
        now_ms = self._log_ms()
        version, profiles = self._profiles()
        entries: list[Message] = []
        job_ids: set[str] = set()
        for job in self._leader.state.open_jobs.values():
            if not job.forward:
                continue
            expired = now_ms >= job.expires_ms
            if expired or _route_gone(job, version, profiles):
                text = _EXPIRED_TEXT if expired else _ROUTE_GONE_TEXT
                entries += [
                    self._result_listed(job, index, ItemResult.DEAD, text, "", job.listing_edge)
                    for index in [*job.claims, *job.pending]
                ]
                job_ids.add(job.job_id)
        if entries:
            self._node.env.log("items-expired", "WARNING", count=len(entries), jobs=sorted(job_ids))
            self._leader.append(entries, True, lambda outcome: self._on_results(job_ids), True)
