"""Initial states of the replicated log with a change of members under way.

Store 1 serves, store 2 is the member to be replaced, and store 3 claims the leader's role at the
same time. Record y has been acknowledged by stores 1 and 2 alone. In the states `gone` and
`retired` store 4 is the standby, caught up to record x; in `returned` the standby is the new
identity that lives at the lost member's address, and store 3 lacks y.
"""

from collections.abc import Callable

from modelcheck.actions import ActionKind
from modelcheck.log_model import LogModel
from modelcheck.log_operations import AppendRecord, LearnFleet, ReadLog
from modelcheck.system_model import Bounds, InitialState, Operation, PreludeStep

__all__ = ["MEMBER_CHANGE_INITIAL_STATES"]

_CONTROL, _LEADER, _REPLACED, _CLAIMANT, _STANDBY = range(5)
_NOTIFIED = (_LEADER, _CLAIMANT, _STANDBY)
_NOTIFIED_WITHOUT_STANDBY = (_LEADER, _CLAIMANT, _REPLACED)
_X, _Y, _FIRST_UPDATE = 1, 2, 3
_Z = _FIRST_UPDATE + len(_NOTIFIED)
_U = _Z + 1


def _operations(update: LearnFleet, notified: tuple[int, ...]) -> list[Operation]:
    """Return the operations: x, y and the updates are of the prelude, the others of the search."""
    return [
        Operation("append-x-at-1", _LEADER, AppendRecord("x")),
        Operation("append-y-at-1", _LEADER, AppendRecord("y"), (_X,)),
        *(Operation(f"news-at-{index}", index, update, (_X,)) for index in notified),
        Operation("append-z-at-1", _LEADER, AppendRecord("z"), (_Y,)),
        Operation("append-u-at-3", _CLAIMANT, AppendRecord("u"), (_Y,)),
        Operation("read-at-1", _LEADER, ReadLog(), (_U,)),
    ]


def _suspected(*others: int) -> list[PreludeStep]:
    """Append x everywhere and y at stores 1 and 2; let the others suspect 1, and store 3 poll."""
    return [
        PreludeStep(ActionKind.SUBMIT, _LEADER, _X),
        PreludeStep(ActionKind.TICK, _LEADER),
        PreludeStep(ActionKind.TICK, _LEADER),
        PreludeStep(ActionKind.SUBMIT, _LEADER, _Y, runs_on=False),
        *(
            PreludeStep(ActionKind.PARTITION, index, runs_on=index == others[-1])
            for index in others
        ),
        *(
            PreludeStep(ActionKind.CONNECTION_REFUSED, index, _LEADER, runs_on=False)
            for index in (_REPLACED, *others)
        ),
        PreludeStep(ActionKind.TICK, _CLAIMANT, isolated=_LEADER),
    ]


def _updates(notified: tuple[int, ...]) -> list[PreludeStep]:
    return [
        PreludeStep(ActionKind.SUBMIT, index, _FIRST_UPDATE + position, runs_on=False)
        for position, index in enumerate(notified)
    ]


def _change(wiped: bool, leader: tuple[PreludeStep, ...]) -> Callable[[Bounds], LogModel]:
    """Return an initial state where the leader takes these steps between two ticks of store 3.

    Store 2 is `wiped`, and another identity lives at its address, or else it is retired.
    """
    loss = [PreludeStep(ActionKind.WIPE, _REPLACED, runs_on=False)] if wiped else []
    claim = PreludeStep(ActionKind.TICK, _CLAIMANT, runs_on=False)
    prelude = (*_suspected(_CLAIMANT, _STANDBY), *loss, *_updates(_NOTIFIED), *leader, claim)
    update = LearnFleet(wiped=(_REPLACED,)) if wiped else LearnFleet(retired=(_REPLACED,))
    return lambda bounds: LogModel(3, 1, _operations(update, _NOTIFIED), bounds, prelude=prelude)


def _returned(*lost: tuple[int, int]) -> Callable[[Bounds], LogModel]:
    """Return an initial state where the leader has requested a change to store 2's successor.

    Messages on the links `lost` are lost from then on until the search begins.
    """
    behind = ((_LEADER, _CLAIMANT),)
    prelude = (
        *_suspected(_CLAIMANT),
        PreludeStep(ActionKind.WIPE, _REPLACED, runs_on=False),
        *_updates(_NOTIFIED_WITHOUT_STANDBY),
        PreludeStep(ActionKind.CONNECTION_REFUSED, _REPLACED, _LEADER, runs_on=False),
        PreludeStep(ActionKind.TICK, _LEADER, lost_links=behind),
        PreludeStep(ActionKind.TICK, _LEADER, lost_links=behind),
        PreludeStep(ActionKind.TICK, _LEADER, runs_on=bool(lost), lost_links=(*behind, *lost)),
        PreludeStep(ActionKind.TICK, _CLAIMANT, runs_on=False),
    )
    operations = _operations(LearnFleet(wiped=(_REPLACED,)), _NOTIFIED_WITHOUT_STANDBY)
    return lambda bounds: LogModel(3, 0, operations, bounds, prelude=prelude)


_CHANGE_BEGUN = (PreludeStep(ActionKind.TICK, _LEADER, runs_on=False),)
_STORES_BEHIND = (
    PreludeStep(ActionKind.TICK, _LEADER, lost_links=((_LEADER, _CLAIMANT), (_LEADER, _STANDBY))),
)
_CHANGE_REQUESTED = (
    PreludeStep(ActionKind.TICK, _LEADER),
    PreludeStep(ActionKind.TICK, _LEADER, runs_on=False),
)
_RESPONSE_LOST = (
    PreludeStep(ActionKind.TICK, _LEADER),
    PreludeStep(ActionKind.TICK, _LEADER, lost_links=((_CONTROL, _LEADER),)),
)

MEMBER_CHANGE_INITIAL_STATES: dict[str, InitialState] = {
    "gone-begun": InitialState(
        "a member lost its disk; its replacement has begun; another member claims",
        _change(True, _CHANGE_BEGUN),
        ticks=2,
    ),
    "gone-behind": InitialState(
        "the same; only control and the replaced member's address hear the leader",
        _change(True, _STORES_BEHIND),
        ticks=1,
    ),
    "gone-asked": InitialState(
        "the same; the leader's change and the other's claim are on their way to control",
        _change(True, _CHANGE_REQUESTED),
        ticks=1,
    ),
    "gone-unheard": InitialState(
        "the same; the change is decided, and the leader has no answer",
        _change(True, _RESPONSE_LOST),
    ),
    "retired-begun": InitialState(
        "a member is to leave; its replacement has begun; another member claims",
        _change(False, _CHANGE_BEGUN),
        ticks=2,
    ),
    "retired-behind": InitialState(
        "the same; only control and the member that leaves hear the leader",
        _change(False, _STORES_BEHIND),
        ticks=1,
    ),
    "retired-asked": InitialState(
        "the same; the leader's change and the other's claim are on their way to control",
        _change(False, _CHANGE_REQUESTED),
        ticks=1,
    ),
    "retired-unheard": InitialState(
        "the same; the change is decided, and the leader has no answer",
        _change(False, _RESPONSE_LOST),
    ),
    "returned-asked": InitialState(
        "a lost member's successor at its address replaces it; change and claim are on their way",
        _returned(),
        ticks=1,
    ),
    "returned-unheard": InitialState(
        "the same; the change is decided, and the leader has no answer",
        _returned((_CONTROL, _LEADER)),
        ticks=1,
    ),
}
