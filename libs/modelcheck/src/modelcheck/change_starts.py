"""Starting states of the replicated log with a change of members under way.

Store 1 serves, store 2 is the member to be replaced, and store 3 claims the holder's role at the
same time. Record y has been acknowledged by stores 1 and 2 alone. In the starts `gone` and
`retired` store 4 is the spare, level up to record x; in `returned` the spare is the new identity
that lives at the lost member's address, and store 3 lacks y.
"""

from collections.abc import Callable

from modelcheck.actions import Kind
from modelcheck.log_operations import AppendRecord, LearnFleet, ReadLog
from modelcheck.store_log import StoreGroup
from modelcheck.world import Bounds, Operation, Start, Step

__all__ = ["CHANGE_STARTS"]

_CONTROL, _HOLDER, _REPLACED, _CLAIMANT, _SPARE = range(5)
_TOLD = (_HOLDER, _CLAIMANT, _SPARE)
_TOLD_WITHOUT_SPARE = (_HOLDER, _CLAIMANT, _REPLACED)
_X, _Y, _FIRST_NEWS = 1, 2, 3
_Z = _FIRST_NEWS + len(_TOLD)
_U = _Z + 1


def _operations(news: LearnFleet, told: tuple[int, ...]) -> list[Operation]:
    """Return the operations: x, y and the news belong to the prelude, the others to the search."""
    return [
        Operation("append-x-at-1", _HOLDER, AppendRecord("x")),
        Operation("append-y-at-1", _HOLDER, AppendRecord("y"), (_X,)),
        *(Operation(f"news-at-{index}", index, news, (_X,)) for index in told),
        Operation("append-z-at-1", _HOLDER, AppendRecord("z"), (_Y,)),
        Operation("append-u-at-3", _CLAIMANT, AppendRecord("u"), (_Y,)),
        Operation("read-at-1", _HOLDER, ReadLog(), (_U,)),
    ]


def _suspected(*others: int) -> list[Step]:
    """Append x everywhere and y at stores 1 and 2; let the others suspect 1, and store 3 poll."""
    return [
        Step(Kind.SUBMIT, _HOLDER, _X),
        Step(Kind.TICK, _HOLDER),
        Step(Kind.TICK, _HOLDER),
        Step(Kind.SUBMIT, _HOLDER, _Y, drained=False),
        *(Step(Kind.CUT, index, drained=index == others[-1]) for index in others),
        *(Step(Kind.REFUSED, index, _HOLDER, drained=False) for index in (_REPLACED, *others)),
        Step(Kind.TICK, _CLAIMANT, without=_HOLDER),
    ]


def _learned(told: tuple[int, ...]) -> list[Step]:
    return [
        Step(Kind.SUBMIT, index, _FIRST_NEWS + place, drained=False)
        for place, index in enumerate(told)
    ]


def _change(wiped: bool, holder: tuple[Step, ...]) -> Callable[[Bounds], StoreGroup]:
    """Return a start in which the holder takes these steps between two ticks of the claimant.

    Store 2 is `wiped`, and another identity lives at its address, or else it is retired.
    """
    loss = [Step(Kind.WIPE, _REPLACED, drained=False)] if wiped else []
    claim = Step(Kind.TICK, _CLAIMANT, drained=False)
    prelude = (*_suspected(_CLAIMANT, _SPARE), *loss, *_learned(_TOLD), *holder, claim)
    news = LearnFleet(wiped=(_REPLACED,)) if wiped else LearnFleet(retired=(_REPLACED,))
    return lambda bounds: StoreGroup(3, 1, _operations(news, _TOLD), bounds, prelude=prelude)


def _returned(*lost: tuple[int, int]) -> Callable[[Bounds], StoreGroup]:
    """Return a start in which the holder has asked for a change to the lost member's successor.

    Messages on the links `lost` are lost from then on until the search begins.
    """
    behind = ((_HOLDER, _CLAIMANT),)
    prelude = (
        *_suspected(_CLAIMANT),
        Step(Kind.WIPE, _REPLACED, drained=False),
        *_learned(_TOLD_WITHOUT_SPARE),
        Step(Kind.REFUSED, _REPLACED, _HOLDER, drained=False),
        Step(Kind.TICK, _HOLDER, lost_links=behind),
        Step(Kind.TICK, _HOLDER, lost_links=behind),
        Step(Kind.TICK, _HOLDER, drained=bool(lost), lost_links=(*behind, *lost)),
        Step(Kind.TICK, _CLAIMANT, drained=False),
    )
    rows = _operations(LearnFleet(wiped=(_REPLACED,)), _TOLD_WITHOUT_SPARE)
    return lambda bounds: StoreGroup(3, 0, rows, bounds, prelude=prelude)


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
    "returned-asked": Start(
        "a lost member's successor at its address replaces it; change and claim are on their way",
        _returned(),
        ticks=1,
    ),
    "returned-unheard": Start(
        "the same; the change is decided, and the holder has no answer",
        _returned((_CONTROL, _HOLDER)),
        ticks=1,
    ),
}
