"""Named initial states of control keys."""

from control_store import Change, ReadKey

from modelcheck.control_model import KEY, ControlKeyModel
from modelcheck.system_model import Bounds, InitialState, Operation

__all__ = ["CONTROL_INITIAL_STATES"]


def _change(name: str, node: int, base: int, requires: tuple[int, ...] = ()) -> Operation:
    message = Change(key=KEY, version=base, change_id=name, body=f'"{name}"', hops=0)
    return Operation(f"change-{name}-at-{node}", node, message, requires)


def _read(node: int, requires: tuple[int, ...] = ()) -> Operation:
    return Operation(f"read-at-{node}", node, ReadKey(key=KEY, hops=0), requires)


def _racing(voters: int, bounds: Bounds, connected: bool = False) -> ControlKeyModel:
    operations = [_change("a", 0, 0), _change("b", 1, 0)]
    return ControlKeyModel(voters, operations, bounds, connected=connected)


def _resent(bounds: Bounds, connected: bool = False) -> ControlKeyModel:
    """One change is sent to two nodes, and another has the same base."""
    operations = [_change("a", 0, 0), _change("a", 1, 0), _change("b", 2, 0)]
    return ControlKeyModel(3, operations, bounds, connected=connected)


def _resent_late(bounds: Bounds) -> ControlKeyModel:
    """A change is sent again, to another node, after the next one was confirmed."""
    operations = [_change("a", 0, 0), _change("b", 2, 1, (0,)), _change("a", 1, 0, (1,))]
    return ControlKeyModel(3, operations, bounds, connected=True)


def _forwarded(bounds: Bounds) -> ControlKeyModel:
    """Two nodes forward operations to the key's owner, and one of them takes the key over."""
    operations = [_change("a", 0, 0), _change("b", 1, 0), _read(1, (0,))]
    return ControlKeyModel(3, operations, bounds, owners={0: 2}, connected=True)


def _read_back(voters: int, bounds: Bounds) -> ControlKeyModel:
    """A change is read through another node, which then makes the next one."""
    operations = [_change("a", 0, 0), _read(1, (0,)), _change("b", 1, 1, (0,))]
    return ControlKeyModel(voters, operations, bounds)


def _read_behind(bounds: Bounds) -> ControlKeyModel:
    """A node that owned the key reads it after another node has changed it."""
    operations = [_change("a", 0, 0), _change("b", 1, 1, (0,)), _read(0, (1,))]
    return ControlKeyModel(3, operations, bounds)


CONTROL_INITIAL_STATES: dict[str, InitialState] = {
    "owners-racing": InitialState(
        "two owners race on three voters", lambda bounds: _racing(3, bounds)
    ),
    "five-voters": InitialState(
        "two owners race on five voters", lambda bounds: _racing(5, bounds)
    ),
    "three-voters": InitialState(
        "a change, a read and the next change through another node; "
        "flushes are steps, power is cut",
        lambda bounds: _read_back(3, bounds),
        powers=1,
        slow_disk=True,
    ),
    "read-behind": InitialState("a node that was owner reads after another's change", _read_behind),
    "change-resent": InitialState(
        "a change sent to two nodes beside another on its base; requests time out",
        _resent,
        timeouts=1,
        ticks=1,
    ),
    "voter-wiped": InitialState(
        "a change, a read and the next change; a voter loses its disk",
        lambda bounds: _read_back(3, bounds),
        wipes=1,
    ),
    "control-faults": InitialState(
        "two owners race; messages are lost and duplicated, a process is killed, a node frozen",
        lambda bounds: _racing(3, bounds),
        losses=1,
        duplicates=1,
        kills=1,
        freezes=1,
        ticks=1,
    ),
    "five-connected": InitialState(
        "two owners race on five voters, messages in order; requests time out, a disk is lost",
        lambda bounds: _racing(5, bounds, True),
        timeouts=1,
        ticks=1,
        wipes=1,
    ),
    "resent-connected": InitialState(
        "a change sent to two nodes beside another on its base, messages in order",
        lambda bounds: _resent(bounds, True),
        timeouts=1,
        ticks=1,
        kills=1,
        freezes=1,
    ),
    "resent-late": InitialState(
        "a change sent again after the next one was confirmed", _resent_late, timeouts=1, ticks=1
    ),
    "relayed": InitialState(
        "a node forwards operations to the owner while another takes the key over",
        _forwarded,
        timeouts=2,
        ticks=2,
        kills=1,
    ),
}
