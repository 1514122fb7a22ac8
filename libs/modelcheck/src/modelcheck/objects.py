"""Sequential specifications that recorded histories are checked against.

These are a versioned register for a control key, and a batch (a lot) with the positions of its
results. They define what a caller may be told, and nothing of how the system brings it about.
"""

from typing import Any

from modelcheck.linearizability import Call

__all__ = [
    "ChangeKey",
    "CancelJob",
    "SubmitJob",
    "Job",
    "JobState",
    "GetJob",
    "ReadValue",
    "Register",
]


class _Asked:
    """An operation's arguments, printable for reports."""

    __slots__ = ()

    def __repr__(self) -> str:
        values = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"{type(self).__name__}({values})"


class ChangeKey(_Asked):
    """A change based on a version, identified by its id. Answers: (outcome, version)."""

    __slots__ = ("base", "change_id")

    def __init__(self, change_id: str, base: int) -> None:
        self.change_id = change_id
        self.base = base


class ReadValue(_Asked):
    """A read of a key. Answers: (version, id of the change that made it)."""

    __slots__ = ()


class Register:
    """The specification of a control key.

    Its state is the ids of the decided changes in their order; the first made version 1. A change
    sent again under its id is confirmed again as the version that it made.
    """

    def first(self) -> tuple[str, ...]:
        """Return version 0."""
        return ()

    def after(self, state: tuple[str, ...], call: Call) -> tuple[str, ...] | None:
        """Return the state after a call; see `Model.after`."""
        if isinstance(call.asked, ReadValue):
            version, change_id = call.answered
            right = version == len(state) and (not state or change_id == state[-1])
            return state if right else None
        fits = call.asked.base == len(state) and call.asked.change_id not in state
        taken = (*state, call.asked.change_id)
        if not call.known:
            return taken if fits else None
        outcome, version = call.answered
        if outcome != "ok":
            return None if fits or call.asked.change_id in state else state
        if call.asked.change_id in state:
            return state if state.index(call.asked.change_id) + 1 == version else None
        return taken if fits and version == len(taken) else None


class SubmitJob(_Asked):
    """The submission of a batch. Answers: "admitted", "known" or "full"."""

    __slots__ = ()


class CancelJob(_Asked):
    """The early end of a batch. Answers: "ended"."""

    __slots__ = ()


class GetJob(_Asked):
    """A read of results from `start` on. Answers: "missing", or a `JobState` of those shown."""

    __slots__ = ("start",)

    def __init__(self, start: int) -> None:
        self.start = start


class JobState:
    """A batch that is known: whether it was ended, and which results are listed.

    `listed` of `total` results are listed, and `results` has some of them by position. `ended` is
    None after an end that may have come when all results were listed already, and then changes
    nothing.
    """

    __slots__ = ("ended", "listed", "results", "total")

    def __init__(
        self, ended: bool | None, listed: int, total: int, results: dict[int, str]
    ) -> None:
        self.ended = ended
        self.listed = listed
        self.total = total
        self.results = results

    @property
    def whole(self) -> bool:
        """Whether every result is listed."""
        return self.listed == self.total

    def _key(self) -> tuple:
        return (self.ended, self.listed, self.total, tuple(sorted(self.results.items())))

    def __eq__(self, other: object) -> bool:
        return isinstance(other, JobState) and self._key() == other._key()

    def __hash__(self) -> int:
        return hash(self._key())

    def __repr__(self) -> str:
        return f"LotState(ended={self.ended}, {self.listed} of {self.total} listed)"


_ABSENT = "absent"


class Job:
    """The specification of a batch of `total` items.

    The system may append results at any time; a result never changes. A node may ask the log again
    for a caller whose call it forwarded, so the call that submits a batch may be told that it is
    known.
    """

    def __init__(self, total: int) -> None:
        self._total = total

    def first(self) -> Any:
        """Return the state before the submission."""
        return _ABSENT

    def after(self, state: Any, call: Call) -> Any:
        """Return the state after a call; see `Model.after`."""
        if isinstance(call.asked, SubmitJob):
            return self._handed_in(state, call)
        if isinstance(call.asked, CancelJob):
            return self._ended(state)
        return self._read(state, call)

    def _handed_in(self, state: Any, call: Call) -> Any:
        blank = JobState(False, 0, self._total, {})
        if not call.known:
            return blank if state == _ABSENT else None
        if call.answered == "full":
            return state if state == _ABSENT else None
        if state == _ABSENT:
            return blank
        return state if call.answered == "known" else None

    def _ended(self, state: Any) -> Any:
        if state == _ABSENT:
            return None
        if state.ended or state.whole:
            return state
        return JobState(None, state.listed, state.total, state.results)

    def _read(self, state: Any, call: Call) -> Any:
        seen = call.answered
        if state == _ABSENT or seen == "missing":
            return state if state == _ABSENT and seen == "missing" else None
        if not _may_follow(state, seen) or not _in_place(call.asked.start, seen):
            return None
        return JobState(seen.ended, seen.listed, state.total, {**state.results, **seen.results})


def _may_follow(state: JobState, seen: JobState) -> bool:
    if seen.total != state.total or not state.listed <= seen.listed <= state.total:
        return False
    if any(state.results.get(place, text) != text for place, text in seen.results.items()):
        return False
    if state.ended is None:
        return bool(seen.ended) or seen.whole
    return seen.ended == state.ended


def _in_place(start: int, seen: JobState) -> bool:
    places = sorted(seen.results)
    follow_on = places == list(range(start, start + len(places)))
    return follow_on and (not places or places[-1] < seen.listed)
