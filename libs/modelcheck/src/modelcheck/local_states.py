"""Local states of nodes, restored by replaying events.

A node's state is determined by the image that it started from and by the events since. It is
restored by replaying these on the real cores, because Python can't copy some of it (pending
callbacks). States with equal canonical encodings are one state. The effect of an event on a local
state is computed once and reused for every global state that contains the local state.
"""

from collections.abc import Hashable
from hashlib import blake2b
from typing import Any, NamedTuple

from messaging import Node, decode, encode

from modelcheck.actions import ActionKind
from modelcheck.canonical_encoding import Encoder
from modelcheck.model_environment import BootImage, Envelope, ModelDisk, ModelEnvironment
from modelcheck.system_model import (
    InvariantViolationError,
    Observation,
    RunningNode,
    SystemModel,
)

__all__ = ["Event", "LocalState", "LocalStates", "Transition"]

_RESTARTS = (ActionKind.KILL, ActionKind.POWER_LOSS, ActionKind.WIPE)
_DIGEST_BYTES = 16
_NO_NODE = -1


class Event(NamedTuple):
    """What happens to a node: `kind` and `number` are as for `actions.Action`."""

    kind: ActionKind
    number: int


class Transition:
    """The effect of an event: the next local state, the messages sent and the observations."""

    __slots__ = ("observations", "sent", "state")

    def __init__(
        self, state: "LocalState", sent: tuple[int, ...], observations: tuple[Observation, ...]
    ) -> None:
        self.state = state
        self.sent = sent
        self.observations = observations


class LocalState:
    """One local state of a node.

    `index` is the number of the node, and `number` that of the state. `pending` has the numbers of
    the requests whose replies still have an effect, `is_flushing` is whether a flush or file
    replacement is unfinished, and `observed` is the number of the value that the model's `observe`
    returns for the state. `transitions` caches the effects of events.
    """

    __slots__ = (
        "boot_image",
        "events",
        "index",
        "is_flushing",
        "number",
        "observed",
        "pending",
        "transitions",
    )

    def __init__(self, index: int, boot_image: BootImage, events: tuple[Event, ...]) -> None:
        self.index = index
        self.boot_image = boot_image
        self.events = events
        self.number = 0
        self.is_flushing = False
        self.pending: frozenset[int] = frozenset()
        self.observed = 0
        self.transitions: dict[Event, Transition | None] = {}


