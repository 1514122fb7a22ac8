"""Emptying a store that an operator names. The order is kept in the control key `retired`, by identity and
by name, so that an empty disk under the same name doesn't come back as a spare; the log replaces it by a
spare, and it is done once the decided list of the log's members is without it and the log serves again.
"""

import json
from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import Any

from config_feed import ConfigFeed
from control_store import Change, Changed, Outcome, Owner, ReadKey
from membership import Neighbours
from messaging import Part

__all__ = ["RETIRED_KEY", "Retirement", "RetirementAnswer", "retired_body"]

RETIRED_KEY = "retired"
_LOG_KEY = "log"


class RetirementAnswer(StrEnum):
    """What is told about the emptying of a store: to an order, whether it was taken (OK), is for no machine
    that is known (UNKNOWN) or would leave too few (TOO_FEW); to a question, how far it is. DOUBT is no clear
    answer to either.
    """

    OK = "ok"
    UNKNOWN = "unknown"
    TOO_FEW = "too_few"
    DOUBT = "doubt"
    ROLLING_OUT = "rolling_out"
    FINISHED = "finished"


Done = Callable[[RetirementAnswer], None]


def retired_body(identities: Iterable[str], names: dict[str, str]) -> str:
    return json.dumps({"identities": sorted(identities), "names": names}, sort_keys=True)


class _Call:
    __slots__ = ("done", "due_ms")

    def __init__(self, due_ms: int, done: Done) -> None:
        self.due_ms = due_ms
        self.done: Done | None = done

    def finish(self, outcome: RetirementAnswer) -> None:
        done, self.done = self.done, None
        if done is not None:
            done(outcome)


