"""What a model of a group of nodes has to define for the explorer.

It defines the nodes and how they start, the operations that they are given, what is observed of a
node's state, and the invariants. The explorer knows nothing else about the group.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Hashable
from typing import Any

from messaging import Node

from modelcheck.actions import Kind
from modelcheck.surroundings import BootImage, ModelDisk, ModelEnvironment

__all__ = ["BreachError", "Bounds", "Live", "Operation", "Start", "Step", "World"]


class BreachError(Exception):
    """An invariant does not hold; `invariant` is its number."""

    def __init__(self, invariant: str, what: str) -> None:
        super().__init__(f"{invariant}: {what}")
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
    __slots__ = ("depth", "seconds", "slow_disk", "states", *COUNTS)

    def __init__(
        self,
        depth: int = 100,
        states: int = 100_000,
        seconds: float = 1e9,
        slow_disk: bool = False,
        **counts: int,
    ) -> None:
        self.depth = depth
        self.states = states
        self.seconds = seconds
        self.slow_disk = slow_disk
        for name in self.COUNTS:
            setattr(self, name, counts.pop(name, 0))
        if counts:
            raise TypeError(f"no such bound: {', '.join(counts)}")

    def __repr__(self) -> str:
        counts = [f"{name} {getattr(self, name)}" for name in self.COUNTS if getattr(self, name)]
        return ", ".join([*counts, "slow disk"] if self.slow_disk else counts) or "no faults"


class Operation:
    """A client's operation on a node, submitted once in a schedule.

    It may be submitted at any time after the operations in `after` (by their number in the
    scenario) have been answered.
    """

    __slots__ = ("after", "message", "name", "node")

    def __init__(self, name: str, node: int, message: Any, after: tuple[int, ...] = ()) -> None:
        self.name = name
        self.node = node
        self.message = message
        self.after = after


class Live:
    """A running node with its simulated environment and disk; `told` collects what was observed."""

    __slots__ = ("disk", "env", "node", "told")

    def __init__(self, env: ModelEnvironment, disk: ModelDisk, told: list[Hashable]) -> None:
        self.env = env
        self.disk = disk
        self.told = told
        self.node: Node = None  # type: ignore[assignment]


class Start:
    """A named starting state, with the default bounds of its exploration."""

    __slots__ = ("_counts", "_make", "what")

    def __init__(self, what: str, make: Callable[[Bounds], "World"], **counts: Any) -> None:
        self.what = what
        self._make = make
        self._counts = counts

    def world(self, **bounds: Any) -> "World":
        """Return the starting state under its default bounds, overridden by those given."""
        return self._make(Bounds(**{**self._counts, **bounds}))


class Step:
    """A step of a prelude.

    If `drained`, all that follows from it happens as well: messages are delivered in the order of
    sending and flushes end at once; messages to or from the node `without` are lost meanwhile, and
    so are those from the first to the second node of each of `lost_links`.
    """

    __slots__ = ("drained", "kind", "lost_links", "node", "number", "without")

    def __init__(
        self,
        kind: Kind,
        node: int,
        number: int = 0,
        drained: bool = True,
        without: int = -1,
        lost_links: tuple[tuple[int, int], ...] = (),
    ) -> None:
        self.kind = kind
        self.node = node
        self.number = number
        self.drained = drained
        self.without = without
        self.lost_links = lost_links


class World(ABC):
    """One starting state of a group of nodes.

    - `tick_ms`, `timeout_ms` and `freeze_ms` are how far TICK, TIMEOUT and FREEZE advance a clock.
    - `prelude` is run before the search.
    - Messages of the types in `unheard` are always lost.
    - If `loops_back`, messages of a node to itself are delivered at once.
    - Nodes in `sturdy` never fail and have no timers; they only receive messages.
    - If `in_order`, messages between two nodes are delivered in the order of sending.
    - `skip` and `opaque` are as for `canonical.Encoder`.

    A ghost is the history variable of the invariants: what has been observed so far (votes,
    answers). It is never modified and is compared by value.
    """

    addresses: list[str]
    operations: list[Operation]
    bounds: Bounds
    tick_ms: int = 0
    timeout_ms: int
    freeze_ms: int
    prelude: tuple[Step, ...] = ()
    unheard: tuple[type, ...] = ()
    sturdy: frozenset[int] = frozenset()
    in_order: bool = False
    loops_back: bool = False
    skip: frozenset[tuple[str, str]] = frozenset()
    opaque: tuple[type, ...] = ()

    @abstractmethod
    def image(self, index: int) -> BootImage:
        """Return what a node starts from at the beginning."""

    @abstractmethod
    def boot(self, index: int, live: Live) -> Node:
        """Start the node's process from its disk; observations are appended to `live.told`."""

    @abstractmethod
    def submit(self, index: int, live: Live, number: int) -> None:
        """Give the operation of this number to its node."""

    @abstractmethod
    def observe(self, index: int, live: Live) -> Hashable:
        """Return what the invariants need to know of a node's state."""

    def witness(self, index: int, live: Live) -> frozenset:
        """Return facts of a node's state; those that a step adds are observed after it."""
        return frozenset()

    @abstractmethod
    def first_ghost(self) -> Hashable:
        """Return the ghost before the first step."""

    @abstractmethod
    def next_ghost(self, ghost: Any, told: tuple[Hashable, ...]) -> Hashable:
        """Return the ghost after one step.

        Raises
        ------
        BreachError: what was observed breaks an invariant.
        """

    @abstractmethod
    def check(self, ghost: Any, observed: tuple[Any, ...]) -> None:
        """Check the invariants over the nodes' present states.

        Raises
        ------
        BreachError: one of them does not hold.
        """

    def answered(self, ghost: Any) -> frozenset[int]:
        """Return the numbers of the operations that have been answered."""
        return frozenset()

    def inert(self, done: Callable) -> bool:
        """Whether the answer to a pending request no longer matters; `done` is its callback."""
        return False

    def disk_key(self, disk: ModelDisk) -> Any:
        """Return what of a disk's content matters to a process that starts from it."""
        return (disk.files, disk.durable)
