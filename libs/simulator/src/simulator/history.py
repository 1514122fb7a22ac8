"""The history of a run, as rows in the order in which they were recorded.

Rows record what clients saw and what workers did, and nothing that only the inside of the system
could know, except samples of what is in force at each edge.
"""

from enum import StrEnum
from typing import Any

__all__ = ["History", "Row", "RowKind"]

Row = dict[str, Any]


class RowKind(StrEnum):
    """What a row records; the text is what a row has under `kind`."""

    CALL = "call"
    """A live call of a client: at its start, with its outcome filled in later."""
    SUBMISSION = "hand-in"
    """A client's submission of a batch job."""
    READ = "read"
    """A client's read of a job's results."""
    CANCELLATION = "end"
    """A cancellation of a job that was acknowledged."""
    JOB_DONE = "lot-done"
    """A job whose results are all listed."""
    FINAL_READ = "final"
    """What is listed of an accepted job at the end of the run."""
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
    """A run that came to its end."""
    WORKER_LEFT = "worker-left"
    """A worker that crashed, left or fell silent."""
    FAULT = "fault"
    """A fault that was injected."""
    AWAY = "away"
    """A host that is down or frozen, until `until_ms`."""
    CAPACITY = "capacity"
    """A sample of the share of free slots of all workers."""
    SAMPLE = "sample"
    """A sample of an edge: whether it takes requests, and the version of the profiles in force."""
    BACKLOG = "room"
    """A sample of a leader: how many jobs wait on a path."""
    PROBE = "probe"
    """One kind of request tried after recovery."""
    ROLLOUT_ACCEPTED = "rollout-accepted"
    """A trainer's rollout that was acknowledged."""
    ROLLOUT_READ = "rollout-read"
    """A trainer's read of samples."""
    LOAN_REQUESTED = "loan-asked"
    """The answer to a trainer that asked for a whole worker."""
    BORROWED = "borrowed"
    """A trainer that has taken a worker."""
    RETURNED = "handed-back"
    """A trainer that has returned a worker."""


class History:
    """The rows of one run, and the settings by which the oracle judges them.

    `begun_calls` has what the oracle's rules don't judge and the linearizability check needs: calls
    that may never be answered.
    """

    __slots__ = ("begun_calls", "rows", "settings")

    def __init__(self, **settings: Any) -> None:
        self.rows: list[Row] = []
        self.begun_calls: list[Row] = []
        self.settings = settings

    def add(self, kind: str, at_ms: float, **fields: Any) -> Row:
        """Record a row at a virtual time and return it, for its outcome to be filled in later."""
        row = {"kind": kind, "at_ms": round(at_ms, 2), **fields}
        self.rows.append(row)
        return row

    def begin_call(self, kind: str, began_ms: float, **fields: Any) -> Row:
        """Note a call as it begins; `outcome` is filled in if it is answered."""
        row = {"kind": kind, "began_ms": began_ms, "outcome": "none", **fields}
        self.begun_calls.append(row)
        return row

    def rows_of(self, kind: str) -> list[Row]:
        """Return the rows of a kind, in order."""
        return [row for row in self.rows if row["kind"] == kind]
