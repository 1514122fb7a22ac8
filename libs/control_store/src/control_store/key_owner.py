"""The owner of keys, which executes the operations on each key one at a time.

A key's owner is the first live voter in the key's rendezvous order (`control_store.forwarding`). It
takes the key over by preparing a higher epoch on a majority, proposes the newest value found there
again, and then proposes changes under that epoch. Each change is on the disks of a majority before
it is acknowledged. An owner whose proposal is rejected prepares again, which shows whether its last
change was decided; the outcome is DOUBT only if the operation times out before that. The rounds of
requests are in `control_store.proposer`.
"""

from collections.abc import Callable
from typing import Any, cast

from config_feed import ConfigFeed
from membership import Membership
from messaging import Component, Message, Node, Origin

from control_store.acceptor import CONTROL_KEY, Acceptor
from control_store.change_memory import add_change, decided_version, surely_undecided
from control_store.forwarding import OperationForwarder
from control_store.key_state import KeyState, OwnershipState, newest_accepted
from control_store.messages import (
    Change,
    ChangeResult,
    FindChange,
    Outcome,
    ReadKey,
    Value,
)
from control_store.operations import (
    ClientOperation,
    EnsureReplicated,
    KeyOperation,
    PendingOperation,
    ResultCallback,
)
from control_store.pending_acknowledgements import ACKNOWLEDGED_KEYS, PendingAcknowledgements
from control_store.proposer import Proposer, VoteRound
from control_store.voter_list import VoterList

__all__ = ["KeyOwner"]

RETRY_PROBABILITY = 0.5


