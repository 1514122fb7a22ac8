"""Whether lots (batches of items) will meet their deadlines beside rollouts.

For each waiting lot: the items due up to and including its own, divided by what edges can run at
once, times how long an item has been seen to take, with a margin. Once a lot may be late, every
sample is given up until none may be.
"""

import math
from collections.abc import Callable
from typing import Any

__all__ = ["JobOutlook"]

_KNOWN = 0.2
_GUESS = 0.05
_MARGIN = 2.0


class JobOutlook:
    """The forecast of lots' deadlines, from the room and the durations that edges report."""

    __slots__ = ("_dead_ms", "_item_ms", "_risk", "_rooms")

    def __init__(self, failure_timeout_ms: int) -> None:
        self._dead_ms = failure_timeout_ms
        self._item_ms: dict[str, float] = {}
        self._rooms: dict[str, tuple[int, int]] = {}
        self._risk = ""

    def heard(self, beat: Any, now_ms: int) -> None:
        """Take from an edge's heartbeat how many items it could start."""
        self._rooms[beat.edge] = (now_ms, beat.capacity)
        self._rooms = {
            edge: row for edge, row in self._rooms.items() if now_ms - row[0] <= self._dead_ms
        }

    def took(self, path: str, took_ms: int) -> None:
        """Record how long an item of a path took, in a moving average."""
        self._item_ms[path] = self._item_ms.get(path, took_ms) * (1 - _KNOWN) + took_ms * _KNOWN

    def at_risk(self, state: Any, log_ms: int, log: Callable[..., None]) -> bool:
        """Return whether a lot may miss its deadline; a change of the answer is logged.

        `log_ms` is the present time on the log's clock, which deadlines are given in.
        """
        jobs = sorted(
            (job for job in state.open_jobs.values() if not job.rollout and job.unfinished),
            key=lambda job: job.due_ms,
        )
        at_once = max(
            1, sum(room for _, room in self._rooms.values()) + sum(len(job.claims) for job in jobs)
        )
        ahead, risk = 0, ""
        for job in jobs:
            ahead += job.unfinished
            item_ms = self._item_ms.get(job.path, max(1, job.due_ms - job.at_ms) * _GUESS)
            need_ms = _MARGIN * math.ceil(ahead / at_once) * item_ms
            if job.waiting and log_ms + need_ms > job.due_ms:
                risk = job.job_id
                break
        if risk and not self._risk:
            log(
                "loans-recalled",
                "WARNING",
                job=risk,
                reason="a lot may come late",
                left_ms=job.due_ms - log_ms,
                need_ms=int(need_ms),
                items=ahead,
                at_once=at_once,
            )
        elif self._risk and not risk:
            log("loans-open", job=self._risk, reason="no lot may come late any more")
        self._risk = risk
        return bool(risk)
