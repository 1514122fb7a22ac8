"""Emptying a store that an operator names, so that it can be taken out of service.

The order is kept in the control key `retired`, by identity and by name, so that an empty disk under
the same name does not come back as a spare. The replicated log replaces the store by a spare. The
order is finished once the decided list of the log's members no longer has the store and the log
serves again.
"""

import json
from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import Any

from config_feed import ConfigFeed
from control_store import Change, ChangeResult, KeyOwner, Outcome, ReadKey
from membership import Membership
from messaging import Component

__all__ = ["RETIRED_KEY", "Retirement", "RetirementAnswer", "retired_body"]

RETIRED_KEY = "retired"
_LOG_KEY = "log"


class RetirementAnswer(StrEnum):
    """The answer to an order to empty a store, or to a question about its progress.

    An order was taken (OK), is for an unknown machine (UNKNOWN) or would leave too few stores
    (TOO_FEW). Progress is ROLLING_OUT or FINISHED. DOUBT means that the answer is not known.
    """

    OK = "ok"
    UNKNOWN = "unknown"
    TOO_FEW = "too_few"
    DOUBT = "doubt"
    ROLLING_OUT = "rolling_out"
    FINISHED = "finished"


Done = Callable[[RetirementAnswer], None]


def retired_body(identities: Iterable[str], names: dict[str, str]) -> str:
    """Return the JSON body of the key `retired`; `names` maps node names to identities."""
    return json.dumps({"identities": sorted(identities), "names": names}, sort_keys=True)


class _Call:
    """An operator's call that waits for its answer until `due_ms`."""

    __slots__ = ("done", "due_ms")

    def __init__(self, due_ms: int, done: Done) -> None:
        self.due_ms = due_ms
        self.done: Done | None = done

    def finish(self, outcome: RetirementAnswer) -> None:
        """Call `done` with the answer, at most once."""
        done, self.done = self.done, None
        if done is not None:
            done(outcome)


class Retirement(Component):
    """Takes orders to empty stores at a control node, and reports their progress.

    `sure` returns whether this node is in contact with a majority of the voters.
    """

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
        owner: KeyOwner,
        neighbours: Membership,
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

    # -- operators' calls ----------------------------------------------------------------------

    def order(self, name: str, done: Done) -> None:
        """Order that the store of this name be emptied; idempotent.

        `done` gets OK, UNKNOWN, TOO_FEW or DOUBT within answer_ms.
        """
        self._with_key(
            RETIRED_KEY, done, lambda call, version, value: self._order(call, name, version, value)
        )

    def state(self, name: str, done: Done) -> None:
        """Report the progress of an order by the store's name.

        `done` gets ROLLING_OUT, FINISHED, UNKNOWN or DOUBT within answer_ms.
        """

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
        """Return how far an order is.

        While the log recovers, its new members may still need the records of the previous ones.
        """
        members = {row["identity"] for row in (*log.get("members", ()), *log.get("prev", ()))}
        gone = identity not in members and self._names.get(name, identity) not in members
        serves = log.get("phase") == "serving" and self._neighbours.live(log["holder"])
        return RetirementAnswer.FINISHED if gone and serves else RetirementAnswer.ROLLING_OUT

    # -- carrying out orders -------------------------------------------------------------------

    def _order(self, call: _Call, name: str, version: int, value: dict[str, Any]) -> None:
        names, retired = dict(value.get("names", {})), set(value.get("identities", ()))
        identity = self._names.get(name)
        if identity is None:
            call.finish(
                RetirementAnswer.OK
                if name in names
                else self._certain(RetirementAnswer.UNKNOWN, self.node.settings.gone_ms)
            )
            return
        if identity in retired and names.get(name) == identity:
            call.finish(RetirementAnswer.OK)
            return
        stays = [
            card
            for card in self._neighbours.of_role("store", self.node.settings.dead_ms)
            if card.identity != identity and card.identity not in retired
        ]
        if name not in names and len(stays) < self.node.settings.store_count:
            call.finish(self._certain(RetirementAnswer.TOO_FEW, self.node.settings.dead_ms))
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
        """Return the refusal, or DOUBT unless this node has run without a pause for `after_ms`."""
        fresh = self.node.env.now() - self._since_ms < after_ms
        return RetirementAnswer.DOUBT if fresh else refusal

    def _ordered(self, call: _Call, name: str, receipt: ChangeResult) -> None:
        if receipt.outcome == Outcome.OK:
            call.finish(RetirementAnswer.OK)
        elif receipt.outcome == Outcome.LOST and call.done is not None:
            self._read(
                RETIRED_KEY, call, lambda c, version, value: self._order(c, name, version, value)
            )
        else:
            call.finish(RetirementAnswer.DOUBT)

    def _follow(self) -> None:
        """Retire stores that came back under a retired name with another identity, too."""
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

        def changed(receipt: ChangeResult) -> None:
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

    # -- reading control keys ------------------------------------------------------------------

    def _with_key(self, key: str, done: Done, told: Callable[[_Call, int, dict], None]) -> None:
        call = _Call(self.node.env.now() + self.node.settings.answer_ms, done)
        if not self._sure():
            call.finish(RetirementAnswer.DOUBT)
            return
        self._calls.append(call)
        self._read(key, call, told)

    def _read(self, key: str, call: _Call, told: Callable[[_Call, int, dict], None]) -> None:
        def have_read(receipt: ChangeResult) -> None:
            if call.done is None:
                return
            if receipt.outcome != Outcome.OK:
                call.finish(RetirementAnswer.DOUBT)
            else:
                told(call, receipt.version, json.loads(receipt.body) if receipt.body else {})

        self._owner.submit(ReadKey(key=key, hops=0), have_read)

    def resumed(self, gap_ms: int) -> None:
        """Restart the time that this node has been up without a pause."""
        self._since_ms = self.node.env.now()

    def tick(self) -> None:
        """Note the stores' names, follow retired names, and answer overdue calls with DOUBT."""
        now_ms = self.node.env.now()
        if self._since_ms < 0 or not self._sure():
            self._since_ms = now_ms
        if now_ms >= self._next_ms:
            self._next_ms = now_ms + self.node.settings.beat_ms
            for card in self._neighbours.of_role("store", self.node.settings.dead_ms):
                self._names[card.name] = card.identity
            self._follow()
        for call in self._calls:
            if now_ms >= call.due_ms:
                call.finish(RetirementAnswer.DOUBT)
        self._calls = [call for call in self._calls if call.done is not None]
