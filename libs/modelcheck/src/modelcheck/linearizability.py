"""A checker for linearizability of a recorded history.

It is Wing and Gong's search for a linearization, with memory of the configurations that led nowhere
(Lowe, "Testing for linearizability", 2017). A call without a known outcome may take effect at any
time after it began, or never.
"""

from collections.abc import Hashable
from typing import Any, Protocol

__all__ = ["Call", "Model", "Verdict", "linearize"]

_NEVER = float("inf")


class Call:
    """One operation as its caller saw it; times are ms on one clock.

    `returned_ms` is infinite where the outcome is not known. `asked` and `answered` are only
    interpreted by the model.
    """

    __slots__ = ("answered", "asked", "began_ms", "returned_ms")

    def __init__(
        self, asked: Any, began_ms: float, answered: Any = None, returned_ms: float = _NEVER
    ) -> None:
        self.asked = asked
        self.answered = answered
        self.began_ms = began_ms
        self.returned_ms = returned_ms

    @property
    def known(self) -> bool:
        """Whether the outcome of the call is known."""
        return self.returned_ms != _NEVER

    def __repr__(self) -> str:
        return f"{self.asked} {self.began_ms}-{self.returned_ms}: {self.answered}"


class Model(Protocol):
    """A sequential specification of an object; states are compared by value."""

    def first(self) -> Hashable:
        """Return the state before any call."""

    def after(self, state: Any, call: Call) -> Hashable | None:
        """Return the state after a call with exactly this answer, or None if it is impossible.

        For a call whose outcome is not known: the state if it takes effect, or None if it cannot.
        """


class Verdict:
    """The result of a search.

    `ok` is whether there is a linearization, and `decided` whether the search ended within its
    limit. `reached` is the longest order found, and `stuck` the known calls that could not follow
    it.
    """

    __slots__ = ("configurations", "decided", "ok", "reached", "stuck")

    def __init__(self) -> None:
        self.ok = False
        self.decided = True
        self.configurations = 0
        self.reached: list[Call] = []
        self.stuck: list[Call] = []


class _Node:
    """A configuration: the calls taken so far as a bit set, and the object's state after them."""

    __slots__ = ("begin", "before", "place", "state", "taken")

    def __init__(
        self, taken: int, state: Any, begin: int, place: int = -1, before: "_Node | None" = None
    ) -> None:
        self.taken = taken
        self.state = state
        self.begin = begin
        self.place = place
        self.before = before


def linearize(calls: list[Call], model: Model, limit: int = 2_000_000) -> Verdict:
    """Search for an order of the calls, consistent with real time, that the model allows.

    `limit` bounds the number of configurations visited.
    """
    rows = sorted(calls, key=lambda call: call.began_ms)
    wanted = sum(1 << place for place, call in enumerate(rows) if call.known)
    verdict, seen = Verdict(), set()
    stack = [_Node(0, model.first(), 0)]
    deepest = stack[0]
    while stack:
        node = stack.pop()
        if (node.taken, node.state) in seen:
            continue
        seen.add((node.taken, node.state))
        if _known_count(node, wanted) > _known_count(deepest, wanted):
            deepest = node
        if node.taken & wanted == wanted:
            verdict.ok = True
            break
        if len(seen) >= limit:
            verdict.decided = False
            break
        stack += _following(node, rows, model)
    verdict.configurations = len(seen)
    verdict.reached = _order(deepest, rows)
    if not verdict.ok:
        verdict.stuck = [rows[place] for place in _candidates(deepest, rows) if rows[place].known]
    return verdict


def _known_count(node: _Node, wanted: int) -> int:
    return (node.taken & wanted).bit_count()


def _candidates(node: _Node, rows: list[Call]) -> list[int]:
    """Return the calls that may come next: begun before any remaining call has returned."""
    places: list[int] = []
    first_return_ms = _NEVER
    for place in range(node.begin, len(rows)):
        if rows[place].began_ms > first_return_ms:
            break
        if not node.taken >> place & 1:
            places.append(place)
            first_return_ms = min(first_return_ms, rows[place].returned_ms)
    return [place for place in places if rows[place].began_ms <= first_return_ms]


def _following(node: _Node, rows: list[Call], model: Model) -> list[_Node]:
    """Return the configurations one call further.

    A known call that changes nothing and can come next is taken at once: if any order exists from
    here, one exists with that call first.
    """
    found = []
    for place in _candidates(node, rows):
        state = model.after(node.state, rows[place])
        if state is None:
            continue
        taken = node.taken | 1 << place
        following = _Node(taken, state, _begin(node.begin, taken), place, node)
        if state != node.state:
            found.append(following)
        elif rows[place].known:
            return [following]
    return found[::-1]


def _begin(begin: int, taken: int) -> int:
    while taken >> begin & 1:
        begin += 1
    return begin


def _order(node: _Node | None, rows: list[Call]) -> list[Call]:
    order = []
    while node is not None and node.place >= 0:
        order.append(rows[node.place])
        node = node.before
    return order[::-1]
