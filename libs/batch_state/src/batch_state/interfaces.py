"""Interfaces that other packages implement: the log's leader, archives, profiles and forecasts."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from messaging import Message

if TYPE_CHECKING:
    from batch_state.idempotency_keys import IdempotencyKey
    from batch_state.jobs import Job
    from batch_state.state import BatchState

__all__ = [
    "ArchiveReader",
    "DeadlineForecast",
    "LogLeader",
    "ProfileSource",
    "Profiles",
    "RepairRequest",
    "Reply",
    "StampedRequest",
]

Reply = Callable[[Message], None]
"""Sends the response to a request."""

RepairRequest = Callable[[str, str], None]
"""Requests repair of an unreadable archive file, by its record's kind (`RecordKind`) and name."""


class StampedRequest(Protocol):
    """A request with the leader's epoch and monotonic clock (ms) that its sender last received."""

    epoch: int
    leader_ms: int


class LogLeader(Protocol):
    """The leader of the replicated log under one epoch.

    `state` includes entries that aren't committed yet. `deposed` is True once a higher epoch is
    known.
    """

    epoch: int
    deposed: bool
    state: "BatchState"

    @property
    def committed_state(self) -> "BatchState":
        """The state up to the last committed entry."""
        ...

    def append(
        self,
        entries: list[Message],
        committed: bool,
        done: Callable[[str], None],
        urgent: bool = False,
        /,
    ) -> bool:
        """Append all entries or none; return False if they were refused.

        Parameters
        ----------
        entries
            The entries; they may be empty.
        committed
            Whether to call `done` only once the last entry is committed, instead of once it is
            replicated in memory.
        done
            Called with an `AppendOutcome`.
        urgent
            Whether the append may use reserved space.
        """
        ...

    def read(self, done: Callable[[bool], None], /) -> None:
        """Call `done` with True once followers confirm the epoch after now, or else with False."""
        ...


class ArchiveReader(Protocol):
    """Reads results of jobs and final responses of idempotency keys from archive files."""

    def read_results(self, job: "Job", from_index: int, limit: int, /) -> list[bytes] | None:
        """Return encoded results from an index on, or None if the file can't be read.

        There are at most `limit`, and perhaps fewer than the job has, but at least one unless
        the index is beyond the last listed result.
        """
        ...

    def read_answer(self, key: "IdempotencyKey", /) -> str | None:
        """Return the body of a key's final response, or None if the file can't be read."""
        ...


class Profiles(Protocol):
    """The profiles of one version."""

    def usable(self, name: str, /) -> Any:
        """Return the profile of this name, or None if it is abstract or unknown."""
        ...

    def backlog_limit(self, path: str, /) -> int | None:
        """Return how many jobs, except rollouts, may be open on a path; None if it isn't usable."""
        ...


ProfileSource = Callable[[], tuple[int, Any]]
"""Returns the version and the `Profiles` in force at this store; the latter None if it has none."""


class DeadlineForecast(Protocol):
    """Forecasts whether jobs will meet their deadlines while rollouts use shared capacity."""

    def record_heartbeat(self, heartbeat: Any, now_ms: int, /) -> None:
        """Record an edge's free capacity."""
        ...

    def record_item_duration(self, path: str, duration_ms: int, /) -> None:
        """Record how many milliseconds an item of a path took."""
        ...

    def at_risk(self, state: "BatchState", log_ms: int, log: Callable[..., None], /) -> bool:
        """Return whether a job may miss its deadline, and log a change of the answer.

        `log_ms` is the log's own time in milliseconds.
        """
        ...
