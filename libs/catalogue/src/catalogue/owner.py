"""Owning keys. A key's owner is the first live voter in the key's own order; it takes the key over
by preparing a higher epoch on a majority, finishes what it finds there, and from then on accepts
changes under that epoch: each is on a majority of disks before it is answered. An owner that is
refused falls back to preparing, which settles what became of its last change; only when time runs
out before that is the answer doubt. States of a key: unowned, preparing, owned, changing.
"""

import json
from collections.abc import Callable
from enum import StrEnum
from typing import Any

from commons import Neighbours, duty_order, first_live
from gazette import Gazette
from gazette.confirmations import CONFIRMERS
from vellum import Message, Origin, Part, decode, encode

from catalogue.messages import Accept, Change, Changed, Confirm, Founded, Prepare, ReadKey, Value
from catalogue.rounds import Round
from catalogue.voter import CONTROL_KEY, Voter

__all__ = ["Owner", "newest"]

_REMEMBERED_CHANGES = 64
_CONFIRMED_KEYS = ("profiles",)
_RELAY_HOPS = 2
Done = Callable[[Changed], None]


class State(StrEnum):
    UNOWNED = "unowned"
    PREPARING = "preparing"
    OWNED = "owned"
    CHANGING = "changing"


class Renew:
    """Asks that a majority of the present list of voters have a key's newest value under the owner's epoch;
    with `always`, that all be sent it again.
    """

    __slots__ = ("always", "key")

    def __init__(self, key: str, always: bool = False) -> None:
        self.key = key
        self.always = always


class _Op:
    __slots__ = ("done", "due_ms", "message")

    def __init__(self, message: Change | ReadKey | Renew, due_ms: int, done: Done) -> None:
        self.message = message
        self.due_ms = due_ms
        self.done = done


class _Key:
    __slots__ = ("asking", "changed_ms", "epoch", "name", "ops", "seen_epoch", "state", "value")

    def __init__(self, name: str) -> None:
        self.name = name
        self.state = State.UNOWNED
        self.epoch = 0
        self.seen_epoch = 0
        self.changed_ms = 0
        self.asking = False
        self.value: Value | None = None
        self.ops: list[_Op] = []


def newest(votes: list[Any]) -> Value:
    """The value of the highest ballot; one epoch accepts one version after another, so within a
    ballot the highest version.
    """
    held = [
        (vote.accepted_epoch, vote.accepted_by, decode(vote.value)) for vote in votes if vote.value
    ]
    return max(held, key=lambda row: (row[0], row[1], row[2].version))[2] if held else _blank()


def _in_doubt(version: int) -> Changed:
    return Changed(
        outcome="doubt",
        version=0,
        body="",
        reason=f"kept as version {version}, but not known to be in force at most edges and stores",
    )


def _blank() -> Value:
    return Value(version=0, body="", change_ids=[], change_versions=[])


