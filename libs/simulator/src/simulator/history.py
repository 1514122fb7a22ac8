"""The history of a run: rows in the order in which they were recorded.

Rows record what clients observed and what workers ran. Internal state of the system is recorded
only as samples of the versions in force at edges and of leaders' backlogs.
"""

from enum import StrEnum
from typing import Any

__all__ = ["History", "Row", "RowKind"]

Row = dict[str, Any]


class RowKind(StrEnum):
    """The kind of a row; the value is the row's `kind`."""

    CALL = "call"
    """A client's live call, added at its start; the outcome is filled in later."""
    SUBMISSION = "hand-in"
    """A client's submission of a batch job."""
    READ = "read"
    """A client's read of a job's results."""
    CANCELLATION = "end"
    """An acknowledged cancellation of a job."""
    JOB_DONE = "lot-done"
    """A job whose results are all listed."""
    FINAL_READ = "final"
    """A read of an accepted job at the end of the run."""
    CHANGE = "change"
    """An operator's change of the profiles."""
    FINAL_CHANGE = "final-change"
    """The answer to an acknowledged change that was sent again at the end."""
    READ_KEY = "read-key"
    """A read of the profiles' key at a control node."""
    SENT = "send"
    """A request that an edge sent to a worker."""
    RUN = "run"
    """A request that a worker began to run."""
    RUN_ENDED = "run-ended"
    """A run that completed."""
    WORKER_LEFT = "worker-left"
    """A worker that crashed, left or became unresponsive."""
    FAULT = "fault"
    """A fault that was injected."""
    AWAY = "away"
    """A host that is down or frozen until `until_ms`."""
    CAPACITY = "capacity"
    """A sample of the share of all workers' slots that is free."""
    SAMPLE = "sample"
    """A sample of an edge: whether it is ready, and the version of the profiles in force there."""
    BACKLOG = "room"
    """A sample of a leader: how many jobs wait on a path."""
    PROBE = "probe"
    """A request of one kind, tried after recovery."""
    ROLLOUT_ACCEPTED = "rollout-accepted"
    """The first acknowledgement of a trainer's rollout."""
    ROLLOUT_READ = "rollout-read"
    """A trainer's read of samples."""
    LOAN_REQUESTED = "loan-asked"
    """The response to a trainer's request for a whole worker."""
    BORROWED = "borrowed"
    """A whole worker taken over by a trainer."""
    RETURNED = "handed-back"
    """A whole worker returned by a trainer."""


class History:
    """The rows of one run, and the settings by which the oracle judges them.

    `begun_calls` has calls that may never be answered. They are recorded for linearizability
    checks; the oracle's rules do not judge them.
    """

    __slots__ = ("begun_calls", "rows", "settings")

    def __init__(self, **settings: Any) -> None:
        self.rows: list[Row] = []
        self.begun_calls: list[Row] = []
        self.settings = settings

    def add(self, kind: str, at_ms: float, **fields: Any) -> Row:
        """Record a row at a virtual time and return it, so that its outcome can be filled in."""
        row = {"kind": kind, "at_ms": round(at_ms, 2), **fields}
        self.rows.append(row)
        return row

    def begin_call(self, kind: str, began_ms: float, **fields: Any) -> Row:
        """Record a call at its start and return it; `outcome` is "none" until it is answered."""
        row = {"kind": kind, "began_ms": began_ms, "outcome": "none", **fields}
        self.begun_calls.append(row)
        return row

    def rows_of(self, kind: str) -> list[Row]:
        """Return the rows of a kind in the order in which they were recorded."""
        return [row for row in self.rows if row["kind"] == kind]
