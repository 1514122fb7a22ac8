"""Named initial states of the replicated log."""

from modelcheck.actions import ActionKind
from modelcheck.log_model import LogModel
from modelcheck.log_operations import AppendRecord, ReadLog
from modelcheck.member_change_initial_states import MEMBER_CHANGE_INITIAL_STATES
from modelcheck.system_model import Bounds, InitialState, Operation, PreludeStep

__all__ = ["LOG_INITIAL_STATES"]


def _append(name: str, node: int, requires: tuple[int, ...] = ()) -> Operation:
    return Operation(f"append-{name}-at-{node}", node, AppendRecord(name), requires)


def _read(node: int, requires: tuple[int, ...] = ()) -> Operation:
    return Operation(f"read-at-{node}", node, ReadLog(), requires)


def _leader_of_three(bounds: Bounds) -> LogModel:
    operations = [_append("x", 1), _append("y", 1, (1,)), _read(1, (2,))]
    return LogModel(3, 0, operations, bounds)


def _leader_suspected(bounds: Bounds) -> LogModel:
    """One record is committed and another is in flight while the other two suspect the leader."""
    operations = [_append("x", 1), _append("y", 1, (1,)), _append("z", 2, (1,)), _read(1, (3,))]
    prelude = (
        PreludeStep(ActionKind.SUBMIT, 1, 1),
        PreludeStep(ActionKind.SUBMIT, 1, 2, runs_to_quiescence=False),
        PreludeStep(ActionKind.CONNECTION_REFUSED, 2, 1, runs_to_quiescence=False),
        PreludeStep(ActionKind.CONNECTION_REFUSED, 3, 1, runs_to_quiescence=False),
        PreludeStep(ActionKind.TICK, 2, runs_to_quiescence=False),
    )
    return LogModel(3, 0, operations, bounds, prelude=prelude)


def _previous_leader(bounds: Bounds) -> LogModel:
    """Another store serves, unknown to the previous leader, which was partitioned."""
    operations = [_append("x", 1), _append("y", 1, (1,)), _append("z", 2, (1,)), _read(1, (3,))]
    prelude = (
        PreludeStep(ActionKind.SUBMIT, 1, 1),
        PreludeStep(ActionKind.CONNECTION_REFUSED, 2, 1, runs_to_quiescence=False),
        PreludeStep(ActionKind.CONNECTION_REFUSED, 3, 1, runs_to_quiescence=False),
        PreludeStep(ActionKind.TICK, 2, isolated=1),
        PreludeStep(ActionKind.TICK, 2, isolated=1),
    )
    return LogModel(3, 0, operations, bounds, prelude=prelude)


def _two_claimants(bounds: Bounds) -> LogModel:
    """Both followers are about to claim the leader's role."""
    operations = [_append("x", 1), _append("y", 2, (1,)), _append("z", 3, (1,))]
    prelude = (
        PreludeStep(ActionKind.SUBMIT, 1, 1),
        PreludeStep(ActionKind.CONNECTION_REFUSED, 2, 1, runs_to_quiescence=False),
        PreludeStep(ActionKind.CONNECTION_REFUSED, 3, 1, runs_to_quiescence=False),
        PreludeStep(ActionKind.TICK, 3, isolated=1),
        PreludeStep(ActionKind.TICK, 3, runs_to_quiescence=False),
        PreludeStep(ActionKind.TICK, 2, runs_to_quiescence=False),
        PreludeStep(ActionKind.PARTITION, 1, runs_to_quiescence=False),
    )
    return LogModel(3, 0, operations, bounds, prelude=prelude)


def _member_retired(bounds: Bounds) -> LogModel:
    """A member is being retired, and a standby can replace it."""
    operations = [_append("x", 1), _append("y", 1, (1,)), _read(1, (2,))]
    prelude = (PreludeStep(ActionKind.SUBMIT, 1, 1),)
    return LogModel(3, 1, operations, bounds, retired=(3,), prelude=prelude)


LOG_INITIAL_STATES: dict[str, InitialState] = {
    "three-stores": InitialState(
        "a leader and two followers; flushes are separate steps, one power loss",
        _leader_of_three,
        ticks=1,
        powers=1,
        slow_disk=True,
    ),
    "holder-lost": InitialState(
        "both followers suspect the leader while it continues to serve",
        _leader_suspected,
        ticks=1,
    ),
    "holder-lost-and-power": InitialState(
        "the same; a store restarts with only what was flushed", _leader_suspected, powers=1
    ),
    "holder-lost-and-wipe": InitialState(
        "the same; a store loses its disk",
        _leader_suspected,
        wipes=1,
    ),
    "old-holder": InitialState(
        "the previous leader does not know of its successor",
        _previous_leader,
        ticks=1,
    ),
    "two-claim": InitialState("both followers claim the leader's role", _two_claimants),
    "store-retires": InitialState(
        "three stores and a standby; one store is being retired",
        _member_retired,
        ticks=3,
    ),
    **MEMBER_CHANGE_INITIAL_STATES,
}