class KeyOwner(Component):
    """Executes operations on the keys that this node owns, and forwards others to their owners."""

    __slots__ = (
        "_acceptor",
        "_acknowledgements",
        "_config_feed",
        "_forwarder",
        "_keys",
        "_proposer",
    )
    HANDLES = (Change, FindChange, ReadKey)

    def __init__(self, acceptor: Acceptor, membership: Membership, config_feed: ConfigFeed) -> None:
        self._acceptor = acceptor
        self._config_feed = config_feed
        self._keys: dict[str, KeyState] = {}
        self._proposer = Proposer(acceptor)
        self._forwarder = OperationForwarder(acceptor, membership, self._enqueue)
        self._acknowledgements = PendingAcknowledgements(acceptor, config_feed)

    def attach(self, node: Node) -> None:
        """Attach the node to this component and its parts."""
        super().attach(node)
        self._forwarder.attach(node)
        self._acknowledgements.attach(node)
        self._proposer.attach(node)

    def receive(self, message: Message, origin: Origin) -> None:
        """Execute an operation sent by another node, and reply with the result."""
        operation = cast(ClientOperation, message)
        self.submit(operation, lambda result: self.node.reply(origin, result))

    def submit(self, operation: ClientOperation, done: ResultCallback) -> None:
        """Execute an operation here, or forward it to the key's owner; `done` gets the result."""
        self._forwarder.submit(operation, done)

    def owner_of(self, key: str) -> str | None:
        """Return the identity of the node responsible for a key, or None if no voter is live.

        It is the first live voter that is not reported as cut off from a majority or, if all are,
        the first live voter (`control_store.forwarding`).
        """
        return self._forwarder.owner_of(key)

    def ensure_replicated(self, key: str, done: Callable[[bool], None]) -> None:
        """Make sure that a majority of the current voters has the key's newest value.

        `done` gets whether that succeeded; it is given up after twice request_timeout_ms.
        """
        self._ensure_replicated(
            EnsureReplicated(key), lambda result: done(result.outcome == Outcome.OK)
        )

    def _ensure_replicated(self, operation: EnsureReplicated, done: ResultCallback) -> None:
        due_ms = self.node.env.now() + self.node.settings.request_timeout_ms * 2
        self._enqueue(operation, due_ms, done)

    def repair(self, name: str) -> None:
        """Bring outdated replicas of a key up to date in the background.

        If this node owns the key, every voter is asked for its version, and the newest value is
        sent to all again only if a voter that replied lacks it.
        """
        key = self._keys.get(name)
        if key is None or key.state is not OwnershipState.OWNED:
            self.ensure_replicated(name, lambda ok: None)
            return
        epoch, version = key.epoch, key.value.version

        def queried(key: KeyState, round_: VoteRound, ok: bool) -> None:
            unchanged = (key.epoch, key.value.version) == (epoch, version)
            if not unchanged or key.state is not OwnershipState.OWNED:
                return
            self._proposer.observe(key, round_)
            if self._proposer.replica_count(key, round_) < len(round_.replies):
                self._ensure_replicated(
                    EnsureReplicated(name, unconditional=True), lambda result: None
                )

        self._proposer.query_versions(key, queried)

    def ownership(self) -> dict[str, dict[str, Any]]:
        """Return state, epoch and owner of each key that this node has operated on."""
        return {
            key.name: {
                "state": str(key.state),
                "epoch": key.epoch,
                "owner": self.owner_of(key.name),
            }
            for key in self._keys.values()
        }

    def _enqueue(self, operation: KeyOperation, due_ms: int, done: ResultCallback) -> None:
        key = self._keys.setdefault(operation.key, KeyState(operation.key))
        key.operations.append(PendingOperation(operation, due_ms, done))
        if len(key.operations) == 1:
            self._start_next(key)

    def _start_next(self, key: KeyState) -> None:
        """Start the first operation in a key's queue, unless a round is still in progress.

        A callback that submitted another operation may already have started the round for it.
        """
        while key.operations and self.node.env.now() >= key.operations[0].due_ms:
            self._reply(key, Outcome.DOUBT, "no majority of voters answered in time")
        if not key.operations or key.round_in_progress:
            return
        if key.state is OwnershipState.UNOWNED:
            self._proposer.prepare(key, self._prepared)
        else:
            self._proposer.confirm(key, self._confirmed)

    def _finish(
        self, key: KeyState, outcome: Outcome, reason: str, version: int | None = None
    ) -> None:
        self._reply(key, outcome, reason, version)
        if key.operations:
            self._start_next(key)

    def _reply(
        self, key: KeyState, outcome: Outcome, reason: str, version: int | None = None
    ) -> None:
        """Reply to the first operation; `version` is what it produced, by default the newest."""
        operation = key.operations.pop(0)
        value = key.value
        known = outcome in (Outcome.OK, Outcome.LOST)
        result = ChangeResult(
            outcome=outcome,
            version=(version or value.version) if known else 0,
            body=value.body if known else "",
            reason=reason,
        )
        if (
            outcome == Outcome.OK
            and isinstance(operation.message, (Change, FindChange))
            and key.name in ACKNOWLEDGED_KEYS
        ):
            self._acknowledgements.add(key.name, result, key.published_ms, operation.done)
        else:
            operation.done(result)

    def _prepared(self, key: KeyState, round_: VoteRound, ok: bool) -> None:
        self._proposer.observe(key, round_)
        if not ok:
            self._give_up_ownership(key)
            return
        key.value = newest_accepted(round_.agreed.values())
        if key.value.version == 0:
            key.state = OwnershipState.OWNED
            self._execute(key, round_)
        else:
            self._proposer.accept(key, key.value, self._taken_over)

    def _taken_over(self, key: KeyState, round_: VoteRound, ok: bool) -> None:
        self._proposer.observe(key, round_)
        if not ok:
            self._give_up_ownership(key)
            return
        key.state = OwnershipState.OWNED
        self.node.env.log("key-owned", key=key.name, epoch=key.epoch, version=key.value.version)
        self._publish(key)
        if (
            key.name == CONTROL_KEY
            and VoterList.from_body(key.value.body).number > self._acceptor.list_number
        ):
            self._acceptor.adopt_list(key.value.body, lambda ok: self._give_up_ownership(key))
            return
        self._execute(key, round_)

    def _confirmed(self, key: KeyState, round_: VoteRound, ok: bool) -> None:
        self._proposer.observe(key, round_)
        if ok:
            self._execute(key, round_)
        else:
            self._give_up_ownership(key)

    def _give_up_ownership(self, key: KeyState) -> None:
        """Give up ownership after a rejection or a timeout.

        The outcome of the last round becomes known when the key is prepared again (`tick`).
        """
        if key.state is not OwnershipState.UNOWNED:
            self.node.env.log(
                "key-lost", key=key.name, epoch=key.epoch, highest_epoch=key.highest_epoch
            )
        key.state = OwnershipState.UNOWNED

    def _execute(self, key: KeyState, round_: VoteRound) -> None:
        """Execute the first operation; ownership has been confirmed since it was submitted."""
        if not key.operations:
            return
        message = key.operations[0].message
        if isinstance(message, ReadKey):
            self._finish(key, Outcome.OK, "")
        elif isinstance(message, EnsureReplicated):
            self._execute_replication(key, message, round_)
        else:
            self._execute_change(key, message)

    def _execute_replication(
        self, key: KeyState, operation: EnsureReplicated, round_: VoteRound
    ) -> None:
        replicated = not operation.unconditional and 2 * self._proposer.replica_count(
            key, round_
        ) > len(self._acceptor.voters)
        if key.value.version == 0 or replicated:
            self._finish(key, Outcome.OK, "")
        else:
            self._proposer.accept(key, key.value, self._replicated)

    def _execute_change(self, key: KeyState, message: Change | FindChange) -> None:
        value = key.value
        version = decided_version(value, message.change_id)
        if version is not None:
            self._finish(key, Outcome.OK, "", version)
        elif isinstance(message, FindChange) or message.version != value.version:
            self._finish(key, *_outcome_unless_decided(value, message))
        else:
            new_value = add_change(value, message)
            key.state = OwnershipState.CHANGING
            self._proposer.accept(
                key, new_value, lambda key, round_, ok: self._changed(key, new_value, round_, ok)
            )

    def _changed(self, key: KeyState, new_value: Value, round_: VoteRound, ok: bool) -> None:
        self._proposer.observe(key, round_)
        if not ok:
            self._give_up_ownership(key)
            return
        key.state = OwnershipState.OWNED
        key.value = new_value
        change = key.operations[0].message if key.operations else None
        self.node.env.log(
            "key-changed",
            key=key.name,
            epoch=key.epoch,
            version=new_value.version,
            change=change.change_id if isinstance(change, Change) else "",
        )
        self._publish(key)
        self._finish(key, Outcome.OK, "", new_value.version)

    def _replicated(self, key: KeyState, round_: VoteRound, ok: bool) -> None:
        self._proposer.observe(key, round_)
        if ok:
            self._finish(key, Outcome.OK, "")
        else:
            self._give_up_ownership(key)

    def _publish(self, key: KeyState) -> None:
        key.published_ms = self.node.env.now()
        self._config_feed.publish(key.name, key.value.version, key.value.body)

    def tick(self) -> None:
        """Check acknowledgements and retries, and prepare unowned keys that have operations.

        A key is prepared with RETRY_PROBABILITY on each tick.
        """
        self._acknowledgements.check()
        self._forwarder.tick()
        for key in self._keys.values():
            if (
                key.operations
                and key.state is OwnershipState.UNOWNED
                and self.node.env.rng.random() < RETRY_PROBABILITY
            ):
                self._start_next(key)

    def resumed(self, gap_ms: int) -> None:
        """Give up all keys after a pause of the process, and end all operations with DOUBT."""
        for key in self._keys.values():
            key.epoch += 1
            key.round_in_progress = False
            self._give_up_ownership(key)
            while key.operations:
                self._reply(key, Outcome.DOUBT, "the owner was frozen")
        self._acknowledgements.give_up()


def _outcome_unless_decided(value: Value, message: Change | FindChange) -> tuple[Outcome, str]:
    """Return outcome and reason for a change that is not remembered and cannot be applied."""
    if surely_undecided(value, message):
        return Outcome.LOST, f"version {value.version} is in place; this change is not"
    return Outcome.FORGOTTEN, "older than the changes that are remembered"
