"""Reports the outcomes of items to the log's leader until they are acknowledged.

Outcomes of forwarded items are batched: those that arrive while a report is in flight go into the
next one. Outcomes of completions and of rollout samples are reported one by one.
"""

from collections.abc import Callable
from typing import Any, Protocol

from batch_state import messages
from messaging import encode

from request_routing.batch_execution.leader_client import LeaderClient

__all__ = ["Assignment", "ItemClaim", "ItemReports", "RunningItem"]

# No more outcomes are added to a report that has reached this size.
_REPORT_BYTES = 1 << 20

Assignment = messages.ItemAssignment | messages.ForwardAssignment | messages.RolloutAssignment
ItemClaim = tuple[str, int]
"""Identifies an item that this edge has claimed: the job's id and the item's index."""


class RunningItem:
    """An item that runs at this edge, or whose outcome is not acknowledged yet.

    `cancel` stops it; `reported` is true once it has ended and its outcome is to be reported.
    """

    __slots__ = ("assignment", "cancel", "reported")

    def __init__(self, assignment: Assignment) -> None:
        self.assignment = assignment
        self.cancel: Callable[[], None] = lambda: None
        self.reported = False

    @property
    def claim(self) -> ItemClaim:
        """The item's key: the job's id and the item's index."""
        return self.assignment.job_id, self.assignment.index


class ReportListener(Protocol):
    """The owner of the items, which handles the leader's responses to reports."""

    def is_current(self, item: RunningItem) -> bool:
        """Whether the item was neither stopped nor acknowledged."""
        ...

    def acknowledged(self, items: list[RunningItem]) -> None:
        """Remove items whose outcomes the leader has acknowledged."""
        ...

    def listing_granted(self, job_id: str, epoch: int, up_to: int) -> None:
        """List a job's results up to an index, under the listing lease of this epoch."""
        ...

    def reports_sent(self) -> None:
        """Send a heartbeat, as the reported items no longer take up capacity."""
        ...


class ItemReports:
    """Sends the outcomes of an edge's items to the leader.

    Parameters
    ----------
    edge
        Identity of the edge.
    leader
        Client of the log's leader.
    listener
        The owner of the items.
    """

    __slots__ = ("_edge", "_in_flight", "_leader", "_listener", "_unreported")

    def __init__(self, edge: str, leader: LeaderClient, listener: ReportListener) -> None:
        self._edge = edge
        self._leader = leader
        self._listener = listener
        self._unreported: list[tuple[RunningItem, bytes]] = []
        self._in_flight = False

    def add(self, item: RunningItem, outcome: str, body: Any, worker: str, timeout_ms: int) -> None:
        """Report an item's outcome until it is acknowledged.

        A report without a response within `timeout_ms` milliseconds is sent again.
        """
        if isinstance(item.assignment, messages.ForwardAssignment):
            self._unreported.append((item, _encoded(item.assignment, outcome, body, worker)))
            self.send(timeout_ms)
        else:
            self._report(item, outcome, body, worker, timeout_ms)

    def send(self, timeout_ms: int) -> None:
        """Report pending outcomes of forwarded items, unless a report is in flight."""
        if self._in_flight:
            return
        rows = self._next_rows()
        if not rows:
            return
        self._in_flight = True

        def on_response(response: Any) -> None:
            self._in_flight = False
            if response is None or not response.ok:
                self._unreported[:0] = rows
                return
            self._listener.acknowledged([item for item, _ in rows])
            self.send(timeout_ms)

        message = messages.ReportItemOutcomes(edge=self._edge, rows=[data for _, data in rows])
        self._leader.request(message, timeout_ms, on_response)
        self._listener.reports_sent()

    def _next_rows(self) -> list[tuple[RunningItem, bytes]]:
        """Remove and return the outcomes of the next report, without those of stopped items."""
        rows: list[tuple[RunningItem, bytes]] = []
        size_bytes = 0
        while self._unreported and size_bytes < _REPORT_BYTES:
            item, data = self._unreported.pop(0)
            if self._listener.is_current(item):
                rows.append((item, data))
                size_bytes += len(data)
        return rows

    def _report(
        self, item: RunningItem, outcome: str, body: str, worker: str, timeout_ms: int
    ) -> None:
        def on_response(response: Any) -> None:
            if not self._listener.is_current(item):
                return
            if response is None or not response.ok:
                self._report(item, outcome, body, worker, timeout_ms)
                return
            self._listener.acknowledged([item])
            if response.listing_epoch:
                job_id = item.assignment.job_id
                self._listener.listing_granted(job_id, response.listing_epoch, response.up_to)

        message = messages.ReportResult(
            job_id=item.assignment.job_id,
            index=item.assignment.index,
            claim_number=item.assignment.claim_number,
            outcome=str(outcome),
            body=body,
            worker=worker,
            edge=self._edge,
        )
        self._leader.request(message, timeout_ms, on_response)


def _encoded(
    assignment: messages.ForwardAssignment, outcome: str, text: bytes, worker: str
) -> bytes:
    return encode(
        messages.ItemOutcome(
            job_id=assignment.job_id,
            index=assignment.index,
            claim_number=assignment.claim_number,
            outcome=str(outcome),
            text=text,
            worker=worker,
        )
    )
