"""Owning keys: the proposer of the ballots.

A key's owner is the first live voter in the key's own order. It takes the key over by preparing a
higher epoch on a majority, completes the proposal that it finds there, and then proposes changes
under that epoch; each is on a majority of disks before it is acknowledged. An owner that is refused
prepares again, which settles what became of its last change; only when time runs out before that is
the outcome DOUBT. The states of a key are unowned, preparing, owned and changing.
"""

import json
from collections.abc import Callable
from typing import Any

from config_feed import ConfigFeed
from membership import Membership
from messaging import Component, Message, Origin, decode, encode

from control_store.acceptor import CONTROL_KEY, Acceptor
from control_store.change_memory import add_change, surely_untaken, taken_as
from control_store.forwarding import OperationForwarder
from control_store.key_states import Done, KeyState, Operation, Renew, State, blank_value, newest
from control_store.messages import (
    Accept,
    Change,
    ChangeResult,
    Confirm,
    FindChange,
    Outcome,
    Prepare,
    ReadKey,
    Value,
    VoterListDecided,
)
from control_store.pending_acknowledgements import CONFIRMED_KEYS, PendingAcknowledgements
from control_store.quorum_round import QuorumRound

__all__ = ["KeyOwner", "newest"]


def _not_taken(value: Value, message: Change | FindChange) -> tuple[Outcome, str]:
    """Return the reply to a change that is not remembered and not based on the newest version."""
    if surely_untaken(value, message):
        return Outcome.LOST, f"version {value.version} is in place; this change is not"
    return Outcome.FORGOTTEN, "older than the changes that are remembered"


