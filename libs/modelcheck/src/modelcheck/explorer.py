"""Breadth-first search over global states.

A global state consists of the nodes' local states, the messages in flight (a multiset), the ghost
variable, what remains of each bound, and which operations have been submitted. Each state is
expanded once, in the order of discovery, so the first schedule that violates an invariant, the
counterexample, is one of the shortest.
"""

import time
from array import array
from collections.abc import Iterable
from typing import Any

from modelcheck.actions import Action, ActionKind, ScheduleStep
from modelcheck.local_states import Event, LocalState, LocalStates
from modelcheck.system_model import (
    Bounds,
    InvariantViolationError,
    Observation,
    OperationSubmitted,
    PreludeStep,
    SystemModel,
)

__all__ = ["Explorer", "GlobalState", "SearchResult"]

_BOUNDED_KINDS = (
    ActionKind.DUPLICATE,
    ActionKind.LOSE,
    ActionKind.TICK,
    ActionKind.TIMEOUT,
    ActionKind.FREEZE,
    ActionKind.KILL,
    ActionKind.POWER_LOSS,
    ActionKind.WIPE,
    ActionKind.CONNECTION_REFUSED,
    ActionKind.PARTITION,
)  # in the order of Bounds.COUNTS
_BOUND_INDEX = {kind: index for index, kind in enumerate(_BOUNDED_KINDS)}
_NODE_KINDS = (
    ActionKind.TICK,
    ActionKind.TIMEOUT,
    ActionKind.FREEZE,
    ActionKind.KILL,
    ActionKind.POWER_LOSS,
    ActionKind.WIPE,
)
_MESSAGE_KINDS = (ActionKind.DELIVER, ActionKind.DUPLICATE, ActionKind.LOSE)
_KINDS = list(ActionKind)
_KIND_NUMBER = {kind: number for number, kind in enumerate(_KINDS)}
_NODE_BITS, _KIND_BITS = 6, 5
_NO_PARENT = -1


class GlobalState:
    """One global state.

    Parameters
    ----------
    in_flight
        The numbers of the messages in flight, sorted; by link if links keep the order of messages.
    ghost
        The number of the value of the ghost variable.
    remaining
        What remains of each bound, in the order of `Bounds.COUNTS`.
    submitted
        A bit set of the numbers of the operations submitted.
    """

    __slots__ = ("ghost", "in_flight", "nodes", "remaining", "submitted")

    def __init__(
        self,
        nodes: tuple[LocalState, ...],
        in_flight: tuple[int, ...],
        ghost: int,
        remaining: tuple[int, ...],
        submitted: int,
    ) -> None:
        self.nodes = nodes
        self.in_flight = in_flight
        self.ghost = ghost
        self.remaining = remaining
        self.submitted = submitted

    def key(self) -> int:
        """Return a 64-bit hash; states with equal hashes count as one state."""
        nodes = tuple(node.number for node in self.nodes)
        return hash((nodes, self.in_flight, self.ghost, self.remaining, self.submitted))

    def with_in_flight(
        self, in_flight: Iterable[int], remaining: tuple[int, ...] | None = None
    ) -> "GlobalState":
        """Return this state with other messages in flight and, if given, other remaining bounds."""
        return GlobalState(
            self.nodes,
            tuple(in_flight),
            self.ghost,
            self.remaining if remaining is None else remaining,
            self.submitted,
        )


class SearchResult:
    """The result of a search.

    `states` and `local_states` are the numbers of distinct global and local states, `depth` is the
    length of the longest schedules, and `is_complete` is whether every state within the bounds was
    expanded. `violation` is None if no violation was found; otherwise `counterexample` is a
    schedule that leads to it.
    """

    __slots__ = (
        "counterexample",
        "depth",
        "is_complete",
        "local_states",
        "seconds",
        "states",
        "violation",
    )

    def __init__(self) -> None:
        self.states = 0
        self.depth = 0
        self.seconds = 0.0
        self.local_states = 0
        self.is_complete = False
        self.violation: InvariantViolationError | None = None
        self.counterexample: list[Action] = []


