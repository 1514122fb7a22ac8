"""How items of forwarded jobs end.

A result is finished and listed in one entry: the listing lease passes to the edge that brings it,
under a higher epoch, and lists it next, so the order of the log is the order of the results. An
item is dead once a worker said that it can't be done, after as many failed attempts as its route
allows, when its time is up, or when its route is gone.
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
    """Whether a job's route is gone by profiles no older than those at its admission."""
    return (
        profiles is not None
        and version >= max(1, job.version)
        and profiles.usable(job.path) is None
    )


class ForwardCompletion:
    """Ends items of forwarded jobs in the log of one leader.

    `log_ms` returns the log's own time, and `on_results` gets the ids of jobs of which something
    was committed.
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
        """Log the reported outcomes in one append, then reply.

        `on_returned` is called if items wait again.
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
        """Return the entries for one report.

        The first report that ends an item decides. A failure or a returned claim counts only under
        the present claim.
        """
        item = job.items[report.index]
        if item.state == ItemState.FINISHED:
            return []
        if report.outcome in (ItemResult.FINISHED, ItemResult.DEAD):
            return [self._listed_as(report.outcome, job, report, edge)]
        if not item.claimed_under(report.claim_number):
            return []
        if report.outcome != ItemResult.FAILED:
            return [
                ItemReturned(
                    job_id=job.job_id, index=report.index, claim_number=report.claim_number
                )
            ]
        if item.failures + 1 >= self._attempts(job):
            return [self._listed_as(ItemResult.DEAD, job, report, edge)]
        return [
            AttemptFailed(
                job_id=job.job_id,
                index=report.index,
                claim_number=report.claim_number,
                failures=item.failures + 1,
                worker=report.worker,
            )
        ]

    def _listed_as(self, outcome: str, job: Job, report: ItemOutcome, edge: str) -> ResultListed:
        return self._listed(job, report.index, outcome, report.text, report.worker, edge)

    def _listed(
        self, job: Job, index: int, outcome: str, text: bytes, worker: str, edge: str
    ) -> ResultListed:
        """Return the entry that ends an item and passes the listing lease to the edge."""
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
        """Return the most attempts allowed by any profile that may be in force.

        These are the profile at admission and the present one.
        """
        profile = self._profile(job)
        return max(job.attempts, profile.attempts or 0 if profile is not None else 0, 1)

    def _profile(self, job: Job) -> Any:
        _, profiles = self._profiles()
        return profiles.usable(job.path) if profiles is not None else None

    def end_expired(self) -> None:
        """End items whose time is up or whose route is gone."""
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
                    self._listed(job, index, ItemResult.DEAD, text, "", job.listing_edge)
                    for index in [*job.claims, *job.pending]
                ]
                job_ids.add(job.job_id)
        if entries:
            self._node.env.log("items-expired", "WARNING", count=len(entries), jobs=sorted(job_ids))
            self._leader.append(entries, True, lambda outcome: self._on_results(job_ids), True)
