"""When slots of a pool of workers become free, as far as this edge can know.

The edge knows since when its own calls are being served, and about how long such calls take. What
the other edges have in flight is assumed to end in the same way, and each of them to have as many
calls queued as this one.
"""

from collections.abc import Iterable
from typing import Any

from request_routing.attempt import Attempt
from request_routing.prefill_tracker import PrefillTracker
from request_routing.service_times import ServiceTime, ServiceTimes
from request_routing.worker import Worker

__all__ = ["SlotForecast", "forecast_slots"]


class SlotForecast:
    """The forecast for one pool of workers.

    Parameters
    ----------
    slots, free_slots
        The number of the pool's slots, and how many of them no call occupies. These are given out
        one after another as the workers have read the prompts that they were sent.
    free_slot_ms
        When the next of the free slots is given out, in milliseconds from now.
    release_ms
        When calls of this edge are expected to end, in milliseconds from now, in ascending order.
    service_ms
        The mean service time of a call.
    edge_count
        The number of edges that share the workers, this one included.
    """

    __slots__ = (
        "_edge_count",
        "_free_slot_ms",
        "_free_slots",
        "_release_ms",
        "_round_ms",
        "_service_ms",
        "_slots",
    )

    def __init__(
        self,
        slots: int,
        free_slots: int,
        free_slot_ms: float,
        release_ms: list[float],
        service_ms: float,
        edge_count: int,
    ) -> None:
        self._slots = max(1, slots)
        self._free_slots = min(self._slots, max(0, free_slots))
        self._free_slot_ms = free_slot_ms
        earliest_ms = free_slot_ms if self._free_slots else 0.0
        self._release_ms = [max(earliest_ms, end_ms) for end_ms in release_ms]
        self._service_ms = service_ms
        self._edge_count = max(1, edge_count)
        first_round_ms = self._first_release_ms(self._slots - 1) - self._first_release_ms(0)
        self._round_ms = max(service_ms, first_round_ms)

    def wait_ms(self, position: int) -> float:
        """Return in how many milliseconds the call at this position gets a slot.

        The first position is 0. A later one never waits less than an earlier one.
        """
        rounds, rank = divmod((position + 1) * self._edge_count - 1, self._slots)
        return rounds * self._round_ms + self._first_release_ms(rank)

    def _first_release_ms(self, rank: int) -> float:
        """Return when the slot of this rank becomes free for the first time."""
        if rank < self._free_slots:
            return self._free_slot_ms
        rank -= self._free_slots
        occupied = self._slots - self._free_slots
        if not self._release_ms:
            earliest_ms = self._free_slot_ms if self._free_slots else 0.0
            return earliest_ms + self._service_ms * (rank + 1) / occupied
        return self._release_ms[rank * len(self._release_ms) // occupied]


def forecast_slots(
    workers: list[Worker],
    attempts: Iterable[Attempt],
    times: ServiceTimes,
    unknown: ServiceTime,
    prefill: PrefillTracker | None,
    edge_count: int,
    now_ms: int,
) -> SlotForecast:
    """Make the forecast of a pool of workers.

    Parameters
    ----------
    workers
        The pool.
    attempts
        This edge's attempts that are in flight at these workers, without rollout samples.
    times
        The service times that were learned.
    unknown
        The service time of routes of which none was learned.
    prefill
        Estimates of the prompts that workers have still to process, or None.
    edge_count
        The number of edges that share the workers, this one included.
    now_ms
        Time of the node's clock in milliseconds.
    """
    release_ms: list[float] = []
    service_ms: list[float] = []
    for attempt in attempts:
        call, profile = attempt.request.call, attempt.request.lifecycle.profile
        expected = times.expected(profile, call.job) or unknown
        release_ms.append(expected.left_ms(now_ms - attempt.started_ms))
        service_ms.append(expected.mean_ms)
    slots = sum(worker.slots for worker in workers)
    occupied = sum(min(float(worker.slots), _occupied(worker, now_ms)) for worker in workers)
    return SlotForecast(
        slots,
        int(slots - occupied),
        _prompts_read_ms(workers, prefill),
        sorted(release_ms),
        sum(service_ms) / len(service_ms) if service_ms else unknown.mean_ms,
        edge_count,
    )


def _occupied(worker: Worker, now_ms: int) -> float:
    """Return how many slots of a worker calls occupy that rollout samples don't give way to."""
    if not worker.listed:
        return float(worker.heartbeat_load)
    others = max(0.0, worker.other_load_now(now_ms) - worker.borrowed_elsewhere)
    return worker.in_flight - worker.borrowed + others


def _prompts_read_ms(workers: list[Worker], prefill: Any) -> float:
    """Return in how many milliseconds a worker is expected to have read its prompts."""
    if prefill is None:
        return 0.0
    return min((prefill.left_ms(worker.identity) for worker in workers), default=0.0)
