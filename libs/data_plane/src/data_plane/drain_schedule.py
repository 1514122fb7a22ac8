"""The schedule of a process that drains, between SIGTERM and its end.

The process is killed `grace_ms` after SIGTERM. What it has taken up by then has to have its final
answer, so a request that may outlast the drain is refused once clients can know of the stop.
"""

__all__ = ["DrainSchedule"]

# Shares of `grace_ms`, in their order in time.
_TAKE_ALL_SHARE = 0.3
_ACCEPT_SHARE = 0.45
_ANSWER_SHARE = 0.88
_END_SHARE = 0.9
# Share of `grace_ms` between two checks whether a draining process is still busy.
_POLL_SHARE = 0.02
# No new clients are sent after two failed readiness probes, of which there is one a second.
_MAX_TAKE_ALL_MS = 2500


class DrainSchedule:
    """When a draining process does what, in milliseconds of the node's clock.

    Parameters
    ----------
    started_ms
        When the drain began.
    grace_ms
        How long after that the process is killed.

    Attributes
    ----------
    take_all_until_ms
        Until then every request is taken, as clients may not know yet that the process stops.
        Afterwards a request is taken only if its deadline is no later than `answer_by_ms`.
    accept_until_ms
        Until then connections are accepted, and idle ones stay open.
    answer_by_ms
        By then each request gets its final answer; this is a limit of all deadlines.
    end_ms
        Work that is still unfinished then is stopped.
    poll_ms
        The interval between two checks whether work is left; also how long the process waits for
        the last messages to leave.
    """

    __slots__ = ("accept_until_ms", "answer_by_ms", "end_ms", "poll_ms", "take_all_until_ms")

    def __init__(self, started_ms: int, grace_ms: int) -> None:
        take_all_ms = min(_MAX_TAKE_ALL_MS, grace_ms * _TAKE_ALL_SHARE)
        self.take_all_until_ms = started_ms + int(take_all_ms)
        self.accept_until_ms = started_ms + int(grace_ms * _ACCEPT_SHARE)
        self.answer_by_ms = started_ms + int(grace_ms * _ANSWER_SHARE)
        self.end_ms = started_ms + int(grace_ms * _END_SHARE)
        self.poll_ms = grace_ms * _POLL_SHARE

    def takes(self, now_ms: int, due_ms: int) -> bool:
        """Whether a request that arrives now, with the deadline `due_ms`, is taken."""
        return now_ms <= self.take_all_until_ms or due_ms <= self.answer_by_ms
