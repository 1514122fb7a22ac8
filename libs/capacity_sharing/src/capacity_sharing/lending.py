"""Lending of whole workers, at a control node.

A loan is decided by a change of the control key `loans`, hence on a majority of the voters' disks,
under a rising epoch. The key's owner carries it through: a worker is lent once every edge that
counts has reported, under the version in force, that nothing of its own runs there; it is recalled
when its lease is over, when live calls need it, or when a lot may miss its deadline. Times run on
the owner's boot clock and start anew at a new owner.
"""

import json
from collections.abc import Callable
from typing import Any

from config_feed import ConfigFeed
from control_store import Change, ChangeResult, KeyOwner, ReadKey
from expression import Error, Result
from membership import Membership
from messaging import Component, Origin

from capacity_sharing.load import EdgeLoad, LiveLoad
from capacity_sharing.rows import (
    LOANS_KEY,
    LoanState,
    drained,
    empty_loans,
    granted,
    recalled,
    returned,
    withdrawn,
    withheld,
)

__all__ = ["LoanOutcome", "NodeLoans"]

_LEND_TIMES = 2.5
_TRIES = 3


class LoanOutcome:
    """The outcome of a request about a loan: `ok`, `refused` with the reason, or `doubt`.

    `row` is the loan as it then stands; None unless the outcome is `ok`.
    """

    __slots__ = ("name", "reason", "row")

    def __init__(self, name: str, reason: str = "", row: dict[str, Any] | None = None) -> None:
        self.name, self.reason, self.row = name, reason, row


Done = Callable[[LoanOutcome], None]
Make = Callable[[dict[str, Any]], Result[dict[str, Any], str]]


class _Call:
    __slots__ = ("done", "due_ms", "make", "tries", "worker")

    def __init__(self, worker: str, make: Make, due_ms: int, done: Done) -> None:
        self.worker, self.make, self.due_ms, self.tries = worker, make, due_ms, _TRIES
        self.done: Done | None = done

    def finish(self, outcome: LoanOutcome) -> None:
        done, self.done = self.done, None
        if done is not None:
            done(outcome)


