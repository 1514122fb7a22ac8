"""How items of forwarded lots end.

A result is finished and listed in one entry: the listing lease passes to the edge that brings it,
under a higher epoch, and lists it next, so the order of the log is the order of the results.
An item is dead once a worker said that it can't be done, after as many failed attempts as its route
allows, when its time is up, or when its route is gone.
"""

from collections.abc import Callable
from typing import Any

from messaging import Message, decode

from batch_state import entries as e
from batch_state import messages as m
from batch_state.jobs import Job

__all__ = ["ItemCompletion"]


class ItemCompletion:
    """Ends items of forwarded lots in the log of one holder.

    `log_ms` is the log's own time, `profiles` returns the number and the tree of the profiles,
    `woke` gets the lots in which something was settled, and `live` says whether an edge is heard.
    """

    __slots__ = ("_holder", "_live", "_log_ms", "_node", "_profiles", "_woke")

    def __init__(
        self,
        holder: Any,
        node: Any,
        log_ms: Callable[[], int],
        profiles: Callable[[], tuple[int, Any]],
        woke: Callable[[set[str]], None],
        live: Callable[[str], bool],
    ) -> None:
        self._holder, self._node, self._log_ms = holder, node, log_ms
        self._profiles, self._woke, self._live = profiles, woke, live

    def take(
        self,
        message: m.ReportItemOutcomes,
        reply: Callable[[Message], None],
        wake: Callable[[], None],
    ) -> None:
        """Log the reported ends in one append, then reply.

        `wake` is called if items wait again.
        """
        rows: list[Message] = []
        for data in message.rows:
            row = decode(data)
            job = self._holder.state.open_jobs.get(row.job_id)
            if job is not None and job.forward and 0 <= row.index < len(job.items):
                rows += self._entries(job, row, message.edge)
        job_ids = {row.job_id for row in rows if isinstance(row, e.ResultListed)}
        freed = any(isinstance(row, (e.AttemptFailed, e.ItemReturned)) for row in rows)

        def logged(outcome: str) -> None:
            reply(m.ReportResultResponse(ok=outcome == "kept", listing_epoch=0, up_to=0))
            if job_ids and outcome == "kept":
                self._woke(job_ids)

        self._holder.append(rows, True, logged, True)
        if freed:
            wake()

    def _entries(self, job: Job, row: m.ItemOutcome, edge: str) -> list[Message]:
        """Return the entries for one report.

        The first report that ends an item decides. A failure or a returned claim counts only under
        the present claim.
        """
        item = job.items[row.index]
        present = item.state == "claimed" and item.number == row.number
        if item.state == "finished":
            return []
        if row.outcome in ("finished", "dead"):
            return [self._listed(job, row.index, row.outcome, row.text, row.worker, edge)]
        if not present:
            return []
        if row.outcome == "failed" and item.failures + 1 >= self._attempts(job):
            return [self._listed(job, row.index, "dead", row.text, row.worker, edge)]
        if row.outcome == "failed":
            return [
                e.AttemptFailed(
                    job_id=job.job_id,
                    index=row.index,
                    number=row.number,
                    failures=item.failures + 1,
                    worker=row.worker,
                )
            ]
        return [e.ItemReturned(job_id=job.job_id, index=row.index, number=row.number)]

    def _listed(
        self, job: Job, index: int, outcome: str, text: bytes, worker: str, edge: str
    ) -> e.ResultListed:
        epoch = max(1, job.listing_epoch + (edge != job.listing_edge))
        return e.ResultListed(
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
        _, tree = self._profiles()
        return tree.usable(job.path) if tree is not None else None

    def give_up(self) -> None:
        """End items whose time is up or whose route is gone.

        A route counts as gone only by profiles no older than those at admission.
        """
        now_ms = self._log_ms()
        number, tree = self._profiles()
        rows: list[Message] = []
        job_ids: set[str] = set()
        for job in self._holder.state.open_jobs.values():
            if not job.forward:
                continue
            late = now_ms >= job.expires_ms
            gone = (
                tree is not None and number >= max(1, job.version) and tree.usable(job.path) is None
            )
            if late or gone:
                text = b"not finished in time" if late else b"its route is gone"
                edge = job.listing_edge
                rows += [
                    self._listed(job, index, "dead", text, "", edge)
                    for index in [*job.claims, *job.pending]
                ]
                job_ids.add(job.job_id)
        if rows:
            self._node.env.log("items-given-up", "WARNING", count=len(rows), jobs=sorted(job_ids))
            self._holder.append(rows, True, lambda outcome: self._woke(job_ids), True)
