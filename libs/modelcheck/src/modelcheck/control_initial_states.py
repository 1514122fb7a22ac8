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


def _owner_race(voters: int, bounds: Bounds, connected: bool = False) -> ControlKeyModel:
    operations = [_change("a", 0, 0), _change("b", 1, 0)]
    return ControlKeyModel(voters, operations, bounds, connected=connected)


def _change_resent(bounds: Bounds, connected: bool = False) -> ControlKeyModel:
    """A change is sent to two nodes, and another change on the same base to the third."""
    operations = [_change("a", 0, 0), _change("a", 1, 0), _change("b", 2, 0)]
    return ControlKeyModel(3, operations, bounds, connected=connected)


def _change_resent_late(bounds: Bounds) -> ControlKeyModel:
    """A change is sent again, to another node, after the next change was answered."""
    operations = [_change("a", 0, 0), _change("b", 2, 1, (0,)), _change("a", 1, 0, (1,))]
    return ControlKeyModel(3, operations, bounds, connected=True)


def _forwarding_during_takeover(bounds: Bounds) -> ControlKeyModel:
    """Node 0 forwards its change to node 2, the key's owner, while node 1 takes the key over."""
    operations = [_change("a", 0, 0), _change("b", 1, 0), _read(1, (0,))]
    return ControlKeyModel(3, operations, bounds, owners={0: 2}, connected=True)


def _read_and_change_elsewhere(voters: int, bounds: Bounds) -> ControlKeyModel:
    """After a change at one node, another node reads the key and makes the next change."""
    operations = [_change("a", 0, 0), _read(1, (0,)), _change("b", 1, 1, (0,))]
    return ControlKeyModel(voters, operations, bounds)


def _read_at_previous_owner(bounds: Bounds) -> ControlKeyModel:
    """The previous owner of the key reads it after another node has changed it."""
    operations = [_change("a", 0, 0), _change("b", 1, 1, (0,)), _read(0, (1,))]
    return ControlKeyModel(3, operations, bounds)


CONTROL_INITIAL_STATES: dict[str, InitialState] = {
    "owners-racing": InitialState(
        "two owners race on three voters", lambda bounds: _owner_race(3, bounds)
    ),
    "five-voters": InitialState(
        "two owners race on five voters", lambda bounds: _owner_race(5, bounds)
    ),
    "three-voters": InitialState(
        "a change, then a read and the next change at another node; "
        "flushes are steps, one power loss",
        lambda bounds: _read_and_change_elsewhere(3, bounds),
        powers=1,
        slow_disk=True,
    ),
    "read-behind": InitialState(
        "the previous owner reads after another node's change", _read_at_previous_owner
    ),
    "change-resent": InitialState(
        "a change sent to two nodes, and another on the same base; requests time out",
        _change_resent,
        timeouts=1,
        ticks=1,
    ),
    "voter-wiped": InitialState(
        "a change, then a read and the next change at another node; a voter loses its disk",
        lambda bounds: _read_and_change_elsewhere(3, bounds),
        wipes=1,
    ),
    "control-faults": InitialState(
        "two owners race; a message is lost, another duplicated, a process killed, a node frozen",
        lambda bounds: _owner_race(3, bounds),
        losses=1,
        duplicates=1,
        kills=1,
        freezes=1,
        ticks=1,
    ),
    "five-connected": InitialState(
        "two owners race on five voters, ordered messages; requests time out, a disk is lost",
        lambda bounds: _owner_race(5, bounds, True),
        timeouts=1,
        ticks=1,
        wipes=1,
    ),
    "resent-connected": InitialState(
        "a change sent to two nodes, and another on the same base; ordered messages",
        lambda bounds: _change_resent(bounds, True),
        timeouts=1,
        ticks=1,
        kills=1,
        freezes=1,
    ),
    "resent-late": InitialState(
        "a change sent again after the next one was answered",
        _change_resent_late,
        timeouts=1,
        ticks=1,
    ),
    "relayed": InitialState(
        "a node forwards operations to the owner while another takes the key over",
        _forwarding_during_takeover,
        timeouts=2,
        ticks=2,
        kills=1,
    ),
}