class Retirement(Part):
    __slots__ = (
        "_busy",
        "_calls",
        "_config_feed",
        "_names",
        "_neighbours",
        "_next_ms",
        "_owner",
        "_since_ms",
        "_sure",
    )

    def __init__(
        self,
        owner: Owner,
        neighbours: Neighbours,
        config_feed: ConfigFeed,
        sure: Callable[[], bool],
    ) -> None:
        self._owner = owner
        self._neighbours = neighbours
        self._config_feed = config_feed
        self._busy = False
        self._sure = sure
        self._names: dict[str, str] = {}
        self._calls: list[_Call] = []
        self._since_ms = self._next_ms = -1

    # -- what operators ask --------------------------------------------------------------------

    def order(self, name: str, done: Done) -> None:
        """ok, unknown, too_few, or doubt; repeating it does no harm."""
        self._with_key(
            RETIRED_KEY, done, lambda call, version, value: self._order(call, name, version, value)
        )

    def state(self, name: str, done: Done) -> None:
        """rolling_out, finished, unknown, or doubt."""

        def have_order(call: _Call, version: int, value: dict[str, Any]) -> None:
            identity = value.get("names", {}).get(name)
            if identity is None:
                call.finish(RetirementAnswer.UNKNOWN)
            else:
                self._read(
                    _LOG_KEY,
                    call,
                    lambda c, _, log: c.finish(
                        self._progress(value["identities"], name, identity, log)
                    ),
                )

        self._with_key(RETIRED_KEY, done, have_order)

    def _progress(
        self, retired: list[str], name: str, identity: str, log: dict[str, Any]
    ) -> RetirementAnswer:
        """While the log recovers, its new members may yet need what the ones before them have."""
        members = {row["identity"] for row in (*log.get("members", ()), *log.get("prev", ()))}
        gone = identity not in members and self._names.get(name, identity) not in members
        serves = log.get("phase") == "serving" and self._neighbours.live(log["holder"])
        return RetirementAnswer.FINISHED if gone and serves else RetirementAnswer.ROLLING_OUT

    # -- the order -----------------------------------------------------------------------------

    def _order(self, call: _Call, name: str, version: int, value: dict[str, Any]) -> None:
        names, retired = dict(value.get("names", {})), set(value.get("identities", ()))
        identity = self._names.get(name)
        if identity is None:
            call.finish(
                RetirementAnswer.OK
                if name in names
                else self._certain(RetirementAnswer.UNKNOWN, self.node.params.gone_ms)
            )
            return
        if identity in retired and names.get(name) == identity:
            call.finish(RetirementAnswer.OK)
            return
        stays = [
            card
            for card in self._neighbours.of_role("store", self.node.params.dead_ms)
            if card.identity != identity and card.identity not in retired
        ]
        if name not in names and len(stays) < self.node.params.store_count:
            call.finish(self._certain(RetirementAnswer.TOO_FEW, self.node.params.dead_ms))
            return
        names[name] = identity
        self.node.env.log("store-retires", "WARNING", name=name, identity=identity)
        self._owner.submit(
            Change(
                key=RETIRED_KEY,
                version=version,
                change_id=self.node.env.token(),
                hops=0,
                body=retired_body(retired | {identity}, names),
            ),
            lambda receipt: self._ordered(call, name, receipt),
        )

    def _certain(self, refusal: RetirementAnswer, after_ms: int) -> RetirementAnswer:
        """The refusal, or doubt from a node that hasn't been up and awake for so long without a break."""
        fresh = self.node.env.now() - self._since_ms < after_ms
        return RetirementAnswer.DOUBT if fresh else refusal

    def _ordered(self, call: _Call, name: str, receipt: Changed) -> None:
        if receipt.outcome == Outcome.OK:
            call.finish(RetirementAnswer.OK)
        elif receipt.outcome == Outcome.LOST and call.done is not None:
            self._read(
                RETIRED_KEY, call, lambda c, version, value: self._order(c, name, version, value)
            )
        else:
            call.finish(RetirementAnswer.DOUBT)

    def _follow(self) -> None:
        """A store that comes back under a retired name with another identity is retired too."""
        if (
            self._busy
            or not self._sure()
            or self._owner.owner_of(RETIRED_KEY) != self._neighbours.identity
        ):
            return
        value = self._config_feed.value(RETIRED_KEY) or {}
        names = value.get("names", {})
        fresh = {
            name: self._names[name]
            for name, identity in names.items()
            if self._names.get(name, identity) != identity
        }
        if not fresh:
            return
        self._busy = True

        def changed(receipt: Changed) -> None:
            self._busy = False

        self._owner.submit(
            Change(
                key=RETIRED_KEY,
                version=self._config_feed.number(RETIRED_KEY),
                change_id=self.node.env.token(),
                hops=0,
                body=retired_body({*value["identities"], *fresh.values()}, {**names, **fresh}),
            ),
            changed,
        )

    # -- reading -------------------------------------------------------------------------------

    def _with_key(self, key: str, done: Done, told: Callable[[_Call, int, dict], None]) -> None:
        call = _Call(self.node.env.now() + self.node.params.answer_ms, done)
        if not self._sure():
            call.finish(RetirementAnswer.DOUBT)
            return
        self._calls.append(call)
        self._read(key, call, told)

    def _read(self, key: str, call: _Call, told: Callable[[_Call, int, dict], None]) -> None:
        def have_read(receipt: Changed) -> None:
            if call.done is None:
                return
            if receipt.outcome != Outcome.OK:
                call.finish(RetirementAnswer.DOUBT)
            else:
                told(call, receipt.version, json.loads(receipt.body) if receipt.body else {})

        self._owner.submit(ReadKey(key=key, hops=0), have_read)

    def woke(self, gap_ms: int) -> None:
        self._since_ms = self.node.env.now()

    def tick(self) -> None:
        now_ms = self.node.env.now()
        if self._since_ms < 0 or not self._sure():
            self._since_ms = now_ms
        if now_ms >= self._next_ms:
            self._next_ms = now_ms + self.node.params.beat_ms
            for card in self._neighbours.of_role("store", self.node.params.dead_ms):
                self._names[card.name] = card.identity
            self._follow()
        for call in self._calls:
            if now_ms >= call.due_ms:
                call.finish(RetirementAnswer.DOUBT)
        self._calls = [call for call in self._calls if call.done is not None]