class LocalStates:
    """All local states found, and the messages sent, numbered in the order of discovery.

    `messages` has each message with its encoding, `targets` the number of the node that it is sent
    to, or -1 if no node has the address. `observed` has the values that the model's `observe`
    returned.
    """

    __slots__ = (
        "_by_key",
        "_message_numbers",
        "_model",
        "_observed_numbers",
        "messages",
        "observed",
        "states",
        "targets",
    )

    def __init__(self, model: SystemModel) -> None:
        self._model = model
        self._by_key: dict[bytes, LocalState] = {}
        self._message_numbers: dict[tuple[Any, ...], int] = {}
        self._observed_numbers: dict[Hashable, int] = {}
        self.states: list[LocalState] = []
        self.observed: list[Any] = []
        self.messages: list[tuple[Envelope, bytes]] = []
        self.targets: list[int] = []

    def initial_state(self, index: int) -> LocalState:
        """Return the state of a node that has just started from the model's boot image."""
        state = LocalState(index, self._model.boot_image(index), ())
        return self._intern(state, self.run(state))

    def transition(self, state: LocalState, event: Event) -> Transition | None:
        """Return the effect of an event on a state; None if it has none.

        Raises
        ------
        InvariantViolationError
            The node's code raised an exception.
        """
        if event not in state.transitions:
            try:
                state.transitions[event] = self._compute_transition(state, event)
            except Exception as error:
                raise InvariantViolationError("RAISED", repr(error)) from error
        return state.transitions[event]

    def run(self, state: LocalState) -> RunningNode:
        """Return a running node in this state, restored by replaying its events."""
        running = self._start(state.index, state.boot_image)
        for event in state.events:
            self._apply_event(running, state.index, event)
        return running

    def _compute_transition(self, state: LocalState, event: Event) -> Transition | None:
        running = self.run(state)
        running.env.sent.clear()
        running.observations.clear()
        facts_before = self._model.facts(state.index, running)
        if event.kind in _RESTARTS:
            boot_image = self._image_after(running, event.kind)
            running = self._start(state.index, boot_image)
            following = LocalState(state.index, boot_image, ())
        else:
            self._apply_event(running, state.index, event)
            following = LocalState(state.index, state.boot_image, (*state.events, event))
        sent = self._numbers_of_sent(running)
        new_facts = self._model.facts(state.index, running) - facts_before
        observations = (*running.observations, *sorted(new_facts))
        following = self._intern(following, running)
        if following is state and not sent and not observations:
            return None
        to_nodes = tuple(number for number in sent if self.targets[number] != _NO_NODE)
        return Transition(following, to_nodes, observations)

    def _start(self, index: int, boot_image: BootImage) -> RunningNode:
        env = ModelEnvironment(f"n{index}", self._model.addresses[index], boot_image)
        running = RunningNode(env, ModelDisk(boot_image.files))
        running.node = self._model.start(index, running)
        self._finish_immediate_work(running)
        return running

    def _apply_event(self, running: RunningNode, index: int, event: Event) -> None:
        """Apply an event to a running node, and then what needs no step of its own."""
        kind, number = event
        if kind is ActionKind.DELIVER:
            self._deliver(running, *self.messages[number])
        elif kind is ActionKind.FLUSH:
            running.disk.complete()
        elif kind is ActionKind.SUBMIT:
            self._model.submit(index, running, number)
        elif kind is ActionKind.CONNECTION_REFUSED:
            for component in running.node.components:
                component.connection_refused(self._model.addresses[number])
        else:
            running.env.now_ms += self._wait_ms(kind)
            running.node.tick()
        self._finish_immediate_work(running)

    def _wait_ms(self, kind: ActionKind) -> int:
        return {
            ActionKind.TICK: self._model.tick_ms,
            ActionKind.TIMEOUT: self._model.timeout_ms,
            ActionKind.FREEZE: self._model.freeze_ms,
        }[kind]

    def _finish_immediate_work(self, running: RunningNode) -> None:
        """Do what needs no step: the node's messages to itself, and flushes unless slow_disk."""
        at_once = self._model.immediate_self_delivery
        address = running.env.address
        while True:
            own = [envelope for envelope in running.env.sent if at_once and envelope.to == address]
            if own:
                running.env.sent.remove(own[0])
                self._deliver(running, own[0], encode(own[0].message))
            elif running.disk.is_flushing and not self._model.bounds.slow_disk:
                running.disk.complete()
            else:
                return

    def _deliver(self, running: RunningNode, envelope: Envelope, data: bytes) -> None:
        running.env.received(envelope)
        running.node.receive(
            envelope.sender, envelope.request_id, envelope.in_reply_to, decode(data)
        )

    def _image_after(self, running: RunningNode, kind: ActionKind) -> BootImage:
        """Return the image from which the process starts after a restart of this kind."""
        disk = running.disk
        files = {
            ActionKind.KILL: disk.files,
            ActionKind.POWER_LOSS: disk.durable,
            ActionKind.WIPE: {},
        }[kind]
        return BootImage(dict(files), running.env.now_ms, running.env.incarnation + 1)

    def _intern(self, state: LocalState, running: RunningNode) -> LocalState:
        """Return the known state that equals this one; if there is none, add this one."""
        open_requests = {
            request_id: request
            for request_id, request in running.node.open_requests.items()
            if not self._model.is_obsolete(request.on_reply)
        }
        key = self._key(state.index, running, open_requests)
        known = self._by_key.get(key)
        if known is not None:
            return known
        state.number = len(self.states)
        state.is_flushing = running.disk.is_flushing
        state.pending = frozenset(open_requests)
        state.observed = self._observed_number(self._model.observe(state.index, running))
        self.states.append(state)
        self._by_key[key] = state
        return state

    def _key(self, index: int, running: RunningNode, open_requests: dict[int, Any]) -> bytes:
        encoder = Encoder(
            (Node, ModelEnvironment, ModelDisk, *self._model.opaque_types),
            self._model.skipped_slots,
        )
        unfinished = [
            (flush.name, flush.data, flush.step_counts, flush.done)
            for flush in running.disk.unfinished
        ]
        text = encoder.text(
            (
                index,
                running.env.incarnation,
                running.env.now_ms,
                running.node.last_request_id,
                open_requests,
                list(running.node.components),
                self._model.disk_key(running.disk),
                unfinished,
            )
        )
        return blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()

    def _observed_number(self, observed: Hashable) -> int:
        number = self._observed_numbers.setdefault(observed, len(self.observed))
        if number == len(self.observed):
            self.observed.append(observed)
        return number

    def _numbers_of_sent(self, running: RunningNode) -> tuple[int, ...]:
        return tuple(
            self._message_number(envelope)
            for envelope in running.env.sent
            if not isinstance(envelope.message, self._model.dropped_types)
        )

    def _message_number(self, envelope: Envelope) -> int:
        data = encode(envelope.message)
        key = (envelope.sender, envelope.to, envelope.request_id, envelope.in_reply_to, data)
        number = self._message_numbers.setdefault(key, len(self.messages))
        if number == len(self.messages):
            self.messages.append((envelope, data))
            addresses = self._model.addresses
            is_node = envelope.to in addresses
            self.targets.append(addresses.index(envelope.to) if is_node else _NO_NODE)
        return number
