"""Sequential specifications that recorded histories are checked against.

These are a versioned register for a control key, and a batch job with the positions of its results.
They define the responses that a caller may get, independently of the implementation.
"""

from typing import Any, NamedTuple

from modelcheck.linearizability import Call

__all__ = [
    "CancelJob",
    "ChangeKey",
    "ChangeResponse",
    "GetJob",
    "JobSpecification",
    "JobState",
    "ReadResponse",
    "ReadValue",
    "RegisterSpecification",
    "SubmitJob",
]

CONFIRMED = "ok"
"""The outcome of a change that was applied."""

ADMITTED, KNOWN, FULL = "admitted", "known", "full"
"""The responses to the submission of a job."""

MISSING = "missing"
"""The response to a read of an unknown job."""


class ChangeKey(NamedTuple):
    """A change of the version `base`, identified by its id; see `ChangeResponse`."""

    change_id: str
    base: int


class ChangeResponse(NamedTuple):
    """The outcome of a change, and the version that it made or, if it was refused, found."""

    outcome: str
    version: int


class ReadValue(NamedTuple):
    """A read of a key; see `ReadResponse`."""


class ReadResponse(NamedTuple):
    """The version read, and the id of the change that made it."""

    version: int
    change_id: str


class RegisterSpecification:
    """The specification of a control key.

    Its state is the ids of the applied changes in their order; the first of them made version 1. A
    change that is sent again under its id is confirmed again, as the version that it made.
    """

    def initial_state(self) -> tuple[str, ...]:
        """Return version 0."""
        return ()

    def next_state(self, state: tuple[str, ...], call: Call) -> tuple[str, ...] | None:
        """Return the state after a call; see `SequentialSpecification.next_state`."""
        if isinstance(call.request, ReadValue):
            version, change_id = call.response
            is_newest = version == len(state) and (not state or change_id == state[-1])
            return state if is_newest else None
        change: ChangeKey = call.request
        is_known = change.change_id in state
        may_apply = change.base == len(state) and not is_known
        applied = (*state, change.change_id)
        if not call.has_returned:
            return applied if may_apply else None
        outcome, version = call.response
        if outcome != CONFIRMED:
            return None if may_apply or is_known else state
        if is_known:
            return state if state.index(change.change_id) + 1 == version else None
        return applied if may_apply and version == len(applied) else None


class SubmitJob(NamedTuple):
    """The submission of a job; the response is `ADMITTED`, `KNOWN` or `FULL`."""


class CancelJob(NamedTuple):
    """The cancellation of a job; the response does not matter."""


class GetJob(NamedTuple):
    """A read of the results from `start` on; the response is `MISSING` or a `JobState`."""

    start: int


class JobState:
    """The state of a known job: whether it was cancelled, and its results.

    The first `listed` of `total` results are listed, and `results` has some of them by position.
    `cancelled` is None after a cancellation whose effect is not known: if all results were listed
    before it, it has none.
    """

    __slots__ = ("cancelled", "listed", "results", "total")

    def __init__(
        self, cancelled: bool | None, listed: int, total: int, results: dict[int, str]
    ) -> None:
        self.cancelled = cancelled
        self.listed = listed
        self.total = total
        self.results = results

    @property
    def is_complete(self) -> bool:
        """Whether every result is listed."""
        return self.listed == self.total

    def _key(self) -> tuple[Any, ...]:
        return (self.cancelled, self.listed, self.total, tuple(sorted(self.results.items())))

    def __eq__(self, other: object) -> bool:
        return isinstance(other, JobState) and self._key() == other._key()

    def __hash__(self) -> int:
        return hash(self._key())

    def __repr__(self) -> str:
        return f"JobState(cancelled={self.cancelled}, {self.listed} of {self.total} listed)"


_ABSENT = "absent"
_State = JobState | str


class JobSpecification:
    """The specification of a batch job of `total` items.

    The system may append results at any time; a result never changes. The call that submits the job
    may itself get the response `KNOWN`, because a node may repeat a request to the log that it
    forwards for a caller.
    """

    def __init__(self, total: int) -> None:
        self._total = total

    def initial_state(self) -> _State:
        """Return the state before the submission."""
        return _ABSENT

    def next_state(self, state: Any, call: Call) -> _State | None:
        """Return the state after a call; see `SequentialSpecification.next_state`."""
        if isinstance(call.request, SubmitJob):
            return self._submitted(state, call)
        if isinstance(call.request, CancelJob):
            return self._cancelled(state)
        return self._read(state, call)

    def _submitted(self, state: Any, call: Call) -> _State | None:
        submitted = JobState(False, 0, self._total, {})
        if not call.has_returned:
            return submitted if state == _ABSENT else None
        if call.response == FULL:
            return _ABSENT if state == _ABSENT else None
        if state == _ABSENT:
            return submitted
        known: JobState = state
        return known if call.response == KNOWN else None

    def _cancelled(self, state: Any) -> _State | None:
        if state == _ABSENT:
            return None
        known: JobState = state
        if known.cancelled or known.is_complete:
            return known
        return JobState(None, known.listed, known.total, known.results)

    def _read(self, state: Any, call: Call) -> _State | None:
        seen = call.response
        if state == _ABSENT or seen == MISSING:
            return _ABSENT if state == _ABSENT and seen == MISSING else None
        if not _may_follow(state, seen) or not _is_contiguous(call.request.start, seen):
            return None
        results = {**state.results, **seen.results}
        return JobState(seen.cancelled, seen.listed, state.total, results)


def _may_follow(state: JobState, seen: JobState) -> bool:
    """Whether a read may return `seen` in this state, possibly with more results listed since."""
    if seen.total != state.total or not state.listed <= seen.listed <= state.total:
        return False
    if any(state.results.get(position, text) != text for position, text in seen.results.items()):
        return False
    if state.cancelled is None:
        return bool(seen.cancelled) or seen.is_complete
    return seen.cancelled == state.cancelled


def _is_contiguous(start: int, seen: JobState) -> bool:
    """Whether the results have consecutive positions from `start` on, all of them listed."""
    positions = sorted(seen.results)
    is_consecutive = positions == list(range(start, start + len(positions)))
    return is_consecutive and (not positions or positions[-1] < seen.listed)
