"""Lending of whole workers, at a control node.

A loan is decided by a change of the control key `loans`, hence on a majority of the voters' disks,
under a rising epoch. The key's owner carries it through: a worker is lent once every edge that
counts has reported, under the version in force, that nothing of its own runs there; it is recalled
when its lease is over, when live calls need it, or when a batch job may miss its deadline. Times
run on the owner's boot clock and start anew at a new owner.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple, cast

from config_feed import ConfigFeed
from control_store import Change, ChangeResult, KeyOwner, Outcome, ProfileTree, ReadKey
from expression import Error, Result
from membership import Membership
from messaging import Component, Message, Origin

from capacity_sharing.load import EdgeLoad, LiveLoad
from capacity_sharing.loan_table import (
    LOANS_KEY,
    Loan,
    LoanState,
    LoanTable,
    drained,
    granted,
    recalled,
    returned,
    withdrawn,
)
from capacity_sharing.pending_calls import CallState, PendingCall, PendingCalls

__all__ = ["LoanManager", "LoanOutcome", "LoanStatus"]

_DRAIN_FACTOR = 2.5
"""How long a worker may take to be drained, in units of `force_ms`."""

_RETRIES = 3
_CALL_FACTOR = 2
"""How long a call waits for its outcome, in units of `control_call_timeout_ms`."""

_LONG_AGO_MS = -1 << 40


class LoanStatus(StrEnum):
    """What became of a request about a loan; DOUBT means that the change may still be decided."""

    OK = "ok"
    REFUSED = "refused"
    DOUBT = "doubt"


class LoanOutcome:
    """The outcome of a request about a loan, with the reason unless it is OK.

    `loan` is the loan as it then stands; None unless the outcome is OK.
    """

    __slots__ = ("loan", "reason", "status")

    def __init__(self, status: LoanStatus, reason: str = "", loan: Loan | None = None) -> None:
        self.status = status
        self.reason = reason
        self.loan = loan


Done = Callable[[LoanOutcome], None]
MakeTable = Callable[[LoanTable], Result[LoanTable, str]]


class _PendingChange(PendingCall[LoanOutcome]):
    """A change of a worker's loan that waits for its outcome until `due_ms`."""

    __slots__ = ("make", "retries", "worker")

    def __init__(self, worker: str, make: MakeTable, due_ms: int, done: Done) -> None:
        super().__init__(due_ms, done)
        self.worker = worker
        self.make = make
        self.retries = _RETRIES


def _finish_in_doubt(change: _PendingChange, reason: str) -> None:
    change.finish(LoanOutcome(LoanStatus.DOUBT, reason))


class _Observed(NamedTuple):
    """The epoch of a loan, and since when this node has followed the loan in it."""

    epoch: int
    since_ms: int


