"""Starting states of the replicated log with a change of members under way.

Store 1 serves, store 2 is the member to be replaced, store 4 the spare that replaces it, and store
3 claims the holder's role at the same time. The spare is level up to record x; record y has been
acknowledged by stores 1 and 2 alone when the change begins.
"""

from collections.abc import Callable

from modelcheck.actions import Kind
from modelcheck.log_operations import AppendRecord, LearnFleet, ReadLog
from modelcheck.store_log import StoreGroup
from modelcheck.world import Bounds, Operation, Start, Step

__all__ = ["CHANGE_STARTS"]

_CONTROL, _HOLDER, _REPLACED, _CLAIMANT, _SPARE = range(5)
_TOLD = (_HOLDER, _CLAIMANT, _SPARE)
_X, _Y, _FIRST_NEWS = 1, 2, 3
_Z = _FIRST_NEWS + len(_TOLD)
_U = _Z + 1


def _operations(news: LearnFleet) -> list[Operation]:
    """Return the operations: x, y and the news belong to the prelude, the others to the search."""
    return [
        Operation("append-x-at-1", _HOLDER, AppendRecord("x")),
        Operation("append-y-at-1", _HOLDER, AppendRecord("y"), (_X,)),
        *(Operation(f"news-at-{index}", index, news, (_X,)) for index in _TOLD),
        Operation("append-z-at-1", _HOLDER, AppendRecord("z"), (_Y,)),
        Operation("append-u-at-3", _CLAIMANT, AppendRecord("u"), (_Y,)),
        Operation("read-at-1", _HOLDER, ReadLog(), (_U,)),
    ]


def _suspected() -> list[Step]:
    """Append x everywhere and y at stores 1 and 2; let the others suspect 1, and store 3 poll."""
    return [
        Step(Kind.SUBMIT, _HOLDER, _X),
        Step(Kind.TICK, _HOLDER),
        Step(Kind.TICK, _HOLDER),
        Step(Kind.SUBMIT, _HOLDER, _Y, drained=False),
        Step(Kind.CUT, _CLAIMANT, drained=False),
        Step(Kind.CUT, _SPARE),
        *(
            Step(Kind.REFUSED, index, _HOLDER, drained=False)
            for index in (_REPLACED, _CLAIMANT, _SPARE)
        ),
        Step(Kind.TICK, _CLAIMANT, without=_HOLDER),
    ]


def _learned() -> list[Step]:
    return [
        Step(Kind.SUBMIT, index, _FIRST_NEWS + place, drained=False)
        for place, index in enumerate(_TOLD)
    ]


def _change(wiped: bool, holder: tuple[Step, ...]) -> Callable[[Bounds], StoreGroup]:
    """Return a start in which the holder takes these steps between two ticks of the claimant.

    Store 2 is `wiped`, and another identity lives at its address, or else it is retired.
    """
    loss = [Step(Kind.WIPE, _REPLACED, drained=False)] if wiped else []
    claim = Step(Kind.TICK, _CLAIMANT, drained=False)
    prelude = (*_suspected(), *loss, *_learned(), *holder, claim)
    news = LearnFleet(wiped=(_REPLACED,)) if wiped else LearnFleet(retired=(_REPLACED,))
    return lambda bounds: StoreGroup(3, 1, _operations(news), bounds, prelude=prelude)


_BEGUN = (Step(Kind.TICK, _HOLDER, drained=False),)
_BEHIND = (Step(Kind.TICK, _HOLDER, lost_links=((_HOLDER, _CLAIMANT), (_HOLDER, _SPARE))),)
_ASKED = (Step(Kind.TICK, _HOLDER), Step(Kind.TICK, _HOLDER, drained=False))
_UNHEARD = (
    Step(Kind.TICK, _HOLDER),
    Step(Kind.TICK, _HOLDER, lost_links=((_CONTROL, _HOLDER),)),
)

CHANGE_STARTS: dict[str, Start] = {
    "gone-begun": Start(
        "a member lost its disk; its replacement has begun; another member claims",
        _change(True, _BEGUN),
        ticks=2,
    ),
    "gone-behind": Start(
        "the same; only control and the replaced member's address hear the holder",
        _change(True, _BEHIND),
        ticks=1,
    ),
    "gone-asked": Start(
        "the same; the holder's change and the other's claim are on their way to control",
        _change(True, _ASKED),
        ticks=1,
    ),
    "gone-unheard": Start(
        "the same; the change is decided, and the holder has no answer", _change(True, _UNHEARD)
    ),
    "retired-begun": Start(
        "a member is to leave; its replacement has begun; another member claims",
        _change(False, _BEGUN),
        ticks=2,
    ),
    "retired-behind": Start(
        "the same; only control and the member that leaves hear the holder",
        _change(False, _BEHIND),
        ticks=1,
    ),
    "retired-asked": Start(
        "the same; the holder's change and the other's claim are on their way to control",
        _change(False, _ASKED),
        ticks=1,
    ),
    "retired-unheard": Start(
        "the same; the change is decided, and the holder has no answer", _change(False, _UNHEARD)
    ),
}
