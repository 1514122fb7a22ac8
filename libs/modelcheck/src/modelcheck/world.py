"""What a model of one group of nodes has to say: which nodes there are and how they start, which
operations are given to them, what is seen of a node's state, and what must always hold. The
explorer knows nothing else about the group.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Hashable
from typing import Any

from messaging import Node

from modelcheck.actions import Kind
from modelcheck.surroundings import BootImage, ModelDisk, ModelEnv

__all__ = ["BreachError", "Bounds", "Live", "Operation", "Start", "Step", "World"]


class BreachError(Exception):
    """An invariant doesn't hold. `invariant` is its number."""

    def __init__(self, invariant: str, what: str) -> None:
        super().__init__(f"{invariant}: {what}")
        self.invariant = invariant


class Bounds:
    """How far the explorer goes: how often each thing may happen in one schedule, and how many steps it has.
    `slow_disk` makes the end of each flush a step of its own; without it flushes end at once.
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
    """Something a client asks of a node, once in a schedule, at any time after the operations in `after` (by
    their place in the scenario) have been answered.
    """

    __slots__ = ("after", "message", "name", "node")

    def __init__(self, name: str, node: int, message: Any, after: tuple[int, ...] = ()) -> None:
        self.name = name
        self.node = node
        self.message = message
        self.after = after


class Live:
    """A running node with its surroundings."""

    __slots__ = ("disk", "env", "node", "told")

    def __init__(self, env: ModelEnv, disk: ModelDisk, told: list[Hashable]) -> None:
        self.env = env
        self.disk = disk
        self.told = told
        self.node: Node = None  # type: ignore[assignment]


class Start:
    """A named starting state, with the bounds that it is explored under unless others are given."""

    __slots__ = ("_counts", "_make", "what")

    def __init__(self, what: str, make: Callable[[Bounds], "World"], **counts: Any) -> None:
        self.what = what
        self._make = make
        self._counts = counts

    def world(self, **bounds: Any) -> "World":
        """The starting state under its own bounds but for those given."""
        return self._make(Bounds(**{**self._counts, **bounds}))


class Step:
    """A step of a prelude. Where `drained` is set all that it leads to comes about as well, messages in the order of
    sending and flushes at once; what goes to or from the node `without` is lost meanwhile.
    """

    __slots__ = ("drained", "kind", "node", "number", "without")

    def __init__(
        self, kind: Kind, node: int, number: int = 0, drained: bool = True, without: int = -1
    ) -> None:
        self.kind = kind
        self.node = node
        self.number = number
        self.drained = drained
        self.without = without


class World(ABC):
    """One starting state of a group of nodes. `tick_ms`, `timeout_ms` and `freeze_ms` are how far TICK, TIMEOUT and
    FREEZE move a clock. `prelude` is run before the search. Messages of the types in `unheard` are always lost. Where `loops_back` is set, what a node sends itself
    arrives at once. Nodes in `sturdy` only get messages. Where `in_order`
    is set, messages between two nodes arrive in the order of sending, as on one connection. A ghost is what has been seen from outside so far (votes given, answers): never changed, compared by
    value.
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
        """What a node starts from at the beginning."""

    @abstractmethod
    def boot(self, index: int, live: Live) -> Node:
        """The node's process, from its disk. What clients and other observers see goes into `live.told`."""

    @abstractmethod
    def submit(self, index: int, live: Live, number: int) -> None:
        """Gives an operation to its node."""

    @abstractmethod
    def observe(self, index: int, live: Live) -> Hashable:
        """What invariants need to know of a node's state."""

    def witness(self, index: int, live: Live) -> frozenset:
        """Facts of a node's state; those that a step adds are told after it."""
        return frozenset()

    @abstractmethod
    def first_ghost(self) -> Hashable:
        """The ghost before the first step."""

    @abstractmethod
    def next_ghost(self, ghost: Any, told: tuple[Hashable, ...]) -> Hashable:
        """The ghost after one step.

        Raises
        ------
        BreachError: what was told breaks an invariant.
        """

    @abstractmethod
    def check(self, ghost: Any, observed: tuple[Any, ...]) -> None:
        """Invariants over the nodes' present states.

        Raises
        ------
        BreachError: one of them doesn't hold.
        """

    def answered(self, ghost: Any) -> frozenset[int]:
        """The numbers of the operations that have been answered."""
        return frozenset()

    def inert(self, done: Callable) -> bool:
        """Whether nothing depends any more on the answer to an asking."""
        return False

    def disk_key(self, disk: ModelDisk) -> Any:
        """What of a disk's content matters for a process that starts from it."""
        return (disk.files, disk.durable)
