"""Initial states of the replicated log during a change of members.

Store 1 serves, store 2 is the member to be replaced, and store 3 claims the leader's role at the
same time. Only stores 1 and 2 have acknowledged record y. In the states `gone` and `retired` store
4 is the standby, which has the log up to record x; in `returned` the standby is the new identity at
the lost member's address, and store 3 lacks y.
"""

from collections.abc import Callable

from modelcheck.actions import ActionKind
from modelcheck.log_model import LogModel
from modelcheck.log_operations import AppendRecord, ReadLog, UpdateFleetView
from modelcheck.system_model import Bounds, InitialState, Operation, PreludeStep

__all__ = ["MEMBER_CHANGE_INITIAL_STATES"]

_CONTROL, _LEADER, _REPLACED, _CLAIMANT, _STANDBY = range(5)
_NOTIFIED = (_LEADER, _CLAIMANT, _STANDBY)
_NOTIFIED_WITHOUT_STANDBY = (_LEADER, _CLAIMANT, _REPLACED)
_APPEND_X, _APPEND_Y, _FIRST_UPDATE = 1, 2, 3
_APPEND_Z = _FIRST_UPDATE + len(_NOTIFIED)
_APPEND_U = _APPEND_Z + 1


def _operations(update: UpdateFleetView, notified: tuple[int, ...]) -> list[Operation]:
    """Return the operations; the prelude submits x, y and the updates, the search the others."""
    return [
        Operation("append-x-at-1", _LEADER, AppendRecord("x")),
        Operation("append-y-at-1", _LEADER, AppendRecord("y"), (_APPEND_X,)),
        *(Operation(f"news-at-{index}", index, update, (_APPEND_X,)) for index in notified),
        Operation("append-z-at-1", _LEADER, AppendRecord("z"), (_APPEND_Y,)),
        Operation("append-u-at-3", _CLAIMANT, AppendRecord("u"), (_APPEND_Y,)),
        Operation("read-at-1", _LEADER, ReadLog(), (_APPEND_U,)),
    ]


def _leader_suspected(*others: int) -> list[PreludeStep]:
    """Return the first steps of a prelude.

    Record x is appended at all stores and y at stores 1 and 2 only; then store 2 and the `others`
    suspect store 1, and store 3 polls the others.
    """
    return [
        PreludeStep(ActionKind.SUBMIT, _LEADER, _APPEND_X),
        PreludeStep(ActionKind.TICK, _LEADER),
        PreludeStep(ActionKind.TICK, _LEADER),
        PreludeStep(ActionKind.SUBMIT, _LEADER, _APPEND_Y, runs_to_quiescence=False),
        *(
            PreludeStep(ActionKind.PARTITION, index, runs_to_quiescence=index == others[-1])
            for index in others
        ),
        *(
            PreludeStep(ActionKind.CONNECTION_REFUSED, index, _LEADER, runs_to_quiescence=False)
            for index in (_REPLACED, *others)
        ),
        PreludeStep(ActionKind.TICK, _CLAIMANT, isolated=_LEADER),
    ]


def _updates(notified: tuple[int, ...]) -> list[PreludeStep]:
    return [
        PreludeStep(ActionKind.SUBMIT, index, _FIRST_UPDATE + position, runs_to_quiescence=False)
        for position, index in enumerate(notified)
    ]


def _member_replaced(
    wiped: bool, leader_steps: tuple[PreludeStep, ...]
) -> Callable[[Bounds], LogModel]:
    """Return an initial state in which store 2 is being replaced by store 4.

    Parameters
    ----------
    wiped
        Whether store 2 has lost its disk and has another identity; otherwise it is being retired.
    leader_steps
        The steps of the leader between two ticks of store 3.
    """
    loss = [PreludeStep(ActionKind.WIPE, _REPLACED, runs_to_quiescence=False)] if wiped else []
    claim = PreludeStep(ActionKind.TICK, _CLAIMANT, runs_to_quiescence=False)
    prelude = (
        *_leader_suspected(_CLAIMANT, _STANDBY),
        *loss,
        *_updates(_NOTIFIED),
        *leader_steps,
        claim,
    )
    update = UpdateFleetView(wiped=(_REPLACED,)) if wiped else UpdateFleetView(retired=(_REPLACED,))
    return lambda bounds: LogModel(3, 1, _operations(update, _NOTIFIED), bounds, prelude=prelude)