class NodeLoans(Component):
    """The part of a control node that decides loans and carries them through.

    `tree` gives the profiles in force; `sure` says whether this node hears a majority of the
    voters, `mine` whether the key is this node's duty.
    """

    __slots__ = (
        "_busy",
        "_calls",
        "_config_feed",
        "_load",
        "_neighbours",
        "_noted_ms",
        "_owner",
        "_since",
        "_sure",
        "_tree",
        "_value",
        "counts",
        "mine",
        "number",
    )
    HANDLES = (EdgeLoad,)

    def __init__(
        self,
        owner: KeyOwner,
        neighbours: Membership,
        config_feed: ConfigFeed,
        tree: Callable[[], Any],
        sure: Callable[[], bool],
        mine: Callable[[], bool],
    ) -> None:
        self._owner, self._neighbours, self._config_feed, self._tree = (
            owner,
            neighbours,
            config_feed,
            tree,
        )
        self._sure, self.mine = sure, mine
        self._value, self.number = empty_loans(), 0
        self._since: dict[str, tuple[int, int]] = {}
        self._calls: list[_Call] = []
        self._busy: dict[str, int] = {}
        self._load: LiveLoad | None = None
        self._noted_ms = -1 << 40
        self.counts: dict[str, int] = {}
        config_feed.watch(self._published)

    def attach(self, node: Any) -> None:
        """Join the node and start to watch the live load over its `load_window_ms`."""
        super().attach(node)
        self._load = LiveLoad(
            node.settings.failure_timeout_ms, lambda: self.node.settings.load_window_ms
        )

    def _published(self, key: str, number: int, body: str) -> None:
        if key == LOANS_KEY and body:
            self._value, self.number = json.loads(body), number

    def rows(self) -> dict[str, dict[str, Any]]:
        """Return all loans by worker, as of the last published version of the key."""
        return dict(sorted(self._value["loans"].items()))

    def receive(self, message: EdgeLoad, origin: Origin) -> None:
        """Take an edge's report of its load."""
        self._load.take(origin.sender, message, self.node.env.now())

    # -- orders --------------------------------------------------------------------------------

    def grant(
        self, worker: str, borrower: str, weights: str, lease_ms: int, recall_ms: int, done: Done
    ) -> None:
        """Lend a worker to `borrower` for `lease_ms`, unless the live load needs it.

        `recall_ms` is how long the borrower may take to return it after a recall; `weights`, if not
        empty, are those that it must return with. `done` gets a LoanOutcome.
        """

        def make(value: dict[str, Any]) -> Result[dict[str, Any], str]:
            if why := self._load.why_not(
                worker, self._tree(), withheld(value), self.node.env.now()
            ):
                return Error(why)
            return granted(value, worker, borrower, weights, lease_ms, recall_ms)

        self._decide(worker, make, done)

    def recall(self, worker: str, reason: str, done: Done) -> None:
        """Recall a worker from its borrower; `done` gets a LoanOutcome."""
        self._decide(worker, lambda value: recalled(value, worker, reason), done)

    def hand_back(self, worker: str, loan: int, weights: str, done: Done) -> None:
        """Take a worker back that reports that it is free; `done` gets a LoanOutcome."""
        self._decide(worker, lambda value: returned(value, worker, loan, weights), done)

    def _decide(self, worker: str, make: Make, done: Done) -> None:
        call = _Call(
            worker, make, self.node.env.now() + self.node.settings.control_call_timeout_ms * 2, done
        )
        if not self._sure():
            call.finish(LoanOutcome("doubt", "this node hears no majority of the voters"))
            return
        self._calls.append(call)
        self._read(call)

    def _read(self, call: _Call) -> None:
        self._owner.submit(
            ReadKey(key=LOANS_KEY, hops=0), lambda receipt: self._have_read(call, receipt)
        )

    def _have_read(self, call: _Call, receipt: ChangeResult) -> None:
        if call.done is None:
            return
        if receipt.outcome != "ok":
            call.finish(LoanOutcome("doubt", receipt.reason))
            return
        made = call.make(json.loads(receipt.body) if receipt.body else empty_loans())
        if made.is_error():
            call.finish(LoanOutcome("refused", made.error))
            return
        self._owner.submit(
            Change(
                key=LOANS_KEY,
                version=receipt.version,
                change_id=self.node.env.token(),
                hops=0,
                body=json.dumps(made.ok, sort_keys=True),
            ),
            lambda found: self._changed(call, made.ok, found),
        )

    def _changed(self, call: _Call, value: dict[str, Any], receipt: ChangeResult) -> None:
        if receipt.outcome == "ok":
            row = value["loans"][call.worker]
            self.counts[row["state"]] = self.counts.get(row["state"], 0) + 1
            self.node.env.log(
                "loan-changed",
                worker=call.worker,
                state=row["state"],
                epoch=row["epoch"],
                borrower=row["borrower"],
                reason=row["reason"],
            )
            call.finish(LoanOutcome("ok", row=row))
        elif receipt.outcome == "lost" and call.done is not None and call.tries > 0:
            call.tries -= 1
            self._read(call)
        else:
            call.finish(LoanOutcome("doubt", receipt.reason))

    # -- the key's owner -----------------------------------------------------------------------

    def _must_report(self) -> set[str]:
        """Return the link addresses of all edges that may be serving.

        Those are the edges heard of, and whoever is on the roll and isn't a store.
        """
        settings = self.node.settings
        stores = {
            card.address
            for card in self._neighbours.nodes_in_role("store", settings.removal_timeout_ms)
        }
        log = self._config_feed.value("log") or {}
        stores |= {row["address"] for row in (*log.get("members", ()), *log.get("prev", ()))}
        edges = {
            card.address
            for card in self._neighbours.nodes_in_role("edge", settings.removal_timeout_ms)
        }
        return edges | set(self._config_feed.roll()) - stores

    def _is_drained(self, worker: str) -> bool:
        reports = self._load.reported()
        for link in self._must_report():
            number, workers = reports.get(link, (-1, {}))
            if number < self.number or workers.get(worker, [0, 0, 0, 0, 0, 0])[4]:
                return False
        return True

    def _next(self, worker: str, row: dict[str, Any], held_ms: int) -> Make | None:
        """Return the change that is due for a loan, to be made by the key's owner; or None."""
        epoch = row["epoch"]
        if row["state"] == LoanState.LENDING:
            if self._is_drained(worker):
                return lambda value: drained(value, worker, epoch)
            if held_ms > _LEND_TIMES * self.node.settings.force_ms:
                return lambda value: withdrawn(
                    value, worker, epoch, "edges had calls under way there, or did not answer"
                )
        if row["state"] not in (LoanState.LENDING, LoanState.LENT):
            return None
        if row["state"] == LoanState.LENT and held_ms > row["lease_ms"]:
            return lambda value: recalled(value, worker, "its lease is over", epoch)
        if why := self._load.why_recall(worker, self._tree(), withheld(self._value)):
            return lambda value: recalled(value, worker, why, epoch)
        return None

    def tick(self) -> None:
        """End calls whose time is up; each `heartbeat_ms` record the load and act on due loans."""
        now_ms = self.node.env.now()
        for call in self._calls:
            if now_ms >= call.due_ms:
                call.finish(LoanOutcome("doubt", "no answer in time"))
        self._calls = [call for call in self._calls if call.done is not None]
        if now_ms - self._noted_ms >= self.node.settings.heartbeat_ms:
            self._noted_ms = now_ms
            self._load.note(now_ms)
            self._follow(now_ms)

    def _follow(self, now_ms: int) -> None:
        if not (self.mine() and self._sure()):
            self._since.clear()
            return
        for worker, row in self._value["loans"].items():
            epoch, since_ms = self._since.get(worker, (-1, 0))
            if epoch != row["epoch"]:
                self._since[worker] = (row["epoch"], now_ms)
                continue
            self._warn(worker, row, now_ms - since_ms)
            make = (
                self._next(worker, row, now_ms - since_ms)
                if self._busy.get(worker) != row["epoch"]
                else None
            )
            if make is not None:
                self._busy[worker] = row["epoch"]
                self._decide(
                    worker, make, lambda outcome, worker=worker: self._busy.pop(worker, None)
                )

    def _warn(self, worker: str, row: dict[str, Any], held_ms: int) -> None:
        if (
            row["state"] == LoanState.RECALLED
            and 0 <= held_ms - row["recall_ms"] < self.node.settings.heartbeat_ms
        ):
            self.node.env.log(
                "loan-overdue", "ERROR", worker=worker, borrower=row["borrower"], loan=row["loan"]
            )

    def resumed(self, gap_ms: int) -> None:
        """Forget all times and reports and end open calls in doubt; called after a freeze."""
        self._since.clear()
        self._busy.clear()
        self._load.forget()
        for call in self._calls:
            call.finish(LoanOutcome("doubt", "this node was frozen"))
        self._calls = []
