"""What a model of a group of nodes has to define for the explorer.

It defines the nodes and how they start, the operations that they are given, what is observed of
them, and the invariants. The explorer knows nothing else about the group.

Invariants often speak of the past: "a confirmed change is never lost" can't be judged by the nodes'
present states alone. A model therefore has a ghost variable (also called auxiliary or history
variable): a value that the nodes never see, which collects what has been observed of them so far.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Hashable
from typing import Any, NamedTuple

from messaging import Message, Node

from modelcheck.actions import ActionKind
from modelcheck.model_environment import BootImage, ModelDisk, ModelEnvironment

__all__ = [
    "Bounds",
    "InitialState",
    "InvariantViolationError",
    "Observation",
    "Operation",
    "OperationSubmitted",
    "PreludeStep",
    "RunningNode",
    "SystemModel",
]

Observation = tuple[Any, ...]
"""A fact that was observed in one step: a named tuple of the model."""


class InvariantViolationError(Exception):
    """An invariant does not hold; `invariant` is its number, such as C1."""

    def __init__(self, invariant: str, explanation: str) -> None:
        super().__init__(f"{invariant}: {explanation}")
        self.invariant = invariant


class Bounds:
    """The bounds of a search.

    The counts (`COUNTS`) limit how often each kind of fault may happen in one schedule, `depth` its
    number of steps, `states` the global states visited, and `seconds` the time. With `slow_disk`
    the end of each flush is a step of its own; without it flushes end at once. An unknown count
    raises TypeError.
    """

    COUNTS = (
        "duplicates",
        "losses",
        "ticks",
        "timeouts",
        "freezes",
        "kills",
        "powers",
        "wipes",
        "refusals",
        "cuts",
    )
    __slots__ = ("_counts", "depth", "seconds", "slow_disk", "states")

    def __init__(
        self,
        depth: int = 100,
        states: int = 100_000,
        seconds: float = 1e9,
        slow_disk: bool = False,
        **counts: int,
    ) -> None:
        unknown = [name for name in counts if name not in self.COUNTS]
        if unknown:
            raise TypeError(f"no such bound: {', '.join(unknown)}")
        self.depth = depth
        self.states = states
        self.seconds = seconds
        self.slow_disk = slow_disk
        self._counts = counts

    def counts(self) -> tuple[int, ...]:
        """Return how often each kind of fault may happen, in the order of `COUNTS`."""
        return tuple(self._counts.get(name, 0) for name in self.COUNTS)

    def __repr__(self) -> str:
        counts = zip(self.COUNTS, self.counts(), strict=True)
        texts = [f"{name} {count}" for name, count in counts if count]
        return ", ".join([*texts, "slow disk"] if self.slow_disk else texts) or "no faults"


class Operation:
    """A client's operation on a node, submitted once in a schedule.

    It may be submitted at any time after the operations that it `requires` (by their number in the
    model) have been answered.
    """

    __slots__ = ("message", "name", "node", "requires")

    def __init__(self, name: str, node: int, message: Any, requires: tuple[int, ...] = ()) -> None:
        self.name = name
        self.node = node
        self.message = message
        self.requires = requires


class OperationSubmitted(NamedTuple):
    """The observation that an operation was submitted, by its number."""

    operation: int


class RunningNode:
    """A running node with its simulated environment and disk.

    `observations` collects what the model observes of the node in a step.
    """

    __slots__ = ("disk", "env", "node", "observations")

    node: Node

    def __init__(self, env: ModelEnvironment, disk: ModelDisk) -> None:
        self.env = env
        self.disk = disk
        self.observations: list[Observation] = []


class InitialState:
    """A named initial state, with the default bounds of its exploration."""

    __slots__ = ("_bounds", "_make", "summary")

    def __init__(
        self, summary: str, make: Callable[[Bounds], "SystemModel"], **bounds: Any
    ) -> None:
        self.summary = summary
        self._make = make
        self._bounds = bounds

    def model(self, **bounds: Any) -> "SystemModel":
        """Return the model under the default bounds, overridden by those given."""
        return self._make(Bounds(**{**self._bounds, **bounds}))


class PreludeStep:
    """A step of a prelude.

    If `runs_on`, all that follows from it happens as well, until no message is in flight: messages
    are delivered in the order of sending and flushes end at once. Meanwhile messages to and from
    the node `isolated` are lost, and so are those from the first to the second node of each of
    `lost_links`.
    """

    __slots__ = ("isolated", "kind", "lost_links", "node", "number", "runs_on")

    def __init__(
        self,
        kind: ActionKind,
        node: int,
        number: int = 0,
        runs_on: bool = True,
        isolated: int | None = None,
        lost_links: tuple[tuple[int, int], ...] = (),
    ) -> None:
        self.kind = kind
        self.node = node
        self.number = number
        self.runs_on = runs_on
        self.isolated = isolated
        self.lost_links = lost_links


class SystemModel(ABC):
    """A group of nodes, their operations and invariants, and one initial state.

    Nodes are numbered from 0 in the order of `addresses`, operations in that of `operations`.

    - `tick_ms`, `timeout_ms` and `freeze_ms` are how far TICK, TIMEOUT and FREEZE advance a clock.
    - `prelude` is run before the search.
    - Messages of the types in `dropped_types` are always lost.
    - If `own_at_once`, messages of a node to itself are delivered at once.
    - Nodes in `reliable_nodes` never fail and have no timers; they only receive messages.
    - If `fifo_links`, messages between two nodes are delivered in the order of sending.
    - `skipped_slots` and `opaque_types` are as for `canonical_encoding.Encoder`.

    A ghost is the value of the ghost variable (see the module). It is never modified and is
    compared by value.
    """

    addresses: list[str]
    operations: list[Operation]
    bounds: Bounds
    tick_ms: int = 0
    timeout_ms: int
    freeze_ms: int
    prelude: tuple[PreludeStep, ...] = ()
    dropped_types: tuple[type[Message], ...] = ()
    reliable_nodes: frozenset[int] = frozenset()
    fifo_links: bool = False
    own_at_once: bool = False
    skipped_slots: frozenset[tuple[str, str]] = frozenset()
    opaque_types: tuple[type, ...] = ()

    @abstractmethod
    def boot_image(self, index: int) -> BootImage:
        """Return what a node starts from at the beginning."""

    @abstractmethod
    def start(self, index: int, running: RunningNode) -> Node:
        """Start the node's process from its disk, and observe it from then on."""

    @abstractmethod
    def submit(self, index: int, running: RunningNode, number: int) -> None:
        """Give the operation of this number to its node."""

    @abstractmethod
    def observe(self, index: int, running: RunningNode) -> Hashable:
        """Return what the invariants need to know of a node's state."""

    def facts(self, index: int, running: RunningNode) -> frozenset[Observation]:
        """Return facts of a node's state; those that a step adds are observed after it."""
        return frozenset()

    @abstractmethod
    def initial_ghost(self) -> Hashable:
        """Return the ghost before the first step."""

    @abstractmethod
    def next_ghost(self, ghost: Any, observations: tuple[Observation, ...]) -> Hashable:
        """Return the ghost after one step.

        Raises
        ------
        InvariantViolationError: what was observed violates an invariant.
        """

    @abstractmethod
    def check(self, ghost: Any, observed: tuple[Any, ...]) -> None:
        """Check the invariants over the nodes' present states, as `observe` returns them.

        Raises
        ------
        InvariantViolationError: one of them does not hold.
        """

    def answered(self, ghost: Any) -> frozenset[int]:
        """Return the numbers of the operations that have been answered."""
        return frozenset()

    def is_obsolete(self, done: Callable[..., Any]) -> bool:
        """Whether the reply to a pending request no longer matters; `done` is its callback."""
        return False

    def disk_key(self, disk: ModelDisk) -> Any:
        """Return what of a disk's content matters to a process that starts from it."""
        return (disk.files, disk.durable)
