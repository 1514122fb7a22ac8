"""The actions of the explorer, and the text form of a schedule of them."""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

__all__ = ["Action", "ActionKind", "ScheduleStep", "read_schedule", "write_schedule"]


class ActionKind(StrEnum):
    """What an action does; the values are those of written schedules.

    - DELIVER: a message arrives; DUPLICATE: it arrives and stays in flight; LOSE: it is dropped.
    - FLUSH: a node's oldest disk operation ends.
    - TICK: a node's timers run after tick_ms; TIMEOUT: after a request's timeout; FREEZE: after a
      pause so long that the node notices it.
    - KILL: a process restarts with all that it wrote; POWER_LOSS: with only what was flushed; WIPE:
      with an empty disk.
    - CONNECTION_REFUSED: a node learns that nothing listens at another's address, rightly or not.
    - PARTITION: all messages in flight to and from a node are lost.
    - SUBMIT: a node is given an operation of the model.
    """

    DELIVER = "deliver"
    DUPLICATE = "duplicate"
    LOSE = "lose"
    FLUSH = "flush"
    TICK = "tick"
    TIMEOUT = "timeout"
    FREEZE = "freeze"
    KILL = "kill"
    POWER_LOSS = "power"
    WIPE = "wipe"
    CONNECTION_REFUSED = "refused"
    PARTITION = "cut"
    SUBMIT = "submit"


class Action:
    """One step of a schedule.

    `node` is the node that it happens to. `number` is the message's, the operation's or the other
    node's number, else 0. Messages are numbered in the order in which a run first sent them, so a
    schedule reads the same in every run.
    """

    __slots__ = ("kind", "node", "number")

    def __init__(self, kind: ActionKind, node: int, number: int = 0) -> None:
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


class ScheduleStep(NamedTuple):
    """An action as it is written: its subject is a message's, an operation's or a node's name."""

    kind: ActionKind
    node: int
    subject: str


def write_schedule(steps: Iterable[ScheduleStep]) -> str:
    """Return a schedule as text, one step a line: kind, node, and subject."""
    return "\n".join(f"{step.kind} {step.node} {step.subject}".rstrip() for step in steps)


def read_schedule(text: str) -> list[ScheduleStep]:
    """Return the steps of a schedule written as text.

    Raises
    ------
    ValueError: a line does not begin with a kind and a node's number.
    """
    steps = []
    for line in text.strip().splitlines():
        kind, node, *subject = line.split(maxsplit=2)
        steps.append(ScheduleStep(ActionKind(kind), int(node), subject[0] if subject else ""))
    return steps