class Owner(Part):
    __slots__ = ("_again", "_by", "_gazette", "_keys", "_neighbours", "_unconfirmed", "_voter")
    HANDLES = (Change, ReadKey)

    def __init__(self, voter: Voter, neighbours: Neighbours, gazette: Gazette) -> None:
        self._voter = voter
        self._neighbours = neighbours
        self._gazette = gazette
        self._by = ""
        self._again: list[tuple[Change | ReadKey, int, Done]] = []
        self._keys: dict[str, _Key] = {}
        self._unconfirmed: list[tuple[str, int, int, Changed, Done]] = []

    def attach(self, node: Any) -> None:
        super().attach(node)
        self._by = f"{self._voter.identity}/{node.env.token()}"

    # -- asking --------------------------------------------------------------------------------

    def receive(self, message: Message, origin: Origin) -> None:
        self.submit(message, lambda receipt: self.node.reply(origin, receipt))

    def submit(self, message: Any, done: Done) -> None:
        """Here, or at the node whose duty the key is. Who asks first asks again after silence, since the
        duty may have moved; a change is known by its id. A reply that never comes is doubt.
        """
        if not self._voter.voters:
            done(Changed(outcome="refused", version=0, body="", reason="not founded"))
            return
        params = self.node.params
        self._try(
            message, message.hops, self.node.env.now() + params.confirm_ms + 3 * params.ask_ms, done
        )

    def _try(self, message: Any, hops: int, due_ms: int, done: Done) -> None:
        params, now_ms = self.node.params, self.node.env.now()

        def answered(receipt: Changed | None) -> None:
            unheard = receipt is None or (receipt.outcome == "doubt" and params.cut_off == "serve")
            if unheard and hops == 0 and self.node.env.now() < due_ms:
                self._again.append((message, due_ms, done))
            else:
                done(
                    receipt
                    or Changed(
                        outcome="doubt", version=0, body="", reason="the key's owner did not answer"
                    )
                )

        message.hops = hops
        duty = self.owner_of(message.key)
        if duty in (None, self._voter.identity) or hops >= _RELAY_HOPS:
            self._enqueue(
                message,
                min(now_ms + params.ask_ms * 2, due_ms)
                if hops == 0
                else now_ms + params.ask_ms * 2,
                answered,
            )
            return
        message.hops += 1
        wait_ms = due_ms - now_ms
        self.node.ask(
            self._voter.voters[duty],
            message,
            min(wait_ms, params.dead_ms) if hops == 0 else wait_ms,
            answered,
        )

    def owner_of(self, concern: str) -> str | None:
        """Who has a duty: the first live voter that itself hears a majority, or the first live one.
        Those heard directly come first: one that others still tell of may not be able to answer here.
        """
        neighbours = self._neighbours
        order = [name for name in duty_order(concern, self._voter.voters) if neighbours.live(name)]
        dead_ms = self.node.params.dead_ms
        direct = [name for name in order if neighbours.heard_itself(name, dead_ms)]
        return (
            first_live(direct, neighbours.hears)
            or first_live(order, neighbours.hears)
            or next(iter(order), None)
        )

    def renew(self, key: str, done: Callable[[bool], None]) -> None:
        self._enqueue(
            Renew(key),
            self.node.env.now() + self.node.params.ask_ms * 2,
            lambda receipt: done(receipt.outcome == "ok"),
        )

    def mend(self, name: str) -> None:
        """Every voter is asked what it has of a key; only if one that answers lacks the newest value is it sent
        to all again. Nobody waits for this.
        """
        key = self._keys.get(name)
        if key is None or key.state is not State.OWNED:
            self.renew(name, lambda ok: None)
            return
        epoch, version = key.epoch, key.value.version

        def heard(round_: Round, ok: bool) -> None:
            if (key.epoch, key.value.version) != (epoch, version) or key.state is not State.OWNED:
                return
            self._note(key, round_)
            if self._holders(key, round_) < len(round_.replies):
                self._enqueue(
                    Renew(name, True),
                    self.node.env.now() + self.node.params.ask_ms * 2,
                    lambda receipt: None,
                )

        Round(
            self.node,
            self._voter.voters,
            Confirm(key=name, epoch=epoch, by=self._by, list_number=self._voter.list_number),
            self.node.params.ask_ms,
            heard,
            True,
        )

    def _holders(self, key: _Key, round_: Round) -> int:
        """How many said in this round that they have the newest value under this owner's epoch."""
        return sum(
            1
            for vote in round_.yes.values()
            if (vote.accepted_epoch, vote.accepted_by) == (key.epoch, self._by)
            and (decode(vote.value).version if vote.value else 0) == key.value.version
        )

    def epochs(self) -> dict[str, dict[str, Any]]:
        return {
            key.name: {
                "state": str(key.state),
                "epoch": key.epoch,
                "owner": self.owner_of(key.name),
            }
            for key in self._keys.values()
        }

    def _enqueue(self, message: Any, due_ms: int, done: Done) -> None:
        key = self._keys.setdefault(message.key, _Key(message.key))
        key.ops.append(_Op(message, due_ms, done))
        if len(key.ops) == 1:
            self._next(key)

    # -- working through a key's operations ----------------------------------------------------

    def _next(self, key: _Key) -> None:
        while key.ops and self.node.env.now() >= key.ops[0].due_ms:
            self._answer(key, "doubt", "no majority of voters answered in time")
        if not key.ops or key.asking:
            return
        if key.state is State.UNOWNED:
            self._prepare(key)
        else:
            self._round(
                key,
                Confirm(
                    key=key.name, epoch=key.epoch, by=self._by, list_number=self._voter.list_number
                ),
                self._confirmed,
            )

    def _round(
        self, key: _Key, message: Message, done: Callable[[_Key, Round, bool], None]
    ) -> None:
        """One at a time for a key: whoever is answered may ask again before the answer is done with."""
        epoch, key.asking = key.epoch, True

        def ended(round_: Round, ok: bool) -> None:
            if key.epoch == epoch:
                key.asking = False
                done(key, round_, ok)

        Round(self.node, self._voter.voters, message, self.node.params.ask_ms, ended)

    def _prepare(self, key: _Key) -> None:
        key.state = State.PREPARING
        own = self._voter.registers.get(key.name)
        key.epoch = max(key.epoch, key.seen_epoch, own.promised[0] if own else 0) + 1
        self._round(
            key,
            Prepare(
                key=key.name, epoch=key.epoch, by=self._by, list_number=self._voter.list_number
            ),
            self._prepared,
        )

    def _prepared(self, key: _Key, round_: Round, ok: bool) -> None:
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

    def _refinished(self, key: _Key, round_: Round, ok: bool) -> None:
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
            self._voter.take_list(key.value.body, lambda kept: self._lose(key))
            return
        self._apply(key, round_)

    def _confirmed(self, key: _Key, round_: Round, ok: bool) -> None:
        self._note(key, round_)
        if ok:
            self._apply(key, round_)
        else:
            self._lose(key)

    def _apply(self, key: _Key, round_: Round) -> None:
        """Owned, and confirmed to be so after the operation was asked."""
        if not key.ops:
            return
        message = key.ops[0].message
        value = key.value
        if isinstance(message, ReadKey):
            self._finish(key, "ok", "")
        elif isinstance(message, Renew):
            if value.version == 0 or (
                not message.always and 2 * self._holders(key, round_) > len(self._voter.voters)
            ):
                self._finish(key, "ok", "")
                return
            self._accept(key, value, self._renewed)
        elif message.change_id in value.change_ids:
            at = value.change_versions[value.change_ids.index(message.change_id)]
            self._finish(key, "ok", "", at)
        elif message.version != value.version:
            self._finish(key, "lost", f"version {message.version} was replaced by {value.version}")
        else:
            fresh = Value(
                version=value.version + 1,
                body=message.body,
                change_ids=[*value.change_ids, message.change_id][-_REMEMBERED_CHANGES:],
                change_versions=[*value.change_versions, value.version + 1][-_REMEMBERED_CHANGES:],
            )
            key.state = State.CHANGING
            self._accept(key, fresh, lambda k, round_, ok: self._changed(k, fresh, round_, ok))

    def _accept(self, key: _Key, value: Value, done: Callable[[_Key, Round, bool], None]) -> None:
        self._round(
            key,
            Accept(
                key=key.name,
                epoch=key.epoch,
                by=self._by,
                value=encode(value),
                list_number=self._voter.list_number,
            ),
            done,
        )

    def _changed(self, key: _Key, fresh: Value, round_: Round, ok: bool) -> None:
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
        self._finish(key, "ok", "", fresh.version)

    def _renewed(self, key: _Key, round_: Round, ok: bool) -> None:
        self._note(key, round_)
        if ok:
            self._finish(key, "ok", "")
        else:
            self._lose(key)

    def _lose(self, key: _Key) -> None:
        """Refused or unheard: what the last round did is found out by preparing again, shortly."""
        if key.state is not State.UNOWNED:
            self.node.env.log("key-lost", key=key.name, epoch=key.epoch, seen=key.seen_epoch)
        key.state = State.UNOWNED

    def _note(self, key: _Key, round_: Round) -> None:
        for vote in round_.replies.values():
            key.seen_epoch = max(key.seen_epoch, vote.promised_epoch)
            if vote.list_body and json.loads(vote.list_body)["number"] > self._voter.list_number:
                self._voter.take_list(vote.list_body, lambda ok: None)
            elif vote.reason == "behind":
                address = self._voter.voters.get(vote.identity)
                if address:
                    self.node.post(address, Founded(list_body=self._voter.meta.list_body))

    def _publish(self, key: _Key) -> None:
        key.changed_ms = self.node.env.now()
        self._gazette.publish(key.name, key.value.version, key.value.body)

    def _finish(self, key: _Key, outcome: str, reason: str, version: int | None = None) -> None:
        self._answer(key, outcome, reason, version)
        if key.ops:
            self._next(key)

    def _answer(self, key: _Key, outcome: str, reason: str, version: int | None = None) -> None:
        op = key.ops.pop(0)
        value = key.value or _blank()
        known = outcome in ("ok", "lost")
        receipt = Changed(
            outcome=outcome,
            version=(version or value.version) if known else 0,
            body=value.body if known else "",
            reason=reason,
        )
        if outcome == "ok" and isinstance(op.message, Change) and key.name in _CONFIRMED_KEYS:
            params = self.node.params
            due_ms = (
                key.changed_ms + params.edges_ms
                if params.cut_off == "serve"
                else self.node.env.now() + params.confirm_ms
            )
            self._unconfirmed.append((key.name, receipt.version, due_ms, receipt, op.done))
            self._check_confirmed()
        else:
            op.done(receipt)

    def _check_confirmed(self) -> None:
        """A version is acknowledged once most of the roll have it, and so do all nodes that live, or
        those that are still without it have had to turn unready. Without most of the roll the other
        side of a cut may still be serving under an older one: then this is doubt. Where the cut-off serve
        there is no roll: who hasn't heard of it in time isn't in touch.
        """
        now_ms = self.node.env.now()
        waiting, self._unconfirmed = self._unconfirmed, []
        for row in waiting:
            name, version, due_ms, receipt, done = row
            params, gazette = self.node.params, self._gazette
            serves = params.cut_off == "serve"
            most = serves or gazette.most_confirm(name, version, params.confirm_ms)
            within_ms = params.dead_ms if serves else params.confirm_ms
            if most and (
                now_ms >= due_ms or gazette.all_confirm(name, version, CONFIRMERS[name], within_ms)
            ):
                done(receipt)
            elif now_ms >= due_ms + 2 * params.ask_ms:
                done(_in_doubt(version))
            else:
                self._unconfirmed.append(row)

    def tick(self) -> None:
        self._check_confirmed()
        again, self._again = self._again, []
        for message, due_ms, done in again:
            self._try(message, 0, due_ms, done)
        for key in self._keys.values():
            if key.ops and key.state is State.UNOWNED and self.node.env.rng.random() < 0.5:
                self._next(key)

    def woke(self, gap_ms: int) -> None:
        for key in self._keys.values():
            key.epoch += 1
            key.asking = False
            self._lose(key)
            while key.ops:
                self._answer(key, "doubt", "the owner was frozen")
        waiting, self._unconfirmed = self._unconfirmed, []
        for _, version, _, _, done in waiting:
            done(_in_doubt(version))
