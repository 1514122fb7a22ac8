"""What this package needs of others: the log's leader, archive files, profiles and forecasts."""

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
"""Takes the kind (`RecordKind`) and the name of a record whose archive file can't be read."""


class StampedRequest(Protocol):
    """A request that carries the leader's epoch and clock, as its sender last heard them."""

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
        """Append all entries or none, and return False if they were refused.

        `done` gets an `AppendOutcome`, if `committed` only once the last entry is committed, else
        once it is replicated in memory. An urgent append may use space that is held in reserve.
        """
        ...

    def read(self, done: Callable[[bool], None], /) -> None:
        """Call back with True once followers have confirmed the epoch after now, else False."""
        ...


class ArchiveReader(Protocol):
    """Reads results and answers from archive files."""

    def read_results(self, job: "Job", from_index: int, limit: int, /) -> list[bytes] | None:
        """Return results from an index on, at least one; None if the file can't be read."""
        ...

    def read_answer(self, key: "IdempotencyKey", /) -> str | None:
        """Return a key's final answer, or None if the file can't be read."""
        ...


class Profiles(Protocol):
    """The profiles of one version."""

    def usable(self, name: str, /) -> Any:
        """Return the profile of this name, or None if it is abstract or unknown."""
        ...

    def room(self, path: str, /) -> int | None:
        """Return the backlog limit of a path in jobs, or None if there is no such path."""
        ...


ProfileSource = Callable[[], tuple[int, Any]]
"""Returns the version and the `Profiles` in force at this store, None if it has none."""


class DeadlineForecast(Protocol):
    """Whether jobs will meet their deadlines beside rollouts."""

    def record_heartbeat(self, heartbeat: Any, now_ms: int, /) -> None:
        """Record an edge's free capacity."""
        ...

    def record_item_duration(self, path: str, duration_ms: int, /) -> None:
        """Record how many milliseconds an item of a path took."""
        ...

    def at_risk(self, state: "BatchState", log_ms: int, log: Callable[..., None], /) -> bool:
        """Return whether a job may miss its deadline; `log_ms` is the log's own time."""
        ...
