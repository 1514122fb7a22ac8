"""Named starting states of the replicated log."""

from modelcheck.actions import Kind
from modelcheck.change_starts import CHANGE_STARTS
from modelcheck.log_operations import AppendRecord, ReadLog
from modelcheck.store_log import StoreGroup
from modelcheck.world import Bounds, Operation, Start, Step

__all__ = ["LOG_STARTS"]


def _append(name: str, node: int, after: tuple[int, ...] = ()) -> Operation:
    return Operation(f"append-{name}-at-{node}", node, AppendRecord(name), after)


def _read(node: int, after: tuple[int, ...] = ()) -> Operation:
    return Operation(f"read-at-{node}", node, ReadLog(), after)


def _holder_of_three(bounds: Bounds) -> StoreGroup:
    rows = [_append("x", 1), _append("y", 1, (1,)), _read(1, (2,))]
    return StoreGroup(3, 0, rows, bounds)


def _holder_lost(bounds: Bounds) -> StoreGroup:
    """One record has settled and another is in flight while the other two suspect the holder."""
    rows = [_append("x", 1), _append("y", 1, (1,)), _append("z", 2, (1,)), _read(1, (3,))]
    prelude = (
        Step(Kind.SUBMIT, 1, 1),
        Step(Kind.SUBMIT, 1, 2, drained=False),
        Step(Kind.REFUSED, 2, 1, drained=False),
        Step(Kind.REFUSED, 3, 1, drained=False),
        Step(Kind.TICK, 2, drained=False),
    )
    return StoreGroup(3, 0, rows, bounds, prelude=prelude)


def _old_holder(bounds: Bounds) -> StoreGroup:
    """Another store serves, and the previous holder, which was partitioned, does not know."""
    rows = [_append("x", 1), _append("y", 1, (1,)), _append("z", 2, (1,)), _read(1, (3,))]
    prelude = (
        Step(Kind.SUBMIT, 1, 1),
        Step(Kind.REFUSED, 2, 1, drained=False),
        Step(Kind.REFUSED, 3, 1, drained=False),
        Step(Kind.TICK, 2, without=1),
        Step(Kind.TICK, 2, without=1),
    )
    return StoreGroup(3, 0, rows, bounds, prelude=prelude)


def _two_claim(bounds: Bounds) -> StoreGroup:
    """Both other members are about to claim the holder's role."""
    rows = [_append("x", 1), _append("y", 2, (1,)), _append("z", 3, (1,))]
    prelude = (
        Step(Kind.SUBMIT, 1, 1),
        Step(Kind.REFUSED, 2, 1, drained=False),
        Step(Kind.REFUSED, 3, 1, drained=False),
        Step(Kind.TICK, 3, without=1),
        Step(Kind.TICK, 3, drained=False),
        Step(Kind.TICK, 2, drained=False),
        Step(Kind.CUT, 1, drained=False),
    )
    return StoreGroup(3, 0, rows, bounds, prelude=prelude)


def _spare(bounds: Bounds) -> StoreGroup:
    """A member is to leave, and a spare can replace it."""
    rows = [_append("x", 1), _append("y", 1, (1,)), _read(1, (2,))]
    prelude = (Step(Kind.SUBMIT, 1, 1),)
    return StoreGroup(3, 1, rows, bounds, retired=(3,), prelude=prelude)


LOG_STARTS: dict[str, Start] = {
    "three-stores": Start(
        "a holder and two peers; a process is started again with what was flushed",
        _holder_of_three,
        ticks=1,
        powers=1,
        slow_disk=True,
    ),
    "holder-lost": Start(
        "the other two members take the holder to be gone while it goes on", _holder_lost, ticks=1
    ),
    "holder-lost-and-power": Start(
        "the same; a store is started again with what was flushed", _holder_lost, powers=1
    ),
    "holder-lost-and-wipe": Start("the same; a store loses its disk", _holder_lost, wipes=1),
    "old-holder": Start("the holder before doesn't know of its successor", _old_holder, ticks=1),
    "two-claim": Start("both other members claim the holder's duty", _two_claim),
    "store-retires": Start("three stores and a spare; one store is to leave", _spare, ticks=3),
    **CHANGE_STARTS,
}
