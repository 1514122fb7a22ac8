"""Breadth-first search over global states.

A global state is the nodes' local states, the messages in flight (a multiset), what has been
observed, and what remains of each bound. A state visited before is not expanded again, so the first
schedule that breaks an invariant is one of the shortest.
"""

import time
from array import array
from typing import Any

from modelcheck.actions import Action, Kind
from modelcheck.local import LocalState, LocalStates
from modelcheck.world import Bounds, BreachError, Step, World

__all__ = ["Explorer", "Found", "GlobalState"]

_COUNTED = (
    Kind.DUPLICATE,
    Kind.LOSE,
    Kind.TICK,
    Kind.TIMEOUT,
    Kind.FREEZE,
    Kind.KILL,
    Kind.POWER,
    Kind.WIPE,
    Kind.REFUSED,
    Kind.CUT,
)  # in the order of Bounds.COUNTS
_PLACE = {kind: place for place, kind in enumerate(_COUNTED)}
_OF_NODES = (Kind.TICK, Kind.TIMEOUT, Kind.FREEZE, Kind.KILL, Kind.POWER, Kind.WIPE)
_KINDS = list(Kind)
_KIND_NUMBER = {kind: number for number, kind in enumerate(_KINDS)}
_NODE_BITS, _KIND_BITS = 6, 5


class GlobalState:
    """One global state.

    `flight` has the numbers of the messages in flight, sorted; `ghost` is the number of the ghost;
    `left` has what remains of each bound; `asked` is a bit set of the operations submitted.
    """

    __slots__ = ("asked", "flight", "ghost", "left", "nodes")

    def __init__(
        self,
        nodes: tuple[LocalState, ...],
        flight: tuple[int, ...],
        ghost: int,
        left: tuple[int, ...],
        asked: int,
    ) -> None:
        self.nodes = nodes
        self.flight = flight
        self.ghost = ghost
        self.left = left
        self.asked = asked

    def key(self) -> int:
        """Return a 64-bit hash by which states are told apart."""
        nodes = tuple(node.number for node in self.nodes)
        return hash((nodes, self.flight, self.ghost, self.left, self.asked))


class Found:
    """The result of a search; `whole` is whether every state within the bounds was expanded."""

    __slots__ = ("breach", "depth", "local_states", "schedule", "seconds", "states", "whole")

    def __init__(self) -> None:
        self.states = 0
        self.depth = 0
        self.seconds = 0.0
        self.local_states = 0
        self.whole = False
        self.breach: BreachError | None = None
        self.schedule: list[Action] = []


