"""The actions of the explorer, and the text form of a schedule of them."""

from enum import StrEnum

__all__ = ["Action", "Kind", "read_schedule", "write_schedule"]


class Kind(StrEnum):
    """What an action does.

    - DELIVER: a message arrives; DUPLICATE: it arrives and stays in flight; LOSE: it is dropped.
    - FLUSH: a node's oldest disk operation ends.
    - TICK: a node's timers run after tick_ms; TIMEOUT: after a request's timeout; FREEZE: after a
      pause so long that the node notices it.
    - KILL: a process restarts with all that it wrote; POWER: with only what was flushed; WIPE: with
      an empty disk.
    - REFUSED: a node is told that nothing listens at another's address, rightly or not.
    - CUT: all messages in flight to and from a node are lost.
    - SUBMIT: a node is given an operation of the scenario.
    """

    DELIVER = "deliver"
    DUPLICATE = "duplicate"
    LOSE = "lose"
    FLUSH = "flush"
    TICK = "tick"
    TIMEOUT = "timeout"
    FREEZE = "freeze"
    KILL = "kill"
    POWER = "power"
    WIPE = "wipe"
    REFUSED = "refused"
    CUT = "cut"
    SUBMIT = "submit"


MESSAGE_KINDS = (Kind.DELIVER, Kind.DUPLICATE, Kind.LOSE)


class Action:
    """One step of a schedule.

    `node` is the node that it happens to. `number` is the message's, the operation's or the other
    node's number, else 0. Messages are numbered in the order in which a run first sent them, so a
    schedule reads the same in every run.
    """

    __slots__ = ("kind", "node", "number")

    def __init__(self, kind: Kind, node: int, number: int = 0) -> None:
        self.kind = kind
        self.node = node
        self.number = number

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Action) and (self.kind, self.node, self.number) == (
            other.kind,
            other.node,
            other.number,
        )

    def __hash__(self) -> int:
        return hash((self.kind, self.node, self.number))

    def __repr__(self) -> str:
        return f"Action({self.kind}, {self.node}, {self.number})"


def write_schedule(steps: list[tuple[Kind, int, str]]) -> str:
    """Return a schedule as text, one step a line: kind, node, and message or operation."""
    return "\n".join(f"{kind} {node} {what}".rstrip() for kind, node, what in steps)


def read_schedule(text: str) -> list[tuple[Kind, int, str]]:
    """Return the steps of a schedule written as text.

    Raises
    ------
    ValueError: a line does not begin with a kind and a node's number.
    """
    steps = []
    for line in text.strip().splitlines():
        kind, node, *what = line.split(maxsplit=2)
        steps.append((Kind(kind), int(node), what[0] if what else ""))
    return steps
