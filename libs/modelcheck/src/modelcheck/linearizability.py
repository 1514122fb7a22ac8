"""A checker for linearizability of a recorded history.

It is Wing and Gong's search for a linearization, with a memory of the configurations that were
visited (Lowe, "Testing for linearizability", 2017). A pending call, which is one without a known
outcome, may take effect at any time after its invocation, or never.
"""

from collections.abc import Hashable
from typing import Any, Protocol

__all__ = ["Call", "LinearizationResult", "SequentialSpecification", "linearize"]

_NEVER = float("inf")
_NO_CALL = -1


class Call:
    """One operation as its caller observed it, with the times of its invocation and its response.

    Parameters
    ----------
    request, response
        What was requested and returned; only the specification interprets them.
    invoked_ms, returned_ms
        Times in milliseconds, on one clock for the whole history. `returned_ms` is infinite if the
        outcome of the call is unknown.
    """

    __slots__ = ("invoked_ms", "request", "response", "returned_ms")

    def __init__(
        self, request: Any, invoked_ms: float, response: Any = None, returned_ms: float = _NEVER
    ) -> None:
        self.request = request
        self.response = response
        self.invoked_ms = invoked_ms
        self.returned_ms = returned_ms

    @property
    def has_returned(self) -> bool:
        """Whether the outcome of the call is known."""
        return self.returned_ms != _NEVER

    def __repr__(self) -> str:
        return f"{self.request} {self.invoked_ms}-{self.returned_ms}: {self.response}"


class SequentialSpecification(Protocol):
    """A sequential specification of an object; states are compared by value."""

    def initial_state(self) -> Hashable:
        """Return the state before any call."""

    def next_state(self, state: Any, call: Call) -> Hashable | None:
        """Return the state after a call; None if its response is impossible in this state.

        For a call without a known outcome: the state if it takes effect, or None if it can't.
        """


class LinearizationResult:
    """The result of a search.

    `is_linearizable` is whether a linearization was found, and `is_decided` is False if the search
    stopped at its limit. `longest_order` is the order found that has the most calls with known
    outcomes. If no linearization was found, `blocked` has the calls with known outcomes that were
    candidates to follow this order. `configurations` is the number of configurations visited.
    """

    __slots__ = ("blocked", "configurations", "is_decided", "is_linearizable", "longest_order")

    def __init__(self) -> None:
        self.is_linearizable = False
        self.is_decided = True
        self.configurations = 0
        self.longest_order: list[Call] = []
        self.blocked: list[Call] = []


class _Configuration:
    """The calls linearized so far as a bit set, and the object's state after them.

    Parameters
    ----------
    linearized
        A bit set of the positions in the history.
    first_remaining
        The position of the first call that is not linearized.
    call
        The position of the call that was linearized last.
    previous
        The configuration before that call.
    """

    __slots__ = ("call", "first_remaining", "linearized", "previous", "state")

    def __init__(
        self,
        linearized: int,
        state: Any,
        first_remaining: int,
        call: int = _NO_CALL,
        previous: "_Configuration | None" = None,
    ) -> None:
        self.linearized = linearized
        self.state = state
        self.first_remaining = first_remaining
        self.call = call
        self.previous = previous

    def order(self, history: list[Call]) -> list[Call]:
        """Return the calls in the order in which they were linearized."""
        calls = []
        configuration: _Configuration | None = self
        while configuration is not None and configuration.call != _NO_CALL:
            calls.append(history[configuration.call])
            configuration = configuration.previous
        return calls[::-1]


def linearize(
    calls: list[Call], specification: SequentialSpecification, limit: int = 2_000_000
) -> LinearizationResult:
    """Search for an order of the calls that respects real time and the specification.

    Parameters
    ----------
    limit
        The number of configurations at which the search stops without a decision.
    """
    history = sorted(calls, key=lambda call: call.invoked_ms)
    returned = sum(1 << position for position, call in enumerate(history) if call.has_returned)
    result = LinearizationResult()
    visited: set[tuple[int, Hashable]] = set()
    stack = [_Configuration(0, specification.initial_state(), 0)]
    deepest = stack[0]
    while stack:
        configuration = stack.pop()
        if (configuration.linearized, configuration.state) in visited:
            continue
        visited.add((configuration.linearized, configuration.state))
        if _returned_count(configuration, returned) > _returned_count(deepest, returned):
            deepest = configuration
        if configuration.linearized & returned == returned:
            result.is_linearizable = True
            break
        if len(visited) >= limit:
            result.is_decided = False
            break
        stack += _successors(configuration, history, specification)
    result.configurations = len(visited)
    result.longest_order = deepest.order(history)
    if not result.is_linearizable:
        candidates = (history[position] for position in _candidates(deepest, history))
        result.blocked = [call for call in candidates if call.has_returned]
    return result


def _returned_count(configuration: _Configuration, returned: int) -> int:
    return (configuration.linearized & returned).bit_count()


def _candidates(configuration: _Configuration, history: list[Call]) -> list[int]:
    """Return the calls that may be next: those invoked before any remaining call returned."""
    positions: list[int] = []
    first_return_ms = _NEVER
    for position in range(configuration.first_remaining, len(history)):
        call = history[position]
        if call.invoked_ms > first_return_ms:
            break
        if not configuration.linearized >> position & 1:
            positions.append(position)
            first_return_ms = min(first_return_ms, call.returned_ms)
    return [position for position in positions if history[position].invoked_ms <= first_return_ms]


def _successors(
    configuration: _Configuration, history: list[Call], specification: SequentialSpecification
) -> list[_Configuration]:
    """Return the configurations that follow by one more call, latest invocation first.

    A pending call that would not change the state is left out.

    A candidate with a known outcome that does not change the state is the only one considered: if a
    linearization continues from here, one continues with that call.
    """
    found = []
    for position in _candidates(configuration, history):
        state = specification.next_state(configuration.state, history[position])
        if state is None:
            continue
        linearized = configuration.linearized | 1 << position
        first_remaining = _first_remaining(configuration.first_remaining, linearized)
        following = _Configuration(linearized, state, first_remaining, position, configuration)
        if state != configuration.state:
            found.append(following)
        elif history[position].has_returned:
            return [following]
    return found[::-1]


def _first_remaining(position: int, linearized: int) -> int:
    while linearized >> position & 1:
        position += 1
    return position