class LoanManager(Component):
    """The component of a control node that decides loans and carries them through.

    `profiles` gives the profiles in force; `in_contact` returns whether this node hears a majority
    of the voters, `is_owner` whether it owns the key. `number` is the version of the key that was
    last published, and `counts` has how many loans this node has brought into each state.
    """

    __slots__ = (
        "_changing",
        "_config_feed",
        "_in_contact",
        "_load",
        "_measured_ms",
        "_membership",
        "_observed",
        "_owner",
        "_pending",
        "_profiles",
        "_table",
        "counts",
        "is_owner",
        "number",
    )
    HANDLES = (EdgeLoad,)

    _load: LiveLoad

    def __init__(
        self,
        owner: KeyOwner,
        membership: Membership,
        config_feed: ConfigFeed,
        profiles: Callable[[], ProfileTree],
        in_contact: Callable[[], bool],
        is_owner: Callable[[], bool],
    ) -> None:
        self._owner = owner
        self._membership = membership
        self._config_feed = config_feed
        self._profiles = profiles
        self._in_contact = in_contact
        self.is_owner = is_owner
        self._table = LoanTable.from_body("")
        self.number = 0
        self._observed: dict[str, _Observed] = {}
        self._pending: PendingCalls[_PendingChange] = PendingCalls(_finish_in_doubt)
        self._changing: dict[str, int] = {}
        self._measured_ms = _LONG_AGO_MS
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
            self._table, self.number = LoanTable.from_body(body), number

    def rows(self) -> dict[str, dict[str, Any]]:
        """Return the JSON rows of all loans, as of the last published version of the key."""
        return self._table.rows()

    def receive(self, message: Message, origin: Origin) -> None:
        """Take an edge's report of its load."""
        self._load.record_report(origin.sender, cast(EdgeLoad, message), self.node.env.now())

    # -- requests ------------------------------------------------------------------------------

    def grant(
        self, worker: str, borrower: str, weights: str, lease_ms: int, recall_ms: int, done: Done
    ) -> None:
        """Lend a worker to `borrower` for `lease_ms`, unless the live load needs it.

        `recall_ms` is how long the borrower may take to return it after a recall; `weights`, if not
        empty, are those that it must return with. `done` gets a LoanOutcome.
        """

        def make(table: LoanTable) -> Result[LoanTable, str]:
            now_ms = self.node.env.now()
            if reason := self._load.refusal_reason(
                worker, self._profiles(), table.withheld(), now_ms
            ):
                return Error(reason)
            return granted(table, worker, borrower, weights, lease_ms, recall_ms)

        self._change(worker, make, done)

    def recall(self, worker: str, reason: str, done: Done) -> None:
        """Recall a worker from its borrower; `done` gets a LoanOutcome."""
        self._change(worker, lambda table: recalled(table, worker, reason), done)

    def return_worker(self, worker: str, number: int, weights: str, done: Done) -> None:
        """Take a worker back that reports that it is free, with the number of its loan.

        `done` gets a LoanOutcome.
        """
        self._change(worker, lambda table: returned(table, worker, number, weights), done)

    # -- changing the key ----------------------------------------------------------------------

    def _change(self, worker: str, make: MakeTable, done: Done) -> None:
        due_ms = self.node.env.now() + self.node.settings.control_call_timeout_ms * _CALL_FACTOR
        change = _PendingChange(worker, make, due_ms, done)
        if not self._in_contact():
            _finish_in_doubt(change, "this node hears no majority of the voters")
            return
        self._pending.add(change)
        self._read(change)

    def _read(self, change: _PendingChange) -> None:
        self._owner.submit(
            ReadKey(key=LOANS_KEY, hops=0), lambda result: self._have_read(change, result)
        )

    def _have_read(self, change: _PendingChange, result: ChangeResult) -> None:
        if not change.is_open:
            return
        if result.outcome != Outcome.OK:
            _finish_in_doubt(change, result.reason)
            return
        made = change.make(LoanTable.from_body(result.body))
        if made.is_error():
            change.finish(LoanOutcome(LoanStatus.REFUSED, made.error))
            return
        change.state = CallState.PROPOSING
        self._owner.submit(
            Change(
                key=LOANS_KEY,
                version=result.version,
                change_id=self.node.env.token(),
                hops=0,
                body=made.ok.body(),
            ),
            lambda result: self._changed(change, made.ok, result),
        )

    def _changed(self, change: _PendingChange, table: LoanTable, result: ChangeResult) -> None:
        if result.outcome == Outcome.OK:
            loan = table.loans[change.worker]
            self._record_change(change.worker, loan)
            change.finish(LoanOutcome(LoanStatus.OK, loan=loan))
        elif result.outcome == Outcome.LOST and change.is_open and change.retries > 0:
            change.retries -= 1
            change.state = CallState.READING
            self._read(change)
        else:
            _finish_in_doubt(change, result.reason)

    def _record_change(self, worker: str, loan: Loan) -> None:
        state = str(loan.state)
        self.counts[state] = self.counts.get(state, 0) + 1
        self.node.env.log(
            "loan-changed",
            worker=worker,
            state=state,
            epoch=loan.epoch,
            borrower=loan.borrower,
            reason=loan.reason,
        )

    # -- the key's owner -----------------------------------------------------------------------

    def _edge_links(self) -> set[str]:
        """Return the link addresses of all edges that may be serving.

        Those are the edges heard of, and whoever is in the serving set and isn't a store.
        """
        within_ms = self.node.settings.removal_timeout_ms
        stores = {info.address for info in self._membership.nodes_in_role("store", within_ms)}
        log = self._config_feed.value("log") or {}
        stores |= {row["address"] for row in (*log.get("members", ()), *log.get("prev", ()))}
        edges = {info.address for info in self._membership.nodes_in_role("edge", within_ms)}
        return edges | set(self._config_feed.serving_set()) - stores

    def _is_drained(self, worker: str) -> bool:
        return all(self._load.is_drained(worker, link, self.number) for link in self._edge_links())

    def _due_change(self, worker: str, loan: Loan, elapsed_ms: int) -> MakeTable | None:
        """Return the change that is due for a loan, to be made by the key's owner; or None.

        `elapsed_ms` is how long the loan has been in its state.
        """
        epoch = loan.epoch
        if loan.state is LoanState.LENDING:
            if self._is_drained(worker):
                return lambda table: drained(table, worker, epoch)
            if elapsed_ms > _DRAIN_FACTOR * self.node.settings.force_ms:
                return lambda table: withdrawn(
                    table, worker, epoch, "edges had calls under way there, or did not answer"
                )
        if loan.state not in (LoanState.LENDING, LoanState.LENT):
            return None
        if loan.state is LoanState.LENT and elapsed_ms > loan.lease_ms:
            return lambda table: recalled(table, worker, "its lease is over", epoch)
        if reason := self._load.recall_reason(worker, self._profiles(), self._table.withheld()):
            return lambda table: recalled(table, worker, reason, epoch)
        return None

    def _follow(self, now_ms: int) -> None:
        """Carry the loans through, if this node owns the key."""
        if not (self.is_owner() and self._in_contact()):
            self._observed.clear()
            return
        for worker, loan in self._table.loans.items():
            observed = self._observed.get(worker)
            if observed is None or observed.epoch != loan.epoch:
                self._observed[worker] = _Observed(loan.epoch, now_ms)
                continue
            elapsed_ms = now_ms - observed.since_ms
            self._warn_if_overdue(worker, loan, elapsed_ms)
            if self._changing.get(worker) == loan.epoch:
                continue
            make = self._due_change(worker, loan, elapsed_ms)
            if make is not None:
                self._changing[worker] = loan.epoch
                self._change(worker, make, self._follow_up(worker))

    def _follow_up(self, worker: str) -> Done:
        def done(outcome: LoanOutcome) -> None:
            self._changing.pop(worker, None)

        return done

    def _warn_if_overdue(self, worker: str, loan: Loan, elapsed_ms: int) -> None:
        """Log once that a borrower has not returned a worker in time."""
        if loan.state is not LoanState.RECALLED:
            return
        if 0 <= elapsed_ms - loan.recall_ms < self.node.settings.heartbeat_ms:
            self.node.env.log(
                "loan-overdue", "ERROR", worker=worker, borrower=loan.borrower, loan=loan.number
            )

    # -- time ----------------------------------------------------------------------------------

    def tick(self) -> None:
        """End calls whose time is up; each `heartbeat_ms` record the load and act on due loans."""
        now_ms = self.node.env.now()
        self._pending.expire_due(now_ms)
        if now_ms - self._measured_ms >= self.node.settings.heartbeat_ms:
            self._measured_ms = now_ms
            self._load.measure(now_ms)
            self._follow(now_ms)

    def resumed(self, gap_ms: int) -> None:
        """Forget all times and reports and end open calls in doubt; called after a freeze."""
        self._observed.clear()
        self._changing.clear()
        self._load.reset()
        self._pending.expire_all("this node was frozen")
