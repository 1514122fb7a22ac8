"""The sequential objects that recorded histories are held against: a versioned register for a control
key, and a lot with the positions of its results. They say what a caller may be told and nothing of
how the system brings it about.
"""

from typing import Any

from modelcheck.linearizability import Call

__all__ = ["ChangeKey", "EndLot", "HandIn", "Lot", "LotState", "ReadLot", "ReadValue", "Register"]


class _Asked:
    """What was asked; written out for reports."""

    __slots__ = ()

    def __repr__(self) -> str:
        values = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"{type(self).__name__}({values})"


class ChangeKey(_Asked):
    """A change on a base version, known by its id. Answers: (outcome, version)."""

    __slots__ = ("base", "change_id")

    def __init__(self, change_id: str, base: int) -> None:
        self.change_id = change_id
        self.base = base


class ReadValue(_Asked):
    """A reading of a key. Answers: (version, id of the change that made it)."""

    __slots__ = ()


class Register:
    """A control key. Its state is the ids of the changes taken, in their order: the first made version 1. A change
    sent again under its id is confirmed again as the version that it made.
    """

    def first(self) -> tuple[str, ...]:
        """Version 0."""
        return ()

    def after(self, state: tuple[str, ...], call: Call) -> tuple[str, ...] | None:
        """See `Model.after`."""
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


class HandIn(_Asked):
    """A lot handed in. Answers: admitted, known or full."""

    __slots__ = ()


class EndLot(_Asked):
    """A lot ended early. Answers: ended."""

    __slots__ = ()


class ReadLot(_Asked):
    """Results from a place on. Answers: missing, or a `LotState` with the rows that were shown."""

    __slots__ = ("start",)

    def __init__(self, start: int) -> None:
        self.start = start


class LotState:
    """A lot that is known: whether it was ended, how many of how many results are listed, and what some of them are.
    `ended` is None after an end that may have come when all was listed already, and then changes nothing.
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
        return isinstance(other, LotState) and self._key() == other._key()

    def __hash__(self) -> int:
        return hash(self._key())

    def __repr__(self) -> str:
        return f"LotState(ended={self.ended}, {self.listed} of {self.total} listed)"


_ABSENT = "absent"


class Lot:
    """One lot of so many items. Results are added at the end by the system at any time; what stands at a position
    stays. A node may ask the log again for a caller whose call it passed on, so the call that brings a lot in may
    be told that it is known.
    """

    def __init__(self, total: int) -> None:
        self._total = total

    def first(self) -> Any:
        """Before it is handed in."""
        return _ABSENT

    def after(self, state: Any, call: Call) -> Any:
        """See `Model.after`."""
        if isinstance(call.asked, HandIn):
            return self._handed_in(state, call)
        if isinstance(call.asked, EndLot):
            return self._ended(state)
        return self._read(state, call)

    def _handed_in(self, state: Any, call: Call) -> Any:
        blank = LotState(False, 0, self._total, {})
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
        return LotState(None, state.listed, state.total, state.results)

    def _read(self, state: Any, call: Call) -> Any:
        seen = call.answered
        if state == _ABSENT or seen == "missing":
            return state if state == _ABSENT and seen == "missing" else None
        if not _may_follow(state, seen) or not _in_place(call.asked.start, seen):
            return None
        return LotState(seen.ended, seen.listed, state.total, {**state.results, **seen.results})


def _may_follow(state: LotState, seen: LotState) -> bool:
    if seen.total != state.total or not state.listed <= seen.listed <= state.total:
        return False
    if any(state.results.get(place, text) != text for place, text in seen.results.items()):
        return False
    if state.ended is None:
        return bool(seen.ended) or seen.whole
    return seen.ended == state.ended


def _in_place(start: int, seen: LotState) -> bool:
    places = sorted(seen.results)
    follow_on = places == list(range(start, start + len(places)))
    return follow_on and (not places or places[-1] < seen.listed)