class Explorer:
    """Searches the schedules of one model.

    Visited states are numbered in the order of discovery. For each of them the explorer keeps only
    its hash, the number of its parent and the action that led to it.
    """

    __slots__ = (
        "_actions",
        "_checked",
        "_ghost_numbers",
        "_ghosts",
        "_next_ghosts",
        "_parents",
        "_visited",
        "local_states",
        "model",
    )

    def __init__(self, model: SystemModel) -> None:
        self.model = model
        self.local_states = LocalStates(model)
        self._visited: set[int] = set()
        self._parents = array("q")
        self._actions = array("q")
        self._ghosts: list[Any] = []
        self._ghost_numbers: dict[Any, int] = {}
        self._next_ghosts: dict[tuple[int, tuple[Observation, ...]], int] = {}
        self._checked: set[tuple[int, tuple[int, ...]]] = set()

    def initial_state(self) -> GlobalState:
        """Return the state after the model's prelude, in which the search begins."""
        state = self._before_prelude()
        for step in self.model.prelude:
            state = self._next_state_unbounded(state, Action(step.kind, step.node, step.number))
            if step.runs_to_quiescence:
                state = self._run_to_quiescence(state, step)
        return state

    def _before_prelude(self) -> GlobalState:
        count = len(self.model.addresses)
        nodes = tuple(self.local_states.initial_state(index) for index in range(count))
        ghost = self._ghost_number(self.model.initial_ghost())
        return GlobalState(nodes, (), ghost, self.model.bounds.counts(), 0)

    def _next_state_unbounded(self, state: GlobalState, action: Action) -> GlobalState:
        """Return the state after an action that counts against no bound."""
        reached = self.next_state(state, action) or state
        return GlobalState(
            reached.nodes, reached.in_flight, reached.ghost, state.remaining, reached.submitted
        )

    def _run_to_quiescence(self, state: GlobalState, step: PreludeStep) -> GlobalState:
        """Return the state once all flushes are complete and no message is in flight."""
        while True:
            if step.isolated is not None:
                state = self._partitioned(state, step.isolated, state.remaining)
            if step.lost_links:
                state = self._without_links(state, step.lost_links)
            flushing = [index for index, node in enumerate(state.nodes) if node.is_flushing]
            if flushing:
                state = self._next_state_unbounded(state, Action(ActionKind.FLUSH, flushing[0]))
            elif state.in_flight:
                number = state.in_flight[0]
                target = self.local_states.targets[number]
                state = self._next_state_unbounded(
                    state, Action(ActionKind.DELIVER, target, number)
                )
            else:
                return state

    def search(self) -> SearchResult:
        """Visit the states within the bounds, and stop at the first violation of an invariant."""
        began, bounds, result = time.monotonic(), self.model.bounds, SearchResult()
        level = [(0, self.initial_state())]
        self._visit(level[0][1], _NO_PARENT, 0)
        try:
            while level and result.depth < bounds.depth:
                following: list[tuple[int, GlobalState]] = []
                for number, state in level:
                    self._expand(number, state, following)
                    if self._is_exhausted(bounds, began):
                        return self._finished(result, began)
                level = following
                result.depth += 1 if level else 0
            result.is_complete = not level
        except _ViolationFoundError as found:
            result.violation = found.violation
            result.counterexample = [*self._path_to(found.state_number), found.action]
        return self._finished(result, began)

    def _is_exhausted(self, bounds: Bounds, began: float) -> bool:
        count = len(self._parents)
        return count >= bounds.states or time.monotonic() - began >= bounds.seconds

    def _finished(self, result: SearchResult, began: float) -> SearchResult:
        result.states = len(self._parents)
        result.seconds = time.monotonic() - began
        result.local_states = len(self.local_states.states)
        return result

    def _expand(
        self, number: int, state: GlobalState, following: list[tuple[int, GlobalState]]
    ) -> None:
        """Append the successors of a state that have not been visited, with their numbers."""
        for action in self.actions(state):
            try:
                reached = self.next_state(state, action)
            except InvariantViolationError as violation:
                raise _ViolationFoundError(violation, number, action) from violation
            if reached is not None and self._visit(reached, number, _encode_action(action)):
                following.append((len(self._parents) - 1, reached))

    def _visit(self, state: GlobalState, parent: int, encoded_action: int) -> bool:
        """Record a state as visited; return whether it was not visited before."""
        key = state.key()
        if key in self._visited:
            return False
        self._visited.add(key)
        self._parents.append(parent)
        self._actions.append(encoded_action)
        return True

    def _path_to(self, number: int) -> list[Action]:
        steps = []
        while self._parents[number] != _NO_PARENT:
            steps.append(_decode_action(self._actions[number]))
            number = self._parents[number]
        return steps[::-1]

    def actions(self, state: GlobalState) -> list[Action]:
        """Return the actions that are possible in a state."""
        actions = self._message_actions(state)
        for index in range(len(state.nodes)):
            actions += self._node_actions(state, index)
        answered = self.model.answered(self._ghosts[state.ghost])
        for number, operation in enumerate(self.model.operations):
            if not state.submitted >> number & 1 and answered.issuperset(operation.requires):
                actions.append(Action(ActionKind.SUBMIT, operation.node, number))
        return actions

    def _message_actions(self, state: GlobalState) -> list[Action]:
        targets = self.local_states.targets
        actions = []
        for number in self._deliverable(state.in_flight):
            actions.append(Action(ActionKind.DELIVER, targets[number], number))
            for kind in (ActionKind.DUPLICATE, ActionKind.LOSE):
                if state.remaining[_BOUND_INDEX[kind]]:
                    actions.append(Action(kind, targets[number], number))
        return actions

    def _node_actions(self, state: GlobalState, index: int) -> list[Action]:
        remaining = state.remaining
        actions = []
        if state.nodes[index].is_flushing:
            actions.append(Action(ActionKind.FLUSH, index))
        if index in self.model.reliable_nodes:
            return actions
        actions += [Action(kind, index) for kind in _NODE_KINDS if remaining[_BOUND_INDEX[kind]]]
        if remaining[_BOUND_INDEX[ActionKind.CONNECTION_REFUSED]]:
            others = (other for other in range(len(state.nodes)) if other != index)
            actions += [Action(ActionKind.CONNECTION_REFUSED, index, other) for other in others]
        if remaining[_BOUND_INDEX[ActionKind.PARTITION]] and state.in_flight:
            actions.append(Action(ActionKind.PARTITION, index))
        return actions

    def _deliverable(self, in_flight: tuple[int, ...]) -> list[int]:
        """Return each distinct message, or only the first on each link if links keep the order."""
        if not self.model.fifo_links:
            return list(dict.fromkeys(in_flight))
        firsts: dict[tuple[str, str], int] = {}
        for number in in_flight:
            firsts.setdefault(self._link(number), number)
        return list(firsts.values())

    def _link(self, number: int) -> tuple[str, str]:
        envelope = self.local_states.messages[number][0]
        return (envelope.sender, envelope.to)

    def next_state(self, state: GlobalState, action: Action) -> GlobalState | None:
        """Return the state after an action; None if the action has no effect.

        Raises
        ------
        InvariantViolationError
            An invariant does not hold in the state reached, or a node raised an exception.
        """
        kind, number = action.kind, action.number
        remaining = _decrement_bound(state.remaining, kind)
        if kind is ActionKind.PARTITION:
            return self._partitioned(state, action.node, remaining)
        in_flight = list(state.in_flight)
        if kind in (ActionKind.DELIVER, ActionKind.LOSE):
            in_flight.remove(number)
        if kind is ActionKind.LOSE:
            return state.with_in_flight(in_flight, remaining)
        event = Event(ActionKind.DELIVER if kind is ActionKind.DUPLICATE else kind, number)
        transition = self.local_states.transition(state.nodes[action.node], event)
        if transition is None:
            if kind is not ActionKind.DELIVER:
                return None
            return state.with_in_flight(in_flight, remaining)
        nodes = list(state.nodes)
        nodes[action.node] = transition.state
        observations, submitted = transition.observations, state.submitted
        if kind is ActionKind.SUBMIT:
            submitted |= 1 << number
            observations = (OperationSubmitted(number), *observations)
        reached = GlobalState(
            tuple(nodes),
            self._without_obsolete_replies([*in_flight, *transition.sent], nodes),
            self._next_ghost(state.ghost, observations) if observations else state.ghost,
            remaining,
            submitted,
        )
        self._check(reached)
        return reached

    def _partitioned(
        self, state: GlobalState, index: int, remaining: tuple[int, ...]
    ) -> GlobalState:
        """Return the state without the messages in flight to and from a node."""
        address = self.model.addresses[index]
        in_flight = [number for number in state.in_flight if address not in self._link(number)]
        return state.with_in_flight(in_flight, remaining)

    def _without_links(self, state: GlobalState, links: tuple[tuple[int, int], ...]) -> GlobalState:
        """Return the state without the messages from the first to the second node of each link."""
        addresses = self.model.addresses
        lost = {(addresses[sender], addresses[to]) for sender, to in links}
        in_flight = [number for number in state.in_flight if self._link(number) not in lost]
        return state.with_in_flight(in_flight)

    def _without_obsolete_replies(
        self, in_flight: list[int], nodes: list[LocalState]
    ) -> tuple[int, ...]:
        """Return the messages in flight without replies to requests that are no longer pending.

        Delivering such a reply would have no effect.
        """
        messages, targets = self.local_states.messages, self.local_states.targets
        awaited = [
            number
            for number in in_flight
            if not messages[number][0].in_reply_to
            or messages[number][0].in_reply_to in nodes[targets[number]].pending
        ]
        return tuple(sorted(awaited, key=self._link if self.model.fifo_links else None))

    def _ghost_number(self, ghost: Any) -> int:
        number = self._ghost_numbers.setdefault(ghost, len(self._ghosts))
        if number == len(self._ghosts):
            self._ghosts.append(ghost)
        return number

    def _next_ghost(self, ghost: int, observations: tuple[Observation, ...]) -> int:
        key = (ghost, observations)
        if key not in self._next_ghosts:
            following = self.model.next_ghost(self._ghosts[ghost], observations)
            self._next_ghosts[key] = self._ghost_number(following)
        return self._next_ghosts[key]

    def _check(self, state: GlobalState) -> None:
        key = (state.ghost, tuple(node.observed for node in state.nodes))
        if key not in self._checked:
            observed = tuple(self.local_states.observed[node.observed] for node in state.nodes)
            self.model.check(self._ghosts[state.ghost], observed)
            self._checked.add(key)

    def describe(self, schedule: Iterable[Action]) -> list[ScheduleStep]:
        """Return a schedule that any explorer can replay: it names messages by their content."""
        return [ScheduleStep(step.kind, step.node, self._subject(step)) for step in schedule]

    def _subject(self, step: Action) -> str:
        if step.kind in _MESSAGE_KINDS:
            return self.label(step.number)
        if step.kind is ActionKind.SUBMIT:
            return self.model.operations[step.number].name
        if step.kind is ActionKind.CONNECTION_REFUSED:
            return f"at {step.number}"
        return ""

    def label(self, number: int) -> str:
        """Return a message's name: type, sender, its request number and the one it replies to."""
        envelope, _ = self.local_states.messages[number]
        sender = self.model.addresses.index(envelope.sender)
        kind = type(envelope.message).__name__
        return f"{kind} from {sender} ref {envelope.request_id} re {envelope.in_reply_to}"

    def replay(self, steps: Iterable[ScheduleStep]) -> GlobalState:
        """Return the state that a written schedule leads to.

        Raises
        ------
        InvariantViolationError
            An invariant does not hold in one of the states on the way.
        LookupError
            A step is not possible in the state in which the schedule has it.
        """
        state = self.initial_state()
        for step in steps:
            possible = [
                action
                for action in self.actions(state)
                if (action.kind, action.node, self._subject(action)) == step
            ]
            if not possible:
                raise LookupError(
                    f"step not possible in this state: {step.kind} {step.node} {step.subject}"
                )
            state = self.next_state(state, possible[0]) or state
        return state


class _ViolationFoundError(Exception):
    """Raised to end a search when an action from a visited state violates an invariant."""

    def __init__(
        self, violation: InvariantViolationError, state_number: int, action: Action
    ) -> None:
        super().__init__(str(violation))
        self.violation = violation
        self.state_number = state_number
        self.action = action


def _decrement_bound(remaining: tuple[int, ...], kind: ActionKind) -> tuple[int, ...]:
    index = _BOUND_INDEX.get(kind)
    if index is None:
        return remaining
    return (*remaining[:index], remaining[index] - 1, *remaining[index + 1 :])


def _encode_action(action: Action) -> int:
    """Return an action encoded as one integer, which takes less memory than the object."""
    return (action.number << _NODE_BITS | action.node) << _KIND_BITS | _KIND_NUMBER[action.kind]


def _decode_action(encoded_action: int) -> Action:
    kind = _KINDS[encoded_action & ((1 << _KIND_BITS) - 1)]
    encoded_action >>= _KIND_BITS
    return Action(kind, encoded_action & ((1 << _NODE_BITS) - 1), encoded_action >> _NODE_BITS)
