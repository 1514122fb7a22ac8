"""Bootstrap of the voters, and changes of their list.

The first list needs the durable vote of every one of control_count blank nodes for the same list
or, where no count is configured, of every node at a seed's address on a first start. From then on
the steward, the coordinator of membership changes, proposes the lists that follow (succession.py).
Before each step every key is decided anew under the present list; so the majorities of two
consecutive lists always intersect, and no value is left only on disks that no longer vote.
"""

import json
from typing import Any

from config_feed import ConfigFeed
from config_feed.version_tracker import CONFIRMERS, ROLL_KEY
from membership import Membership
from messaging import Component, Message, Origin

from control_store.acceptor import CONTROL_KEY, Acceptor
from control_store.key_owner import KeyOwner
from control_store.messages import (
    BootstrapRequest,
    BootstrapVote,
    Change,
    ListKeys,
    ReadKey,
    VoterListDecided,
)
from control_store.quorum_round import QuorumRound
from control_store.voter_succession import founding_rows, next_of_all, next_of_count

__all__ = ["Bootstrap"]

RETIRED_KEY = "retired"


class Bootstrap(Component):
    """Bootstraps the list of voters at a blank node, and coordinates the lists that follow."""

    __slots__ = (
        "_asked",
        "_awake_ms",
        "_busy",
        "_config_feed",
        "_neighbours",
        "_next_ms",
        "_owner",
        "_read_ms",
        "_swept_ms",
        "_voter",
        "_votes",
    )
    HANDLES = (BootstrapRequest,)

    def __init__(
        self, voter: Acceptor, owner: KeyOwner, neighbours: Membership, config_feed: ConfigFeed
    ) -> None:
        self._voter = voter
        self._owner = owner
        self._neighbours = neighbours
        self._config_feed = config_feed
        self._asked = ""
        self._votes: set[str] = set()
        self._busy = False
        self._next_ms = 0
        self._swept_ms = -1 << 40
        self._awake_ms = -1
        self._read_ms: dict[str, int] = {}
        config_feed.watch(self._heard)

    def _heard(self, key: str, number: int, body: str) -> None:
        if key == CONTROL_KEY:
            self._voter.adopt_list(body, lambda ok: None)

    # -- bootstrap -----------------------------------------------------------------------------

    def receive(self, message: Message, origin: Origin) -> None:
        """Vote for a proposed first list; the vote is on disk before the reply is sent."""
        meta = self._voter.metadata
        if meta.list_body or meta.bootstrap_vote not in ("", message.members):
            self._vote(origin, False)
        elif meta.bootstrap_vote == message.members:
            self._vote(origin, True)
        elif not self._may_found():
            self._vote(origin, False)
        else:
            self._voter.save_bootstrap_vote(message.members, lambda ok: self._vote(origin, ok))

    def _may_found(self) -> bool:
        """Whether this node may vote for a first list.

        Where no count is configured, a blank disk may also be one that was lost after the
        bootstrap.
        """
        return self.node.settings.control_count > 0 or self.node.settings.first_start

    def _vote(self, origin: Origin, ok: bool) -> None:
        self.node.reply(
            origin,
            BootstrapVote(
                identity=self._voter.identity, ok=ok, list_body=self._voter.metadata.list_body
            ),
        )

    def tick(self) -> None:
        """Bootstrap the list of voters, or maintain it and the keys once there is one."""
        now_ms = self.node.env.now()
        if self._awake_ms < 0:
            self._awake_ms = now_ms
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + self.node.settings.heartbeat_ms * 2
        if not self._voter.metadata.list_body:
            self._found()
        elif not self._busy:
            self._keep_house()

    def resumed(self, gap_ms: int) -> None:
        """After a pause, restart the time awake: others may have sent heartbeats during it."""
        self._awake_ms = self.node.env.now()

    def _found(self) -> None:
        members = self._voter.metadata.bootstrap_vote or self._proposed_members()
        if not members:
            return
        listed = {row["identity"]: row["address"] for row in json.loads(members)}
        if members != self._asked:
            self._asked, self._votes = members, set()

        def voted(vote: Any) -> None:
            if vote is None or members != self._asked:
                return
            if vote.list_body:
                self._voter.adopt_list(vote.list_body, lambda ok: None)
            elif vote.ok:
                self._votes.add(vote.identity)
                if self._votes == set(listed):
                    body = json.dumps({"number": 1, "voters": json.loads(members)})
                    self.node.env.log("founded", voters=sorted(listed))
                    for address in listed.values():
                        self.node.send(address, VoterListDecided(list_body=body))

        for address in listed.values():
            self.node.request(
                address,
                BootstrapRequest(members=members),
                self.node.settings.request_timeout_ms,
                voted,
            )

    def _proposed_members(self) -> str:
        """Return the first voters as JSON if this node is to propose them; otherwise empty."""
        if not self._may_found():
            return ""
        settings = self.node.settings
        cards = [
            *self._neighbours.of_role("control", settings.failure_timeout_ms),
            self._neighbours.card(),
        ]
        if not settings.control_count:
            self._next_ms = self.node.env.now() + settings.heartbeat_ms
        rows = founding_rows(cards, settings.control_count, set(settings.seeds))
        if not rows or rows[0]["identity"] != self._voter.identity:
            return ""
        return json.dumps(rows)

    # -- coordination of membership changes ----------------------------------------------------

    def steward(self) -> str | None:
        """Return the identity of the coordinator of membership changes, or None."""
        return self._owner.owner_of("steward")

    def _keep_house(self) -> None:
        self._read_unknown()
        if self.steward() != self._voter.identity:
            self._sweep_own()
            return
        if self._config_feed.number(CONTROL_KEY) == 0:
            self._owner.submit(
                Change(
                    key=CONTROL_KEY,
                    version=0,
                    change_id="founding",
                    hops=0,
                    body=_canonical(json.loads(self._voter.metadata.list_body)),
                ),
                lambda receipt: None,
            )
            return
        following = self._following()
        if following is None:
            self._sweep_own()
        else:
            self._busy = True
            self._sweep(lambda ok: self._change_list(following) if ok else self._idle())

    def _idle(self) -> None:
        self._busy = False

    def _read_unknown(self) -> None:
        """Read keys of which no value is known.

        This is done once they are owned by this node, and then every removal_timeout_ms.
        """
        now_ms = self.node.env.now()
        keys = (
            CONTROL_KEY,
            *CONFIRMERS,
            RETIRED_KEY,
            "log",
            *(() if self.node.settings.cut_off == "serve" else (ROLL_KEY,)),
        )
        for key in keys:
            if self._owner.owner_of(key) != self._voter.identity:
                self._read_ms.pop(key, None)
            elif (
                self._config_feed.number(key) == 0
                and now_ms - self._read_ms.get(key, -1 << 40)
                > self.node.settings.removal_timeout_ms
            ):
                self._read_ms[key] = now_ms
                self._owner.submit(
                    ReadKey(key=key, hops=9), lambda receipt, key=key: self._was_read(key, receipt)
                )

    def _was_read(self, key: str, receipt: Any) -> None:
        if receipt.outcome != "ok":
            self._read_ms.pop(key, None)

    def _following(self) -> dict[str, Any] | None:
        """Return the next list of voters, one step from the present one, or None without cause."""
        node, neighbours = self.node, self._neighbours
        settings, now_ms = node.settings, node.env.now()
        retired = set((self._config_feed.value(RETIRED_KEY) or {}).get("identities", []))
        listed = json.loads(self._voter.metadata.list_body)
        voters = self._voter.voters
        spares = [
            card
            for card in neighbours.of_role("control", settings.failure_timeout_ms)
            if card.identity not in voters and card.identity not in retired
        ]
        long_awake = now_ms - self._awake_ms >= settings.removal_timeout_ms

        def silent(name: str) -> bool:
            return long_awake and not neighbours.live(name, settings.removal_timeout_ms)

        if settings.control_count:
            return (
                next_of_count(listed, spares, retired, silent, settings.control_count)
                if long_awake
                else None
            )

        def all_heard(card: Any) -> bool:
            since_ms = (
                max(neighbours.first_ms(card.identity), self._awake_ms) + settings.heartbeat_ms
            )
            return all(
                name == self._voter.identity or neighbours.heard_ms(name) >= since_ms
                for name in voters
            )

        def returned(name: str) -> bool | None:
            if neighbours.heard_itself(name, settings.failure_timeout_ms):
                return True
            return False if now_ms - self._awake_ms > settings.failure_timeout_ms else None

        return next_of_all(
            listed,
            spares,
            retired,
            silent,
            lambda card: now_ms - neighbours.first_ms(card.identity) > settings.request_timeout_ms,
            all_heard,
            returned,
        )

    def _change_list(self, following: dict[str, Any]) -> None:
        if following["number"] != self._voter.list_number + 1:
            self._idle()
            return
        node = self.node
        node.env.log(
            "voters-changing",
            "WARNING",
            number=following["number"],
            voters=[row["identity"] for row in following["voters"]],
        )
        body = _canonical(following)

        def changed(receipt: Any) -> None:
            self._idle()
            if (
                receipt.outcome == "ok"
                and json.loads(receipt.body)["number"] == following["number"]
            ):
                self._next_ms = node.env.now() + node.settings.heartbeat_ms // 4
                for row in following["voters"]:
                    node.send(row["address"], VoterListDecided(list_body=receipt.body))

        self._owner.submit(
            Change(
                key=CONTROL_KEY,
                version=self._config_feed.number(CONTROL_KEY),
                change_id=f"voters-{following['number']}-{self._voter.identity}",
                body=body,
                hops=0,
            ),
            changed,
        )

    def _sweep_own(self) -> None:
        """Find and repair outdated replicas of the keys that this node owns."""
        if self.node.env.now() - self._swept_ms < self.node.settings.resume_ms // 2:
            return
        self._swept_ms = self.node.env.now()
        self._listed_keys(
            lambda keys: [
                self._owner.mend(key)
                for key in keys
                if self._owner.owner_of(key) == self._voter.identity
            ],
            lambda: None,
        )

    def _sweep(self, done: Any) -> None:
        """Make sure every key is on a majority of the present list, or decide it anew under it."""
        number = self._voter.list_number
        self._listed_keys(lambda keys: self._renew_all(keys, number, done), lambda: done(False))

    def _listed_keys(self, told: Any, failed: Any) -> None:
        def listed(round_: QuorumRound, ok: bool) -> None:
            if ok:
                told(sorted({key for receipt in round_.yes.values() for key in receipt.keys}))
            else:
                failed()

        QuorumRound(
            self.node,
            self._voter.voters,
            ListKeys(list_number=self._voter.list_number),
            self.node.settings.request_timeout_ms,
            listed,
        )

    def _renew_all(self, keys: list[str], number: int, done: Any) -> None:
        """Renew all keys at once, since with a voter lost each may take a whole round's timeout."""
        left = set(keys)

        def renewed(key: str, ok: bool) -> None:
            if not ok or number != self._voter.list_number:
                if left:
                    left.clear()
                    done(False)
                return
            if key in left:
                left.discard(key)
                if not left:
                    done(True)

        if number != self._voter.list_number or not left:
            done(number == self._voter.list_number)
            return
        for key in keys:
            self._owner.renew(key, lambda ok, key=key: renewed(key, ok))


def _canonical(value: Any) -> str:
    return json.dumps(value, sort_keys=True)