def _returned(*lost: tuple[int, int]) -> Callable[[Bounds], LogModel]:
    """Return an initial state in which the leader has requested to replace store 2.

    Its replacement is the new identity at the same address. Messages on the links `lost` are lost
    from the request until the search begins.
    """
    behind = ((_LEADER, _CLAIMANT),)
    prelude = (
        *_leader_suspected(_CLAIMANT),
        PreludeStep(ActionKind.WIPE, _REPLACED, runs_to_quiescence=False),
        *_updates(_NOTIFIED_WITHOUT_STANDBY),
        PreludeStep(ActionKind.CONNECTION_REFUSED, _REPLACED, _LEADER, runs_to_quiescence=False),
        PreludeStep(ActionKind.TICK, _LEADER, lost_links=behind),
        PreludeStep(ActionKind.TICK, _LEADER, lost_links=behind),
        PreludeStep(
            ActionKind.TICK, _LEADER, runs_to_quiescence=bool(lost), lost_links=(*behind, *lost)
        ),
        PreludeStep(ActionKind.TICK, _CLAIMANT, runs_to_quiescence=False),
    )
    operations = _operations(UpdateFleetView(wiped=(_REPLACED,)), _NOTIFIED_WITHOUT_STANDBY)
    return lambda bounds: LogModel(3, 0, operations, bounds, prelude=prelude)


_CHANGE_BEGUN = (PreludeStep(ActionKind.TICK, _LEADER, runs_to_quiescence=False),)
_STORES_BEHIND = (
    PreludeStep(ActionKind.TICK, _LEADER, lost_links=((_LEADER, _CLAIMANT), (_LEADER, _STANDBY))),
)
_CHANGE_REQUESTED = (
    PreludeStep(ActionKind.TICK, _LEADER),
    PreludeStep(ActionKind.TICK, _LEADER, runs_to_quiescence=False),
)
_RESPONSE_LOST = (
    PreludeStep(ActionKind.TICK, _LEADER),
    PreludeStep(ActionKind.TICK, _LEADER, lost_links=((_CONTROL, _LEADER),)),
)

MEMBER_CHANGE_INITIAL_STATES: dict[str, InitialState] = {
    "gone-begun": InitialState(
        "a member lost its disk; its replacement has begun while another claims the leader's role",
        _member_replaced(True, _CHANGE_BEGUN),
        ticks=2,
    ),
    "gone-behind": InitialState(
        "the same; the leader reaches only control and the replaced member's address",
        _member_replaced(True, _STORES_BEHIND),
        ticks=1,
    ),
    "gone-asked": InitialState(
        "the same; the leader's change and the other's claim are in flight to control",
        _member_replaced(True, _CHANGE_REQUESTED),
        ticks=1,
    ),
    "gone-unheard": InitialState(
        "the same; the change is decided, but the leader has no reply",
        _member_replaced(True, _RESPONSE_LOST),
    ),
    "retired-begun": InitialState(
        "a member is retired; its replacement has begun while another claims the leader's role",
        _member_replaced(False, _CHANGE_BEGUN),
        ticks=2,
    ),
    "retired-behind": InitialState(
        "the same; the leader reaches only control and the retired member",
        _member_replaced(False, _STORES_BEHIND),
        ticks=1,
    ),
    "retired-asked": InitialState(
        "the same; the leader's change and the other's claim are in flight to control",
        _member_replaced(False, _CHANGE_REQUESTED),
        ticks=1,
    ),
    "retired-unheard": InitialState(
        "the same; the change is decided, but the leader has no reply",
        _member_replaced(False, _RESPONSE_LOST),
    ),
    "returned-asked": InitialState(
        "a new identity at its address replaces a lost member; change and claim are in flight",
        _returned(),
        ticks=1,
    ),
    "returned-unheard": InitialState(
        "the same; the change is decided, but the leader has no reply",
        _returned((_CONTROL, _LEADER)),
        ticks=1,
    ),
}
