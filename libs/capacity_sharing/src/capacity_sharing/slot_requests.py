"""Requests to other edges to free slots of a worker in which they run samples.

An edge makes them if a live call needs slots that other edges' samples may hold. They are added up
for each worker and sent at most once in an interval.
"""

from messaging import Message

__all__ = ["SlotRequests", "SlotsWanted"]

_NEVER_MS = -1 << 40


class SlotsWanted(Message, wire_name="PlaceWanted"):
    """Asks another edge to preempt up to `slots` of its samples at a worker, for live calls."""

    worker: str
    slots: int


class SlotRequests:
    """The number of slots to request for each worker, collected until the requests are sent."""

    __slots__ = ("_sent_ms", "_slots")

    def __init__(self) -> None:
        self._slots: dict[str, int] = {}
        self._sent_ms = _NEVER_MS

    def add(self, worker: str) -> None:
        """Request one more slot of the worker with this identity."""
        self._slots[worker] = self._slots.get(worker, 0) + 1

    def take_due(self, now_ms: int, interval_ms: int) -> list[SlotsWanted]:
        """Return the requests to send now, and clear them.

        Empty if the previous ones were sent less than `interval_ms` ago.
        """
        if not self._slots or now_ms - self._sent_ms < interval_ms:
            return []
        self._sent_ms = now_ms
        due, self._slots = self._slots, {}
        return [SlotsWanted(worker=worker, slots=slots) for worker, slots in due.items()]
