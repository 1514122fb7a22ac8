"""Founding, and who votes afterwards. The first list needs the vote, on disk, of every one of
control_count blank nodes for the same list. From then on the steward, a duty, keeps the number of
voters: a spare is added for one that is gone or retired, every key is decided anew under the list so
widened, and only then is the other one dropped; so any two lists that follow each other share every
majority, and nothing is left on a disk that no longer votes."""

import json
from typing import Any

from catalogue.messages import Change, Found, Founded, FoundVote, ListKeys, ReadKey, VoterMeta
from catalogue.owner import Owner
from catalogue.rounds import Round
from catalogue.voter import CONTROL_KEY, Voter
from catalogue.worker_rows import WORKERS_KEY
from commons import Neighbours, duty_order, first_live
from gazette import Gazette
from gazette.feed import ROLL_KEY
from vellum import Message, Origin, Part

__all__ = ["Founding"]

RETIRED_KEY = "retired"


class Founding(Part):
    __slots__ = ("_asked", "_busy", "_gazette", "_neighbours", "_next_ms", "_owner", "_started_ms", "_swept_ms", "_voter",
                 "_votes")
    HANDLES = (Found,)

    def __init__(self, voter: Voter, owner: Owner, neighbours: Neighbours, gazette: Gazette) -> None:
        self._voter = voter
        self._owner = owner
        self._neighbours = neighbours
        self._gazette = gazette
        self._asked = ""
        self._votes: set[str] = set()
        self._busy = False
        self._next_ms = 0
        self._swept_ms = -1 << 40
        self._started_ms = -1
        gazette.watch(self._heard)

    def _heard(self, key: str, number: int, body: str) -> None:
        if key == CONTROL_KEY:
            self._voter.take_list(body, lambda ok: None)

    # -- founding ------------------------------------------------------------------------------

    def receive(self, message: Message, origin: Origin) -> None:
        meta = self._voter.meta
        if meta.list_body or meta.found_vote not in ("", message.members):
            self._vote(origin, False)
        elif meta.found_vote == message.members:
            self._vote(origin, True)
        else:
            self._voter.keep_meta(VoterMeta(identity=meta.identity, found_vote=message.members, list_body=""),
                                  lambda ok: self._vote(origin, ok))

    def _vote(self, origin: Origin, ok: bool) -> None:
        self.node.reply(origin, FoundVote(identity=self._voter.identity, ok=ok, list_body=self._voter.meta.list_body))

    def tick(self) -> None:
        now_ms = self.node.env.now()
        if self._started_ms < 0:
            self._started_ms = now_ms
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + self.node.params.beat_ms * 2
        if not self._voter.meta.list_body:
            self._found()
        elif not self._busy:
            self._keep_house()

    def _found(self) -> None:
        cards = self._neighbours.of_role("control", self.node.params.dead_ms)
        known = {card.identity: card.address for card in cards}
        known[self._voter.identity] = self.node.address
        count = self.node.params.control_count
        members = self._voter.meta.found_vote
        if not members:
            if len(known) < count or self._voter.identity != min(known):
                return
            members = json.dumps([{"identity": name, "address": known[name]} for name in sorted(known)[:count]])
        listed = {row["identity"]: row["address"] for row in json.loads(members)}
        if members != self._asked:
            self._asked, self._votes = members, set()

        def voted(vote: Any) -> None:
            if vote is None or members != self._asked:
                return
            if vote.list_body:
                self._voter.take_list(vote.list_body, lambda ok: None)
            elif vote.ok:
                self._votes.add(vote.identity)
                if self._votes == set(listed):
                    body = json.dumps({"number": 1, "voters": json.loads(members)})
                    self.node.env.log("founded", voters=sorted(listed))
                    for address in listed.values():
                        self.node.post(address, Founded(list_body=body))

        for address in listed.values():
            self.node.ask(address, Found(members=members), self.node.params.ask_ms, voted)

    # -- the steward's duty and the sweep ------------------------------------------------------

    def steward(self) -> str | None:
        return first_live(duty_order("steward", self._voter.voters), self._neighbours.live)

    def _keep_house(self) -> None:
        for key in (CONTROL_KEY, "profiles", RETIRED_KEY, "log", ROLL_KEY, WORKERS_KEY):
            if self._gazette.number(key) == 0 and self._owner.owner_of(key) == self._voter.identity:
                self._owner.submit(ReadKey(key=key, hops=9), lambda receipt: None)
        if self.steward() != self._voter.identity:
            self._sweep_own()
            return
        if self._gazette.number(CONTROL_KEY) == 0:
            self._owner.submit(Change(key=CONTROL_KEY, version=0, change_id="founding", hops=0,
                                      body=_canonical(json.loads(self._voter.meta.list_body))), lambda receipt: None)
            return
        following = self._following()
        if following is None:
            self._sweep_own()
        else:
            self._busy = True
            self._sweep(lambda ok: self._change_list(following) if ok else self._idle())

    def _idle(self) -> None:
        self._busy = False

    def _following(self) -> dict[str, Any] | None:
        """The next list of voters, one step from this one, if there is cause for it."""
        node = self.node
        if node.env.now() - self._started_ms < node.params.gone_ms:
            return None
        retired = set((self._gazette.value(RETIRED_KEY) or {}).get("identities", []))
        voters = self._voter.voters
        leaving = [name for name in voters if name in retired or not self._neighbours.live(name, node.params.gone_ms)]
        spares = {card.identity: card.address for card in self._neighbours.of_role("control", node.params.dead_ms)
                  if card.identity not in voters and card.identity not in retired}
        rows = [{"identity": name, "address": address} for name, address in voters.items()]
        number = self._voter.list_number + 1
        if leaving and len(voters) > node.params.control_count:
            gone = [name for name in leaving if name not in retired] or leaving
            return {"number": number, "voters": [row for row in rows if row["identity"] != gone[0]]}
        if spares and (leaving or len(voters) < node.params.control_count) \
                and len(voters) <= node.params.control_count:
            name = min(spares)
            return {"number": number, "voters": [*rows, {"identity": name, "address": spares[name]}]}
        return None

    def _change_list(self, following: dict[str, Any]) -> None:
        if following["number"] != self._voter.list_number + 1:
            self._idle()
            return
        node = self.node
        node.env.log("voters-changing", "WARNING", number=following["number"],
                     voters=[row["identity"] for row in following["voters"]])

        def changed(receipt: Any) -> None:
            self._idle()

        self._owner.submit(Change(key=CONTROL_KEY, version=self._gazette.number(CONTROL_KEY),
                                  change_id=f"voters-{following['number']}-{self._voter.identity}",
                                  body=_canonical(following), hops=0), changed)

    def _sweep_own(self) -> None:
        if self.node.env.now() - self._swept_ms < self.node.params.gone_ms:
            return
        self._swept_ms = self.node.env.now()

        def mine(key: str) -> bool:
            return self._owner.owner_of(key) == self._voter.identity

        self._sweep(lambda ok: None, mine)

    def _sweep(self, done: Any, wanted: Any = lambda key: True) -> None:
        """Every key decided anew under the present list, which also mends copies that are old."""
        number = self._voter.list_number

        def listed(round_: Round, ok: bool) -> None:
            if not ok:
                done(False)
                return
            keys = sorted({key for receipt in round_.yes.values() for key in receipt.keys
                           if wanted(key)})
            self._sweep_next(keys, number, done)

        Round(self.node, self._voter.voters, ListKeys(list_number=number), self.node.params.ask_ms, listed)

    def _sweep_next(self, keys: list[str], number: int, done: Any) -> None:
        if not keys or number != self._voter.list_number:
            done(not keys and number == self._voter.list_number)
            return
        self._owner.renew(keys[0], lambda ok: self._sweep_next(keys[1:], number, done) if ok else done(False))


def _canonical(value: Any) -> str:
    return json.dumps(value, sort_keys=True)