class Explorer:
    """Searches the schedules of one world."""

    __slots__ = (
        "_actions",
        "_checked",
        "_ghost_numbers",
        "_ghosts",
        "_next_ghosts",
        "_parents",
        "_visited",
        "local",
        "world",
    )

    def __init__(self, world: World) -> None:
        self.world = world
        self.local = LocalStates(world)
        self._visited: set[int] = set()
        self._parents = array("q")
        self._actions = array("q")
        self._ghosts: list[Any] = []
        self._ghost_numbers: dict[Any, int] = {}
        self._next_ghosts: dict[tuple[int, tuple], int] = {}
        self._checked: set[tuple] = set()

    # -- searching -----------------------------------------------------------------------------

    def first(self) -> GlobalState:
        """Return the world's starting state, after its prelude."""
        state = self._start()
        for step in self.world.prelude:
            state = self._made(state, Action(step.kind, step.node, step.number))
            if step.drained:
                state = self._drained(state, step)
        return state

    def _made(self, state: GlobalState, action: Action) -> GlobalState:
        """Return the state after an action that counts against no bound."""
        reached = self.after(state, action) or state
        return GlobalState(reached.nodes, reached.flight, reached.ghost, state.left, reached.asked)

    def _drained(self, state: GlobalState, step: Step) -> GlobalState:
        """Return the state once no message is in flight and all flushes have ended."""
        while True:
            if step.without >= 0:
                state = self._cut(state, step.without, state.left)
            if step.lost_links:
                state = self._without_links(state, step.lost_links)
            busy = [index for index, node in enumerate(state.nodes) if node.busy]
            if busy:
                state = self._made(state, Action(Kind.FLUSH, busy[0]))
            elif state.flight:
                number = state.flight[0]
                target = self.local.targets[number]
                state = self._made(state, Action(Kind.DELIVER, target, number))
            else:
                return state

    def _start(self) -> GlobalState:
        bounds = self.world.bounds
        left = tuple(getattr(bounds, name) for name in bounds.COUNTS)
        nodes = tuple(self.local.first(index) for index in range(len(self.world.addresses)))
        return GlobalState(nodes, (), self._ghost_number(self.world.first_ghost()), left, 0)

    def search(self) -> Found:
        """Visit all states within the bounds, up to the first breach of an invariant."""
        began, bounds, found = time.monotonic(), self.world.bounds, Found()
        level = [(0, self.first())]
        self._enter(level[0][1], -1, 0)
        try:
            while level and found.depth < bounds.depth:
                following: list[tuple[int, GlobalState]] = []
                for place, state in level:
                    self._go_on(place, state, following)
                    if self._spent(bounds, began):
                        level = following
                        return self._ended(found, began)
                level = following
                found.depth += 1 if level else 0
            found.whole = not level
        except _BrokenError as broken:
            found.breach = broken.breach
            found.schedule = [*self._schedule(broken.place), broken.action]
        return self._ended(found, began)

    def _spent(self, bounds: Bounds, began: float) -> bool:
        count = len(self._parents)
        return count >= bounds.states or time.monotonic() - began >= bounds.seconds

    def _ended(self, found: Found, began: float) -> Found:
        found.states = len(self._parents)
        found.seconds = time.monotonic() - began
        found.local_states = len(self.local.states)
        return found

    def _go_on(
        self, place: int, state: GlobalState, following: list[tuple[int, GlobalState]]
    ) -> None:
        for action in self.actions(state):
            try:
                reached = self.after(state, action)
            except BreachError as breach:
                raise _BrokenError(breach, place, action) from breach
            if reached is not None and self._enter(reached, place, _code(action)):
                following.append((len(self._parents) - 1, reached))

    def _enter(self, state: GlobalState, parent: int, code: int) -> bool:
        key = state.key()
        if key in self._visited:
            return False
        self._visited.add(key)
        self._parents.append(parent)
        self._actions.append(code)
        return True

    def _schedule(self, place: int) -> list[Action]:
        steps = []
        while self._parents[place] >= 0:
            steps.append(_action(self._actions[place]))
            place = self._parents[place]
        return steps[::-1]

    # -- one step ------------------------------------------------------------------------------

    def actions(self, state: GlobalState) -> list[Action]:
        """Return the actions that are possible in a state."""
        left, targets = state.left, self.local.targets
        rows = []
        for number in self._deliverable(state.flight):
            rows.append(Action(Kind.DELIVER, targets[number], number))
            for kind in (Kind.DUPLICATE, Kind.LOSE):
                if left[_PLACE[kind]]:
                    rows.append(Action(kind, targets[number], number))
        for index, node in enumerate(state.nodes):
            if node.busy:
                rows.append(Action(Kind.FLUSH, index))
            if index in self.world.sturdy:
                continue
            rows += [Action(kind, index) for kind in _OF_NODES if left[_PLACE[kind]]]
            if left[_PLACE[Kind.REFUSED]]:
                others = (other for other in range(len(state.nodes)) if other != index)
                rows += [Action(Kind.REFUSED, index, other) for other in others]
            if left[_PLACE[Kind.CUT]] and state.flight:
                rows.append(Action(Kind.CUT, index))
        answered = self.world.answered(self._ghosts[state.ghost])
        for number, operation in enumerate(self.world.operations):
            if not state.asked >> number & 1 and answered.issuperset(operation.after):
                rows.append(Action(Kind.SUBMIT, operation.node, number))
        return rows

    def after(self, state: GlobalState, action: Action) -> GlobalState | None:
        """Return the state after an action; None if it changes nothing.

        Raises
        ------
        BreachError: an invariant does not hold in the state reached.
        """
        kind, number = action.kind, action.number
        left = _spend(state.left, kind)
        if kind is Kind.CUT:
            return self._cut(state, action.node, left)
        flight = list(state.flight)
        if kind in (Kind.DELIVER, Kind.LOSE):
            flight.remove(number)
        if kind is Kind.LOSE:
            return GlobalState(state.nodes, tuple(flight), state.ghost, left, state.asked)
        event = Kind.DELIVER if kind is Kind.DUPLICATE else kind
        moved = self.local.after(state.nodes[action.node], event, number)
        if moved is None:
            if kind is not Kind.DELIVER:
                return None
            return GlobalState(state.nodes, tuple(flight), state.ghost, left, state.asked)
        nodes = list(state.nodes)
        nodes[action.node] = moved.state
        flight = self._awaited([*flight, *moved.sent], nodes)
        told = moved.told
        asked = state.asked
        if kind is Kind.SUBMIT:
            asked |= 1 << number
            told = (("submitted", number), *told)
        ghost = self._ghost_after(state.ghost, told) if told else state.ghost
        reached = GlobalState(tuple(nodes), flight, ghost, left, asked)
        self._check(reached)
        return reached

    def _cut(self, state: GlobalState, index: int, left: tuple[int, ...]) -> GlobalState:
        address = self.world.addresses[index]
        rows = self.local.messages
        flight = tuple(
            number
            for number in state.flight
            if address not in (rows[number][0].sender, rows[number][0].to)
        )
        return GlobalState(state.nodes, flight, state.ghost, left, state.asked)

    def _without_links(self, state: GlobalState, links: tuple) -> GlobalState:
        addresses = self.world.addresses
        lost = {(addresses[sender], addresses[to]) for sender, to in links}
        flight = tuple(number for number in state.flight if self._link(number) not in lost)
        return GlobalState(state.nodes, flight, state.ghost, state.left, state.asked)

    def _awaited(self, flight: list[int], nodes: list[LocalState]) -> tuple[int, ...]:
        """Return the messages in flight without replies that nobody waits for any more.

        Delivering those would have no effect.
        """
        rows, targets = self.local.messages, self.local.targets
        awaited = [
            number
            for number in flight
            if not rows[number][0].in_reply_to
            or rows[number][0].in_reply_to in nodes[targets[number]].pending
        ]
        return tuple(sorted(awaited, key=self._link if self.world.in_order else None))

    def _link(self, number: int) -> tuple[str, str]:
        posted = self.local.messages[number][0]
        return (posted.sender, posted.to)

    def _deliverable(self, flight: tuple[int, ...]) -> list[int]:
        """Return each message once; where links keep their order, the first on each link."""
        if not self.world.in_order:
            return list(dict.fromkeys(flight))
        firsts: dict[tuple[str, str], int] = {}
        for number in flight:
            firsts.setdefault(self._link(number), number)
        return list(firsts.values())

    def _ghost_number(self, ghost: Any) -> int:
        number = self._ghost_numbers.setdefault(ghost, len(self._ghosts))
        if number == len(self._ghosts):
            self._ghosts.append(ghost)
        return number

    def _ghost_after(self, ghost: int, told: tuple) -> int:
        key = (ghost, told)
        if key not in self._next_ghosts:
            following = self.world.next_ghost(self._ghosts[ghost], told)
            self._next_ghosts[key] = self._ghost_number(following)
        return self._next_ghosts[key]

    def _check(self, state: GlobalState) -> None:
        key = (state.ghost, tuple(node.seen for node in state.nodes))
        if key not in self._checked:
            observed = tuple(self.local.seen[node.seen] for node in state.nodes)
            self.world.check(self._ghosts[state.ghost], observed)
            self._checked.add(key)

    # -- schedules -----------------------------------------------------------------------------

    def describe(self, schedule: list[Action]) -> list[tuple[Kind, int, str]]:
        """Return a schedule that holds in every run: messages are named by their content."""
        return [(step.kind, step.node, self._what(step)) for step in schedule]

    def _what(self, step: Action) -> str:
        if step.kind in (Kind.DELIVER, Kind.DUPLICATE, Kind.LOSE):
            return self.label(step.number)
        if step.kind is Kind.SUBMIT:
            return self.world.operations[step.number].name
        if step.kind is Kind.REFUSED:
            return f"at {step.number}"
        return ""

    def label(self, number: int) -> str:
        """Return a message's name: its type, its sender, and its references."""
        posted, _ = self.local.messages[number]
        sender = self.world.addresses.index(posted.sender)
        kind = type(posted.message).__name__
        return f"{kind} from {sender} ref {posted.request_id} re {posted.in_reply_to}"

    def replay(self, steps: list[tuple[Kind, int, str]]) -> GlobalState:
        """Return the state that a written schedule leads to.

        Raises
        ------
        BreachError: an invariant does not hold on the way.
        LookupError: a step is not possible where the schedule has it.
        """
        state = self.first()
        for kind, node, what in steps:
            options = [
                action
                for action in self.actions(state)
                if (action.kind, action.node, self._what(action)) == (kind, node, what)
            ]
            if not options:
                raise LookupError(f"not possible: {kind} {node} {what}")
            state = self.after(state, options[0]) or state
        return state


class _BrokenError(Exception):
    def __init__(self, breach: BreachError, place: int, action: Action) -> None:
        super().__init__(str(breach))
        self.breach = breach
        self.place = place
        self.action = action


def _spend(left: tuple[int, ...], kind: Kind) -> tuple[int, ...]:
    place = _PLACE.get(kind)
    if place is None:
        return left
    return (*left[:place], left[place] - 1, *left[place + 1 :])


def _code(action: Action) -> int:
    return (action.number << _NODE_BITS | action.node) << _KIND_BITS | _KIND_NUMBER[action.kind]


def _action(code: int) -> Action:
    kind = _KINDS[code & ((1 << _KIND_BITS) - 1)]
    code >>= _KIND_BITS
    return Action(kind, code & ((1 << _NODE_BITS) - 1), code >> _NODE_BITS)
