"""Forecast of whether batch jobs will meet their deadlines while rollouts use spare capacity.

The time that a job with waiting items needs is the number of unfinished items of all jobs due no
later than it, divided by the number of items that the edges can run at once, times the average
duration of an item of the job's path, times a margin. While a job may miss its deadline, the log's
leader recalls all samples.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from batch_state.jobs import Job
from batch_state.messages import RolloutHeartbeat
from batch_state.state import BatchState

__all__ = ["JobDeadlineForecast"]

_EWMA_WEIGHT = 0.2
"""Weight of the newest duration in the exponentially weighted moving average."""

_DEFAULT_ITEM_SHARE = 0.05
"""Assumed duration of an item while no duration is known for its path.

It is a fraction of the time from the job's admission to its deadline.
"""

_MARGIN = 2.0
"""Factor on the time that a job needs, before it is compared with the time that is left."""


class _EdgeCapacity(NamedTuple):
    """The number of items that an edge could start when it last reported, and when that was."""

    reported_ms: int
    items: int


class _LateJob(NamedTuple):
    """A job that may miss its deadline, with the figures of the forecast.

    `needed_ms` is the forecast time until its items have finished, margin included; `items_due` the
    number of unfinished items up to and including its own; `concurrency` how many run at once.
    """

    job: Job
    needed_ms: float
    items_due: int
    concurrency: int


class JobDeadlineForecast:
    """Forecasts from the capacities and item durations that edges report.

    Parameters
    ----------
    failure_timeout_ms
        How long the capacity in an edge's heartbeat counts.
    """

    __slots__ = ("_capacities", "_failure_timeout_ms", "_item_ms", "_job_at_risk")

    def __init__(self, failure_timeout_ms: int) -> None:
        self._failure_timeout_ms = failure_timeout_ms
        self._item_ms: dict[str, float] = {}
        self._capacities: dict[str, _EdgeCapacity] = {}
        self._job_at_risk = ""

    def record_heartbeat(self, heartbeat: RolloutHeartbeat, now_ms: int) -> None:
        """Record how many items an edge could start, and drop capacities that are too old."""
        self._capacities[heartbeat.edge] = _EdgeCapacity(now_ms, heartbeat.capacity)
        self._capacities = {
            edge: capacity
            for edge, capacity in self._capacities.items()
            if now_ms - capacity.reported_ms <= self._failure_timeout_ms
        }

    def record_item_duration(self, path: str, duration_ms: int) -> None:
        """Add the duration of a finished item to the moving average of its path."""
        average_ms = self._item_ms.get(path, duration_ms)
        self._item_ms[path] = average_ms * (1 - _EWMA_WEIGHT) + duration_ms * _EWMA_WEIGHT

    def at_risk(self, state: BatchState, log_ms: int, log: Callable[..., None]) -> bool:
        """Return whether a job may miss its deadline, and log a change of the answer.

        `log_ms` is the present time of the log's clock in milliseconds, as deadlines are.
        """
        late = self._first_late_job(state, log_ms)
        if late is not None and not self._job_at_risk:
            log(
                "loans-recalled",
                "WARNING",
                job=late.job.job_id,
                reason="a lot may come late",
                left_ms=late.job.due_ms - log_ms,
                need_ms=int(late.needed_ms),
                items=late.items_due,
                at_once=late.concurrency,
            )
        elif self._job_at_risk and late is None:
            log("loans-open", job=self._job_at_risk, reason="no lot may come late any more")
        self._job_at_risk = "" if late is None else late.job.job_id
        return late is not None

    def _first_late_job(self, state: BatchState, log_ms: int) -> _LateJob | None:
        """Return the job with the earliest deadline among those that may miss it, or None."""
        jobs = sorted(
            (job for job in state.open_jobs.values() if not job.rollout and job.unfinished),
            key=lambda job: job.due_ms,
        )
        concurrency = self._concurrency(jobs)
        items_due = 0
        for job in jobs:
            items_due += job.unfinished
            needed_ms = _MARGIN * math.ceil(items_due / concurrency) * self._expected_item_ms(job)
            if job.waiting and log_ms + needed_ms > job.due_ms:
                return _LateJob(job, needed_ms, items_due, concurrency)
        return None

    def _concurrency(self, jobs: list[Job]) -> int:
        """Return how many items can run at once: those claimed now plus the edges' free capacity.

        At least 1, so that the forecast is defined while no edge reports capacity.
        """
        free = sum(capacity.items for capacity in self._capacities.values())
        return max(1, free + sum(len(job.claims) for job in jobs))

    def _expected_item_ms(self, job: Job) -> float:
        default_ms = max(1, job.due_ms - job.at_ms) * _DEFAULT_ITEM_SHARE
        return self._item_ms.get(job.path, default_ms)
