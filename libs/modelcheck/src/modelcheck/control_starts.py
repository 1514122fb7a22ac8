"""Named starting states of control keys."""

from control_store import Change, ReadKey

from modelcheck.control_keys import KEY, ControlKeys
from modelcheck.world import Bounds, Operation, Start

__all__ = ["CONTROL_STARTS"]


def _change(name: str, node: int, base: int, after: tuple[int, ...] = ()) -> Operation:
    message = Change(key=KEY, version=base, change_id=name, body=f'"{name}"', hops=0)
    return Operation(f"change-{name}-at-{node}", node, message, after)


def _read(node: int, after: tuple[int, ...] = ()) -> Operation:
    return Operation(f"read-at-{node}", node, ReadKey(key=KEY, hops=0), after)


def _racing(voters: int, bounds: Bounds, connected: bool = False) -> ControlKeys:
    rows = [_change("a", 0, 0), _change("b", 1, 0)]
    return ControlKeys(voters, rows, bounds, connected=connected)


def _resent(bounds: Bounds, connected: bool = False) -> ControlKeys:
    """One change is sent to two nodes, and another has the same base."""
    rows = [_change("a", 0, 0), _change("a", 1, 0), _change("b", 2, 0)]
    return ControlKeys(3, rows, bounds, connected=connected)


def _resent_late(bounds: Bounds) -> ControlKeys:
    """A change is sent again, to another node, after the next one was confirmed."""
    rows = [_change("a", 0, 0), _change("b", 2, 1, (0,)), _change("a", 1, 0, (1,))]
    return ControlKeys(3, rows, bounds, connected=True)


def _relayed(bounds: Bounds) -> ControlKeys:
    """Two nodes forward operations to the key's owner, and one of them takes the key over."""
    rows = [_change("a", 0, 0), _change("b", 1, 0), _read(1, (0,))]
    return ControlKeys(3, rows, bounds, owners={0: 2}, connected=True)


def _read_back(voters: int, bounds: Bounds) -> ControlKeys:
    """A change is read through another node, which then makes the next one."""
    rows = [_change("a", 0, 0), _read(1, (0,)), _change("b", 1, 1, (0,))]
    return ControlKeys(voters, rows, bounds)


def _read_behind(bounds: Bounds) -> ControlKeys:
    """A node that owned the key reads it after another node has changed it."""
    rows = [_change("a", 0, 0), _change("b", 1, 1, (0,)), _read(0, (1,))]
    return ControlKeys(3, rows, bounds)


CONTROL_STARTS: dict[str, Start] = {
    "owners-racing": Start("two owners race on three voters", lambda bounds: _racing(3, bounds)),
    "five-voters": Start("two owners race on five voters", lambda bounds: _racing(5, bounds)),
    "three-voters": Start(
        "a change, a reading and the next change through another node; "
        "flushes are steps, power is cut",
        lambda bounds: _read_back(3, bounds),
        powers=1,
        slow_disk=True,
    ),
    "read-behind": Start("a node that was owner reads after another's change", _read_behind),
    "change-resent": Start(
        "a change sent to two nodes beside another on its base; askings time out",
        _resent,
        timeouts=1,
        ticks=1,
    ),
    "voter-wiped": Start(
        "a change, a reading and the next change; a voter loses its disk",
        lambda bounds: _read_back(3, bounds),
        wipes=1,
    ),
    "control-faults": Start(
        "two owners race; messages are lost and doubled, a process is killed, a node frozen",
        lambda bounds: _racing(3, bounds),
        losses=1,
        duplicates=1,
        kills=1,
        freezes=1,
        ticks=1,
    ),
    "five-connected": Start(
        "two owners race on five voters, messages in order; askings time out, a disk is lost",
        lambda bounds: _racing(5, bounds, True),
        timeouts=1,
        ticks=1,
        wipes=1,
    ),
    "resent-connected": Start(
        "a change sent to two nodes beside another on its base, messages in order",
        lambda bounds: _resent(bounds, True),
        timeouts=1,
        ticks=1,
        kills=1,
        freezes=1,
    ),
    "resent-late": Start(
        "a change sent again after the next one was confirmed", _resent_late, timeouts=1, ticks=1
    ),
    "relayed": Start(
        "a node passes orders on to the owner while another takes the key over",
        _relayed,
        timeouts=2,
        ticks=2,
        kills=1,
    ),
}
