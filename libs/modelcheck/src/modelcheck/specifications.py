"""Sequential specifications that recorded histories are checked against.

These are a versioned register for a control key, and a batch job with the positions of its results.
They define what a caller may be told, and nothing of how the system brings it about.
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
"""The outcome of a change that is in force."""

ADMITTED, KNOWN, FULL = "admitted", "known", "full"
"""The responses to the submission of a job."""

MISSING = "missing"
"""The response to a read of a job that is not known."""


# -- a control key -----------------------------------------------------------------------------


class ChangeKey(NamedTuple):
    """A change based on a version, identified by its id; see `ChangeResponse`."""

    change_id: str
    base: int


class ChangeResponse(NamedTuple):
    """The outcome of a change, `CONFIRMED` or refused, and the version that it made or met."""

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

    Its state is the ids of the decided changes in their order; the first made version 1. A change
    sent again under its id is confirmed again as the version that it made.
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


# -- a batch job -------------------------------------------------------------------------------


class SubmitJob(NamedTuple):
    """The submission of a job; the response is `ADMITTED`, `KNOWN` or `FULL`."""


class CancelJob(NamedTuple):
    """The cancellation of a job; the response does not matter."""


class GetJob(NamedTuple):
    """A read of results from `start` on; the response is `MISSING`, or a `JobState` of them."""

    start: int


class JobState:
    """A job that is known: whether it was cancelled, and which results are listed.

    `listed` of `total` results are listed, and `results` has some of them by position. `cancelled`
    is None after a cancellation that may have come when all results were listed already, and then
    changes nothing.
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

    The system may append results at any time; a result never changes. A node may ask the log again
    for a caller whose call it forwarded, so the call that submits a job may be told that it is
    known.
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
        blank = JobState(False, 0, self._total, {})
        if not call.has_returned:
            return blank if state == _ABSENT else None
        if call.response == FULL:
            return _ABSENT if state == _ABSENT else None
        if state == _ABSENT:
            return blank
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
    """Whether a read may show `seen` after the state, with more results listed."""
    if seen.total != state.total or not state.listed <= seen.listed <= state.total:
        return False
    if any(state.results.get(position, text) != text for position, text in seen.results.items()):
        return False
    if state.cancelled is None:
        return bool(seen.cancelled) or seen.is_complete
    return seen.cancelled == state.cancelled


def _is_contiguous(start: int, seen: JobState) -> bool:
    """Whether the results shown follow each other from `start` on, and all of them are listed."""
    positions = sorted(seen.results)
    follow_on = positions == list(range(start, start + len(positions)))
    return follow_on and (not positions or positions[-1] < seen.listed)
