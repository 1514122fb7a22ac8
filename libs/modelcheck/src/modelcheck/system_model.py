"""The interface between the explorer and a model of a group of nodes.

A model defines the nodes and how they start, the operations submitted to them, what is observed of
them, and the invariants. The explorer depends on nothing else of the group.

Many invariants refer to the past: "a confirmed change is never lost" can't be checked on the nodes'
present states alone. A model therefore has a ghost variable (also called auxiliary or history
variable): a value that the nodes never see, which collects the observations made so far.
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
    """An invariant does not hold; `invariant` is its name, such as C1.

    The name is RAISED if a node raised an exception.
    """

    def __init__(self, invariant: str, explanation: str) -> None:
        super().__init__(f"{invariant}: {explanation}")
        self.invariant = invariant


class Bounds:
    """The bounds of a search.

    Parameters
    ----------
    depth
        The maximum number of steps in a schedule.
    states
        The number of global states at which the search stops.
    seconds
        The time after which the search stops.
    slow_disk
        Whether the end of each flush is a step of its own; otherwise flushes end at once.
    **counts
        How often each of the faults in `COUNTS` may happen in one schedule; by default never.

    Raises
    ------
    TypeError
        A name is not in `COUNTS`.
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
            raise TypeError(
                f"unknown bounds: {', '.join(unknown)}; expected: {', '.join(self.COUNTS)}"
            )
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
    """A client's operation at a node, submitted at most once in a schedule.

    It may be submitted at any time after the operations `requires`, given by their numbers in the
    model, have been answered.
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
    """An initial state of a model, with the default bounds of the search from it."""

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

    Parameters
    ----------
    kind, node, number
        The action, as for `actions.Action`.
    runs_to_quiescence
        Whether flushes are completed and messages delivered after the action, in a fixed order,
        until no flush is unfinished and no message is in flight.
    isolated
        A node; messages to and from it are lost while the step runs to quiescence.
    lost_links
        Pairs of nodes; messages from the first to the second are lost in the same way.
    """

    __slots__ = ("isolated", "kind", "lost_links", "node", "number", "runs_to_quiescence")

    def __init__(
        self,
        kind: ActionKind,
        node: int,
        number: int = 0,
        runs_to_quiescence: bool = True,
        isolated: int | None = None,
        lost_links: tuple[tuple[int, int], ...] = (),
    ) -> None:
        self.kind = kind
        self.node = node
        self.number = number
        self.runs_to_quiescence = runs_to_quiescence
        self.isolated = isolated
        self.lost_links = lost_links


class SystemModel(ABC):
    """A group of nodes, their operations and invariants, and one initial state.

    Nodes are numbered from 0 in the order of `addresses`, operations in that of `operations`.

    - `tick_ms`, `timeout_ms` and `freeze_ms` are how far TICK, TIMEOUT and FREEZE advance a clock.
    - `prelude` is run before the search, without counting against the bounds.
    - Messages of the types in `dropped_types` are always lost.
    - If `immediate_self_delivery`, messages of a node to itself are delivered at once.
    - Nodes in `reliable_nodes` never fail and their timers don't run: they only handle messages and
      submissions, and complete flushes.
    - If `fifo_links`, messages between two nodes are delivered in the order of sending.
    - `skipped_slots` and `opaque_types` are as for `canonical_encoding.Encoder`.

    A ghost is a value of the ghost variable (see the module). It is immutable and is compared by
    value.
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
    immediate_self_delivery: bool = False
    skipped_slots: frozenset[tuple[str, str]] = frozenset()
    opaque_types: tuple[type, ...] = ()

    @abstractmethod
    def boot_image(self, index: int) -> BootImage:
        """Return the boot image of a node's first start."""

    @abstractmethod
    def start(self, index: int, running: RunningNode) -> Node:
        """Start the node's process from its disk, and begin to observe it."""

    @abstractmethod
    def submit(self, index: int, running: RunningNode, number: int) -> None:
        """Submit the operation of this number to its node."""

    @abstractmethod
    def observe(self, index: int, running: RunningNode) -> Hashable:
        """Return the part of a node's state that the invariants check."""

    def facts(self, index: int, running: RunningNode) -> frozenset[Observation]:
        """Return facts about a node's state; those that a step adds become its observations."""
        return frozenset()

    @abstractmethod
    def initial_ghost(self) -> Hashable:
        """Return the ghost before the first step."""

    @abstractmethod
    def next_ghost(self, ghost: Any, observations: tuple[Observation, ...]) -> Hashable:
        """Return the ghost after one step.

        Raises
        ------
        InvariantViolationError
            The observations violate an invariant.
        """

    @abstractmethod
    def check(self, ghost: Any, observed: tuple[Any, ...]) -> None:
        """Check the invariants over the nodes' present states, as `observe` returns them.

        Raises
        ------
        InvariantViolationError
            An invariant does not hold.
        """

    def answered(self, ghost: Any) -> frozenset[int]:
        """Return the numbers of the operations that have been answered."""
        return frozenset()

    def is_obsolete(self, done: Callable[..., Any]) -> bool:
        """Whether the reply to a pending request has no effect; `done` is its callback."""
        return False

    def disk_key(self, disk: ModelDisk) -> Any:
        """Return the part of a disk's content that affects a process that starts from it."""
        return (disk.files, disk.durable)
