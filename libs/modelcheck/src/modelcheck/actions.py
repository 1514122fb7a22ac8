"""The actions of the explorer, and the text form of a schedule of them."""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

__all__ = ["Action", "ActionKind", "ScheduleStep", "read_schedule", "write_schedule"]


class ActionKind(StrEnum):
    """The kind of an action; written schedules contain the values.

    - DELIVER: a message is delivered; DUPLICATE: it is delivered and stays in flight; LOSE: it is
      dropped.
    - FLUSH: the oldest unfinished flush or file replacement of a node completes.
    - TICK: a node's clock advances by the model's `tick_ms` and its timers run; TIMEOUT: it
      advances by the timeout of a request; FREEZE: by a pause that is long enough for the node to
      detect it.
    - KILL: a process restarts with everything that it wrote; POWER_LOSS: with only what was
      flushed; WIPE: with an empty disk.
    - CONNECTION_REFUSED: a node is notified that another node's address refuses connections,
      whether or not that node is running.
    - PARTITION: all messages in flight to and from a node are lost.
    - SUBMIT: an operation of the model is submitted to its node.
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

    Messages are numbered in the order in which the explorer first saw them sent, so repeating the
    same search gives the same numbers. A `ScheduleStep` names a message by its content instead.

    Parameters
    ----------
    node
        The number of the node at which the action happens.
    number
        The number of the message, of the operation, or of the node whose address refuses
        connections; 0 for the other kinds.
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
    """An action in a written schedule.

    `subject` names the message, the operation or the other node of the action; it is empty for the
    other kinds.
    """

    kind: ActionKind
    node: int
    subject: str


def write_schedule(steps: Iterable[ScheduleStep]) -> str:
    """Return a schedule as text, one step per line: kind, node and subject."""
    return "\n".join(f"{step.kind} {step.node} {step.subject}".rstrip() for step in steps)


def read_schedule(text: str) -> list[ScheduleStep]:
    """Return the steps of a schedule written as text.

    Raises
    ------
    ValueError
        A line does not begin with a kind and the number of a node.
    """
    steps = []
    for line in text.strip().splitlines():
        kind, node, *subject = line.split(maxsplit=2)
        steps.append(ScheduleStep(ActionKind(kind), int(node), subject[0] if subject else ""))
    return steps
