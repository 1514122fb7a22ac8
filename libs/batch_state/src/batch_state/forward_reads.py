"""Reads of forwarded lots at the holder.

Only settled results are shown, and the holder's epoch was confirmed after the read came, either by
followers or by the very append that settled the result. A read beyond the last result is held until
there is one or its time is up.
"""

from collections.abc import Callable
from typing import Any

from messaging import Message

from batch_state import messages as m
from batch_state.jobs import Job
from batch_state.state import BatchState

__all__ = ["ForwardJobReader"]

Reply = Callable[[Message], None]


def _nothing(outcome: str) -> m.ListForwardResultsResponse:
    return m.ListForwardResultsResponse(outcome=outcome, rows=[], total=0, over=False)


class _Held:
    __slots__ = ("due_ms", "message", "reply")

    def __init__(self, message: m.ListForwardResults, reply: Reply, due_ms: int) -> None:
        self.message, self.reply, self.due_ms = message, reply, due_ms


class ForwardJobReader:
    """Answers reads under one holder.

    `settled` returns the settled ledger; `mend` is told what can't be read from its archive file.
    """

    __slots__ = ("_held", "_holder", "_mend", "_node", "_settled", "_shelves")

    def __init__(
        self,
        holder: Any,
        node: Any,
        settled: Callable[[], BatchState],
        shelves: Any,
        mend: Callable[[str, str], None],
    ) -> None:
        self._holder, self._node, self._settled = holder, node, settled
        self._shelves, self._mend = shelves, mend
        self._held: dict[str, list[_Held]] = {}

    def read(self, message: m.ListForwardResults, reply: Reply) -> None:
        """Answer a read of a page once there is something to show or its time is up."""
        due_ms = self._node.env.now() + message.wait_ms
        self._holder.read(
            lambda ok: self._confirmed(message, reply, due_ms) if ok else reply(_nothing("unknown"))
        )

    def _confirmed(self, message: m.ListForwardResults, reply: Reply, due_ms: int) -> None:
        page = self._page(message)
        if page.outcome != "known" or page.rows or page.over or self._node.env.now() >= due_ms:
            reply(page)
        else:
            self._held.setdefault(message.job_id, []).append(_Held(message, reply, due_ms))

    def wake(self, job_ids: set[str]) -> None:
        """Answer the held reads of these lots, in which something was settled under this epoch."""
        for job_id in job_ids & set(self._held):
            for held in self._held.pop(job_id):
                self._confirmed(held.message, held.reply, held.due_ms)

    def tick(self) -> None:
        """Answer held reads whose time is up."""
        now_ms = self._node.env.now()
        for job_id in list(self._held):
            late = [held for held in self._held[job_id] if now_ms >= held.due_ms]
            left = [held for held in self._held[job_id] if now_ms < held.due_ms]
            if left:
                self._held[job_id] = left
            else:
                del self._held[job_id]
            for held in late:
                self._last(held)

    def _last(self, held: _Held) -> None:
        """Answer a read whose time is up, after one more confirmation of the epoch."""
        self.read(m.ListForwardResults(**{**held.message.as_dict(), "wait_ms": 0}), held.reply)

    def stop(self, reply: Message) -> None:
        """Answer all held reads with a message, because this holder's epoch is over."""
        rows, self._held = self._held, {}
        for held in rows.values():
            for row in held:
                row.reply(reply)

    # -- building the answers ----------------------------------------------------------------------

    def _page(self, message: m.ListForwardResults) -> m.ListForwardResultsResponse:
        job = self._settled().jobs.get(message.job_id)
        if job is None:
            return _nothing("unknown" if message.job_id in self._holder.state.jobs else "missing")
        rows = self._rows(job, message)
        if rows is None:
            self._mend("lot", job.job_id)
            return _nothing("unknown")
        return m.ListForwardResultsResponse(
            outcome="known", rows=rows, total=job.total, over=not job.open
        )

    def _rows(self, job: Job, message: m.ListForwardResults) -> list[bytes] | None:
        rows: list[bytes] = []
        size_bytes = 0
        position = message.from_position
        while position < job.listed and size_bytes < message.limit_bytes:
            more = (
                [job.row(position)]
                if job.shelf is None
                else self._shelves.read_results(job, position, job.listed)
            )
            if not more:
                return None
            for row in more:
                size_bytes += len(row)
                if rows and size_bytes > message.limit_bytes:
                    break
                rows.append(row)
            position = message.from_position + len(rows)
        return rows

    def item(self, message: m.GetItem, reply: Reply) -> None:
        """Answer with the call of an item that hasn't ended."""

        def confirmed(ok: bool) -> None:
            job = self._settled().jobs.get(message.job_id)
            if not ok or (job is None and message.job_id in self._holder.state.jobs):
                reply(m.GetItemResponse(outcome="unknown", call=b""))
                return
            found = (
                None
                if job is None or not job.open
                else next((item for item in job.items if item.item_id == message.item_id), None)
            )
            listed = found is None or found.state == "finished"
            reply(
                m.GetItemResponse(
                    outcome="missing" if listed else "known", call=b"" if listed else found.body
                )
            )

        self._holder.read(confirmed)
