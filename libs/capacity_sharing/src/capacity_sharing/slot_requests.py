"""Requests to other edges for slots that their samples run in, where live calls found none free.

They are collected by worker and sent at most once in an interval.
"""

from messaging import Message

__all__ = ["SlotRequests", "SlotsWanted"]

_LONG_AGO_MS = -1 << 40


class SlotsWanted(Message, wire_name="PlaceWanted"):
    """Asks other edges for slots at a worker, where calls found no free slot."""

    worker: str
    slots: int


class SlotRequests:
    """The slots wanted by worker, collected until they are sent."""

    __slots__ = ("_sent_ms", "_slots")

    def __init__(self) -> None:
        self._slots: dict[str, int] = {}
        self._sent_ms = _LONG_AGO_MS

    def add(self, worker: str) -> None:
        """Want one slot more at the worker of this identity."""
        self._slots[worker] = self._slots.get(worker, 0) + 1

    def take_due(self, now_ms: int, interval_ms: int) -> list[SlotsWanted]:
        """Return and clear what is to be sent; empty if the last was less than an interval ago."""
        if not self._slots or now_ms - self._sent_ms < interval_ms:
            return []
        self._sent_ms = now_ms
        due, self._slots = self._slots, {}
        return [SlotsWanted(worker=worker, slots=slots) for worker, slots in due.items()]