class KeyOwner(Component):
    """Works on the operations of keys that this node owns, one at a time for each key.

    Operations on other nodes' keys are forwarded to their owners.
    """

    __slots__ = ("_by", "_confirmations", "_config_feed", "_keys", "_relay", "_voter")
    HANDLES = (Change, FindChange, ReadKey)

    def __init__(self, voter: Acceptor, neighbours: Membership, config_feed: ConfigFeed) -> None:
        self._voter = voter
        self._config_feed = config_feed
        self._by = ""
        self._keys: dict[str, KeyState] = {}
        self._relay = OperationForwarder(voter, neighbours, self._enqueue)
        self._confirmations = PendingAcknowledgements(voter, config_feed)

    def attach(self, node: Any) -> None:
        """Attach the node; each process proposes under an identity of its own."""
        super().attach(node)
        self._relay.attach(node)
        self._confirmations.attach(node)
        self._by = f"{self._voter.identity}/{node.env.token()}"

    # -- submitting operations -----------------------------------------------------------------

    def receive(self, message: Message, origin: Origin) -> None:
        """Work on an operation that another node sent, and reply to it."""
        self.submit(message, lambda receipt: self.node.reply(origin, receipt))

    def submit(self, message: Change | FindChange | ReadKey, done: Done) -> None:
        """Work on an operation here, or forward it to the key's owner; `done` gets the reply."""
        self._relay.submit(message, done)

    def owner_of(self, concern: str) -> str | None:
        """Return the identity of the node responsible for `concern`, or None if no voter is live.

        It is the first live voter that is itself in contact with a majority, or the first live one.
        """
        return self._relay.owner_of(concern)

    def renew(self, key: str, done: Callable[[bool], None]) -> None:
        """Make sure that a majority of the present voters has the key's newest value.

        `done` gets whether that was achieved within twice request_timeout_ms.
        """
        self._enqueue(
            Renew(key),
            self.node.env.now() + self.node.settings.request_timeout_ms * 2,
            lambda receipt: done(receipt.outcome == Outcome.OK),
        )

    def mend(self, name: str) -> None:
        """Repair replicas of a key that are out of date, without anybody waiting for it.

        Every voter is asked for its version; the newest value is sent to all again only if one that
        replied lacks it.
        """
        key = self._keys.get(name)
        if key is None or key.state is not State.OWNED:
            self.renew(name, lambda ok: None)
            return
        epoch, version = key.epoch, key.value.version

        def heard(round_: QuorumRound, ok: bool) -> None:
            if (key.epoch, key.value.version) != (epoch, version) or key.state is not State.OWNED:
                return
            self._note(key, round_)
            if self._holders(key, round_) < len(round_.replies):
                self._enqueue(
                    Renew(name, True),
                    self.node.env.now() + self.node.settings.request_timeout_ms * 2,
                    lambda receipt: None,
                )

        QuorumRound(
            self.node,
            self._voter.voters,
            Confirm(key=name, epoch=epoch, proposer=self._by, list_number=self._voter.list_number),
            self.node.settings.request_timeout_ms,
            heard,
            True,
        )

    def _holders(self, key: KeyState, round_: QuorumRound) -> int:
        """Count the voters that reported the newest value under this owner's epoch in a round."""
        return sum(
            1
            for vote in round_.yes.values()
            if vote.accepted == (key.epoch, self._by)
            and (decode(vote.value).version if vote.value else 0) == key.value.version
        )

    def epochs(self) -> dict[str, dict[str, Any]]:
        """Return for each key that was worked on here its state, epoch and owner, for operators."""
        return {
            key.name: {
                "state": str(key.state),
                "epoch": key.epoch,
                "owner": self.owner_of(key.name),
            }
            for key in self._keys.values()
        }

    def _enqueue(self, message: Any, due_ms: int, done: Done) -> None:
        key = self._keys.setdefault(message.key, KeyState(message.key))
        key.ops.append(Operation(message, due_ms, done))
        if len(key.ops) == 1:
            self._next(key)

    # -- executing a key's operations ----------------------------------------------------------

    def _next(self, key: KeyState) -> None:
        while key.ops and self.node.env.now() >= key.ops[0].due_ms:
            self._answer(key, Outcome.DOUBT, "no majority of voters answered in time")
        if not key.ops or key.asking:
            return
        if key.state is State.UNOWNED:
            self._prepare(key)
        else:
            self._round(
                key,
                Confirm(
                    key=key.name,
                    epoch=key.epoch,
                    proposer=self._by,
                    list_number=self._voter.list_number,
                ),
                self._confirmed,
            )

    def _round(
        self, key: KeyState, message: Message, done: Callable[[KeyState, QuorumRound, bool], None]
    ) -> None:
        """Start the only round of a key.

        A caller that is answered may ask again before the reply has been processed.
        """
        epoch, key.asking = key.epoch, True

        def ended(round_: QuorumRound, ok: bool) -> None:
            if key.epoch == epoch:
                key.asking = False
                done(key, round_, ok)

        QuorumRound(
            self.node, self._voter.voters, message, self.node.settings.request_timeout_ms, ended
        )

    def _prepare(self, key: KeyState) -> None:
        key.state = State.PREPARING
        own = self._voter.registers.get(key.name)
        key.epoch = max(key.epoch, key.seen_epoch, own.promised.epoch if own else 0) + 1
        self._round(
            key,
            Prepare(
                key=key.name,
                epoch=key.epoch,
                proposer=self._by,
                list_number=self._voter.list_number,
            ),
            self._prepared,
        )

    def _prepared(self, key: KeyState, round_: QuorumRound, ok: bool) -> None:
        self._note(key, round_)
        if not ok:
            self._lose(key)
            return
        key.value = newest(list(round_.yes.values()))
        if key.value.version == 0:
            key.state = State.OWNED
            self._apply(key, round_)
        else:
            self._accept(key, key.value, self._refinished)

    def _refinished(self, key: KeyState, round_: QuorumRound, ok: bool) -> None:
        self._note(key, round_)
        if not ok:
            self._lose(key)
            return
        key.state = State.OWNED
        self.node.env.log("key-owned", key=key.name, epoch=key.epoch, version=key.value.version)
        self._publish(key)
        if (
            key.name == CONTROL_KEY
            and json.loads(key.value.body)["number"] > self._voter.list_number
        ):
            self._voter.adopt_list(key.value.body, lambda kept: self._lose(key))
            return
        self._apply(key, round_)

    def _confirmed(self, key: KeyState, round_: QuorumRound, ok: bool) -> None:
        self._note(key, round_)
        if ok:
            self._apply(key, round_)
        else:
            self._lose(key)

    def _apply(self, key: KeyState, round_: QuorumRound) -> None:
        """Execute the first operation, now that ownership was confirmed after it was submitted."""
        if not key.ops:
            return
        message = key.ops[0].message
        value = key.value
        if isinstance(message, ReadKey):
            self._finish(key, Outcome.OK, "")
        elif isinstance(message, Renew):
            if value.version == 0 or (
                not message.always and 2 * self._holders(key, round_) > len(self._voter.voters)
            ):
                self._finish(key, Outcome.OK, "")
                return
            self._accept(key, value, self._renewed)
        else:
            self._apply_change(key, message)

    def _apply_change(self, key: KeyState, message: Change | FindChange) -> None:
        value = key.value
        taken = taken_as(value, message.change_id)
        if taken is not None:
            self._finish(key, Outcome.OK, "", taken)
        elif isinstance(message, FindChange) or message.version != value.version:
            self._finish(key, *_not_taken(value, message))
        else:
            fresh = add_change(value, message)
            key.state = State.CHANGING
            self._accept(key, fresh, lambda k, round_, ok: self._changed(k, fresh, round_, ok))

    def _accept(
        self, key: KeyState, value: Value, done: Callable[[KeyState, QuorumRound, bool], None]
    ) -> None:
        self._round(
            key,
            Accept(
                key=key.name,
                epoch=key.epoch,
                proposer=self._by,
                value=encode(value),
                list_number=self._voter.list_number,
            ),
            done,
        )

    def _changed(self, key: KeyState, fresh: Value, round_: QuorumRound, ok: bool) -> None:
        self._note(key, round_)
        if not ok:
            self._lose(key)
            return
        key.state = State.OWNED
        key.value = fresh
        self.node.env.log(
            "key-changed",
            key=key.name,
            epoch=key.epoch,
            version=fresh.version,
            change=key.ops[0].message.change_id if key.ops else "",
        )
        self._publish(key)
        self._finish(key, Outcome.OK, "", fresh.version)

    def _renewed(self, key: KeyState, round_: QuorumRound, ok: bool) -> None:
        self._note(key, round_)
        if ok:
            self._finish(key, Outcome.OK, "")
        else:
            self._lose(key)

    def _lose(self, key: KeyState) -> None:
        """Give up ownership after a refusal or a timeout.

        What the last round achieved is found out by preparing again shortly.
        """
        if key.state is not State.UNOWNED:
            self.node.env.log("key-lost", key=key.name, epoch=key.epoch, seen=key.seen_epoch)
        key.state = State.UNOWNED

    def _note(self, key: KeyState, round_: QuorumRound) -> None:
        for vote in round_.replies.values():
            key.seen_epoch = max(key.seen_epoch, vote.promised_epoch)
            if vote.list_body and json.loads(vote.list_body)["number"] > self._voter.list_number:
                self._voter.adopt_list(vote.list_body, lambda ok: None)
            elif vote.reason == "behind":
                address = self._voter.voters.get(vote.identity)
                if address:
                    self.node.send(
                        address, VoterListDecided(list_body=self._voter.metadata.list_body)
                    )

    def _publish(self, key: KeyState) -> None:
        key.changed_ms = self.node.env.now()
        self._config_feed.publish(key.name, key.value.version, key.value.body)

    def _finish(
        self, key: KeyState, outcome: Outcome, reason: str, version: int | None = None
    ) -> None:
        self._answer(key, outcome, reason, version)
        if key.ops:
            self._next(key)

    def _answer(
        self, key: KeyState, outcome: Outcome, reason: str, version: int | None = None
    ) -> None:
        op = key.ops.pop(0)
        value = key.value or blank_value()
        known = outcome in (Outcome.OK, Outcome.LOST)
        receipt = ChangeResult(
            outcome=outcome,
            version=(version or value.version) if known else 0,
            body=value.body if known else "",
            reason=reason,
        )
        if (
            outcome == Outcome.OK
            and isinstance(op.message, (Change, FindChange))
            and key.name in CONFIRMED_KEYS
        ):
            self._confirmations.wait(key.name, receipt, key.changed_ms, op.done)
        else:
            op.done(receipt)

    def tick(self) -> None:
        """Check confirmations and retries, and prepare unowned keys again at random."""
        self._confirmations.check()
        self._relay.tick()
        for key in self._keys.values():
            if key.ops and key.state is State.UNOWNED and self.node.env.rng.random() < 0.5:
                self._next(key)

    def resumed(self, gap_ms: int) -> None:
        """Give up all keys after a pause, and answer queued operations with DOUBT."""
        for key in self._keys.values():
            key.epoch += 1
            key.asking = False
            self._lose(key)
            while key.ops:
                self._answer(key, Outcome.DOUBT, "the owner was frozen")
        self._confirmations.give_up()
