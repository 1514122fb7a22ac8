"""The memory that a process lends to the requests of its clients.

Each request draws the bytes that it needs from one budget before they are read, and gives them back
when it ends, so that the sum over all connections is bounded, not only each one of them. Part of
the budget is kept for small requests: however many large ones there are, ordinary calls, probes and
heartbeats are still served. The budget has no input or output; who waits is called back.
"""

from collections import deque
from collections.abc import Callable
from types import TracebackType

__all__ = ["IDLE_PROCESS_BYTES", "MemoryBudget", "MemoryHolding", "request_memory_bytes"]

IDLE_PROCESS_BYTES = 60 << 20
"""Memory of a process without requests: the interpreter, and its part of the fleet's state."""

# The rest of the machine's memory is shared by requests, the node's own state and the allocator.
_REQUEST_SHARE = 0.5
_MIN_BUDGET_BYTES = 4 << 20
_LARGE_SHARE = 0.75
# A request of legal size may take more than the budget when it is the only large one; with the part
# of small requests this is all that the machine has beside an idle process.
_ALONE_FACTOR = 1.75
_TOTAL_FACTOR = 2
# Waiting requests hold what their sockets and buffers have taken in; more of them are refused.
_WAITING_SHARE = 0.125
# A holding of at most this part of the budget is small.
_SMALL_SHARE = 1 / 128


def request_memory_bytes(memory_bytes: int) -> int:
    """Return the budget of requests in bytes, for a machine with `memory_bytes`."""
    return max(_MIN_BUDGET_BYTES, int((memory_bytes - IDLE_PROCESS_BYTES) * _REQUEST_SHARE))


class MemoryBudget:
    """A number of bytes, and who holds how many of them.

    Holdings that are not small may take three quarters of the budget together; the last quarter is
    kept for small ones. A larger request is granted when it is the only large one, up to what the
    machine has beside an idle process and that quarter. `used_bytes` is what is held now, and
    `refused_count` counts the requests and connections that were given up for lack of memory.

    Parameters
    ----------
    limit_bytes
        The size of the budget. It may be changed; what is held then is not taken back.
    """

    __slots__ = (
        "_large_bytes",
        "_waiting",
        "_waiting_bytes",
        "limit_bytes",
        "refused_count",
        "used_bytes",
    )

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.refused_count = 0
        self._large_bytes = 0
        self._waiting: deque[_Waiting] = deque()
        self._waiting_bytes = 0

    def holding(self) -> "MemoryHolding":
        """Return a new holding of no bytes."""
        return MemoryHolding(self)

    @property
    def is_contended(self) -> bool:
        """Whether a request waits for bytes that others hold."""
        return bool(self._waiting)

    def is_small(self, size_bytes: int) -> bool:
        """Whether a holding of this size may use the part that is kept for small ones."""
        return size_bytes <= self.limit_bytes * _SMALL_SHARE

    def can_ever_hold(self, size_bytes: int) -> bool:
        """Whether a holding of this size is granted when nothing else is held."""
        return size_bytes <= self.limit_bytes * _ALONE_FACTOR

    def _fits(self, old_bytes: int, new_bytes: int) -> bool:
        old_large_bytes = 0 if self.is_small(old_bytes) else old_bytes
        other_large_bytes = self._large_bytes - old_large_bytes
        used_bytes = self.used_bytes - old_bytes + new_bytes
        if self.is_small(new_bytes):
            small_bytes = used_bytes - other_large_bytes
            small_part_bytes = self.limit_bytes * (1 - _LARGE_SHARE)
            return used_bytes <= self.limit_bytes or small_bytes <= small_part_bytes
        if other_large_bytes == 0:
            total_bytes = self.limit_bytes * _TOTAL_FACTOR
            return self.can_ever_hold(new_bytes) and used_bytes <= total_bytes
        large_bytes = other_large_bytes + new_bytes
        return used_bytes <= self.limit_bytes and large_bytes <= self.limit_bytes * _LARGE_SHARE

    def _change(self, holding: "MemoryHolding", new_bytes: int) -> None:
        self.used_bytes += new_bytes - holding.size_bytes
        if holding.is_large:
            self._large_bytes -= holding.size_bytes
        holding.is_large = not self.is_small(new_bytes)
        if holding.is_large:
            self._large_bytes += new_bytes
        holding.size_bytes = new_bytes

    def _wake(self) -> None:
        """Grant what fits to those who wait, in their order; no large one overtakes another."""
        large_waits = False
        for waiting in list(self._waiting):
            if waiting.is_large and large_waits:
                continue
            if waiting.try_grant():
                self._waiting.remove(waiting)
                self._waiting_bytes -= waiting.held_bytes
            elif waiting.is_large:
                large_waits = True


class MemoryHolding:
    """The bytes that one request or connection holds of a budget; as a context, until it ends.

    Attributes
    ----------
    size_bytes
        The bytes held now.
    is_large
        Whether they count towards the part for large holdings.
    """

    __slots__ = ("_budget", "is_large", "size_bytes")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.size_bytes = 0
        self.is_large = False

    def try_resize(self, size_bytes: int) -> bool:
        """Hold `size_bytes` from now on, and return True; False if they can't be had now.

        Fewer bytes than before can always be had.
        """
        budget = self._budget
        if size_bytes > self.size_bytes:
            overtakes = budget.is_contended and not budget.is_small(size_bytes)
            if overtakes or not budget._fits(self.size_bytes, size_bytes):
                return False
        shrinks = size_bytes < self.size_bytes
        budget._change(self, size_bytes)
        if shrinks:
            budget._wake()
        return True

    def wait(self, size_bytes: int, on_granted: Callable[[], None]) -> Callable[[], None] | None:
        """Wait until `size_bytes` can be held; return a function that ends the waiting.

        `on_granted` is called when they are held. Returns None if too many requests wait already.
        """
        budget = self._budget
        limit_bytes = budget.limit_bytes * _WAITING_SHARE
        if budget._waiting_bytes + self.size_bytes > limit_bytes:
            return None
        waiting = _Waiting(self, size_bytes, on_granted)
        budget._waiting.append(waiting)
        budget._waiting_bytes += waiting.held_bytes

        def stop_waiting() -> None:
            if waiting in budget._waiting:
                budget._waiting.remove(waiting)
                budget._waiting_bytes -= waiting.held_bytes
                budget._wake()

        return stop_waiting

    def release(self) -> None:
        """Give back all that is held."""
        self.try_resize(0)

    def __enter__(self) -> "MemoryHolding":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.release()


class _Waiting:
    """A holding that waits to become larger; `held_bytes` is what it held when that began."""

    __slots__ = ("_holding", "_on_granted", "_size_bytes", "held_bytes", "is_large")

    def __init__(
        self, holding: MemoryHolding, size_bytes: int, on_granted: Callable[[], None]
    ) -> None:
        self._holding = holding
        self._size_bytes = size_bytes
        self._on_granted = on_granted
        self.held_bytes = holding.size_bytes
        self.is_large = not holding._budget.is_small(size_bytes)

    def try_grant(self) -> bool:
        budget = self._holding._budget
        if not budget._fits(self._holding.size_bytes, self._size_bytes):
            return False
        budget._change(self._holding, self._size_bytes)
        self._on_granted()
        return True
