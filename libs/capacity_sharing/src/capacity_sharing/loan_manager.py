"""Loans of whole workers at a control node.

A loan is the exclusive lease of a whole worker to training rollouts, for a limited time. Each
change of a loan is a change of the control key `loans`: it is decided once it is on the disks of a
majority of the voters, and it raises the epoch.

The node that owns the key makes the changes that are due. It lends a worker once every edge that
may be serving has reported, under the present version of the loans, that it has no requests running
there. It recalls a worker when the lease has expired, when live calls need the worker, or when a
batch job may miss its deadline. Durations are measured on the owner's boot clock and start anew at
a new owner, so a change of owner may lengthen a lease.
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

_DRAIN_TIMEOUT_FACTOR = 2.5
"""Time after which a loan whose worker isn't drained is withdrawn, in units of `force_ms`."""

_MAX_RETRIES = 3
"""How often a change that was lost to another change of the key is tried again."""

_CHANGE_TIMEOUT_FACTOR = 2
"""How long a change waits for its outcome, in units of `control_call_timeout_ms`."""

_NEVER_MS = -1 << 40


class LoanStatus(StrEnum):
    """The outcomes of a request to change a loan.

    - OK: the change was decided.
    - REFUSED: nothing was changed.
    - DOUBT: the outcome is not known; the change may still be decided.
    """

    OK = "ok"
    REFUSED = "refused"
    DOUBT = "doubt"


class LoanOutcome:
    """The outcome of a request to change a loan.

    Attributes
    ----------
    status
        Whether the loan was changed.
    reason
        Why it was not, or why that is not known; empty if the status is OK.
    loan
        The changed loan; None unless the status is OK.
    """

    __slots__ = ("loan", "reason", "status")

    def __init__(self, status: LoanStatus, reason: str = "", loan: Loan | None = None) -> None:
        self.status = status
        self.reason = reason
        self.loan = loan


OutcomeCallback = Callable[[LoanOutcome], None]
TableUpdate = Callable[[LoanTable], Result[LoanTable, str]]
"""Returns the changed table of loans, or the reason why the change is refused."""


class _PendingChange(PendingCall[LoanOutcome]):
    """A change of a worker's loan that waits for its outcome until `due_ms`.

    `update` is applied to each value of the key that the change is based on; `retries` is how often
    the change may still be tried again.
    """

    __slots__ = ("retries", "update", "worker")

    def __init__(
        self, worker: str, update: TableUpdate, due_ms: int, done: OutcomeCallback
    ) -> None:
        super().__init__(due_ms, done)
        self.worker = worker
        self.update = update
        self.retries = _MAX_RETRIES


def _finish_in_doubt(change: _PendingChange, reason: str) -> None:
    change.finish(LoanOutcome(LoanStatus.DOUBT, reason))


class _ObservedEpoch(NamedTuple):
    """The epoch of a loan, and since when this node has observed the loan under it."""

    epoch: int
    since_ms: int


class LoanManager(Component):
    """The component of a control node that changes loans, on request and when a change is due.

    Parameters
    ----------
    owner
        Executes the operations on the key, or forwards them to its owner.
    membership
        Provides the nodes heard of, by role.
    config_feed
        Provides the published versions of the loans, the log's members and the serving set.
    profiles
        Returns the profiles in force.
    in_contact
        Returns whether this node is in contact with a majority of the voters.
    is_owner
        Returns whether this node owns the key.

    Attributes
    ----------
    version
        The last published version of the key that this node has received.
    counts
        How many changes of loans this node has made, by the state after the change.
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
        "version",
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
        self.version = 0
        self._observed: dict[str, _ObservedEpoch] = {}
        self._pending: PendingCalls[_PendingChange] = PendingCalls(_finish_in_doubt)
        # By worker, the epoch of the loan of which a due change is under way.
        self._changing: dict[str, int] = {}
        self._measured_ms = _NEVER_MS
        self.counts: dict[str, int] = {}
        config_feed.watch(self._published)

    def attach(self, node: Any) -> None:
        """Attach the node and measure the live load over windows of `load_window_ms`."""
        super().attach(node)
        self._load = LiveLoad(
            node.settings.failure_timeout_ms, lambda: self.node.settings.load_window_ms
        )

    def _published(self, key: str, version: int, body: str) -> None:
        if key == LOANS_KEY and body:
            self._table, self.version = LoanTable.from_body(body), version

    def rows(self) -> dict[str, dict[str, Any]]:
        """Return the JSON rows of all loans by worker, as of `version` of the key."""
        return self._table.rows()

    def receive(self, message: Message, origin: Origin) -> None:
        """Record an edge's report of its load."""
        self._load.record_report(origin.sender, cast(EdgeLoad, message), self.node.env.now())

    def grant(
        self,
        worker: str,
        borrower: str,
        weights: str,
        lease_ms: int,
        recall_ms: int,
        done: OutcomeCallback,
    ) -> None:
        """Start to lend a worker, unless `LiveLoad.refusal_reason` gives a reason not to.

        Parameters
        ----------
        worker
            Identity of the worker.
        borrower
            Name of the borrower.
        weights
            The weights that the worker must have when it is returned; empty for any.
        lease_ms
            Duration of the loan, after which the worker is recalled.
        recall_ms
            How long the borrower may take to return the worker after a recall; an overdue return is
            logged.
        done
            Gets the outcome; OK means that the worker is being drained.
        """

        def update(table: LoanTable) -> Result[LoanTable, str]:
            now_ms = self.node.env.now()
            if reason := self._load.refusal_reason(
                worker, self._profiles(), table.withheld(), now_ms
            ):
                return Error(reason)
            return granted(table, worker, borrower, weights, lease_ms, recall_ms)

        self._change(worker, update, done)

    def recall(self, worker: str, reason: str, done: OutcomeCallback) -> None:
        """Recall a worker from its borrower, or withdraw the loan if it is not lent yet."""
        self._change(worker, lambda table: recalled(table, worker, reason), done)

    def return_worker(self, worker: str, number: int, weights: str, done: OutcomeCallback) -> None:
        """Let a worker serve again that reports that its borrower has released it.

        Refused unless `number` is that of its loan and `weights` are those that the loan requires.
        """
        self._change(worker, lambda table: returned(table, worker, number, weights), done)

    def _change(self, worker: str, update: TableUpdate, done: OutcomeCallback) -> None:
        """Read the key and propose the updated table; `done` gets the outcome.

        The outcome is DOUBT if it is not known within the time of `_CHANGE_TIMEOUT_FACTOR`.
        """
        due_ms = (
            self.node.env.now()
            + self.node.settings.control_call_timeout_ms * _CHANGE_TIMEOUT_FACTOR
        )
        change = _PendingChange(worker, update, due_ms, done)
        if not self._in_contact():
            _finish_in_doubt(change, "this node hears no majority of the voters")
            return
        self._pending.add(change)
        self._read(change)

    def _read(self, change: _PendingChange) -> None:
        self._owner.submit(
            ReadKey(key=LOANS_KEY, hops=0), lambda result: self._on_read(change, result)
        )

    def _on_read(self, change: _PendingChange, result: ChangeResult) -> None:
        if not change.is_open:
            return
        if result.outcome != Outcome.OK:
            _finish_in_doubt(change, result.reason)
            return
        updated = change.update(LoanTable.from_body(result.body))
        if updated.is_error():
            change.finish(LoanOutcome(LoanStatus.REFUSED, updated.error))
            return
        change.state = CallState.PROPOSING
        self._owner.submit(
            Change(
                key=LOANS_KEY,
                version=result.version,
                change_id=self.node.env.token(),
                hops=0,
                body=updated.ok.body(),
            ),
            lambda result: self._on_proposed(change, updated.ok, result),
        )

    def _on_proposed(self, change: _PendingChange, table: LoanTable, result: ChangeResult) -> None:
        """Finish a change or, if it was lost to another change of the key, try it again.

        A decided change is counted even if its call has ended in the meantime.
        """
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

    def _edge_links(self) -> set[str]:
        """Return the link addresses of all edges that may be serving.

        Those are the edges heard of within `removal_timeout_ms` and the nodes of the serving set
        that are not known as stores.
        """
        within_ms = self.node.settings.removal_timeout_ms
        stores = {info.address for info in self._membership.nodes_in_role("store", within_ms)}
        log = self._config_feed.value("log") or {}
        stores |= {row["address"] for row in (*log.get("members", ()), *log.get("prev", ()))}
        edges = {info.address for info in self._membership.nodes_in_role("edge", within_ms)}
        return edges | set(self._config_feed.serving_set()) - stores

    def _is_drained(self, worker: str) -> bool:
        return all(self._load.is_drained(worker, link, self.version) for link in self._edge_links())

    def _due_change(self, worker: str, loan: Loan, elapsed_ms: int) -> TableUpdate | None:
        """Return the change of a loan that is due, or None if none is.

        `elapsed_ms` is how long this node has observed the loan in its present state.
        """
        epoch = loan.epoch
        if loan.state is LoanState.LENDING:
            if self._is_drained(worker):
                return lambda table: drained(table, worker, epoch)
            if elapsed_ms > _DRAIN_TIMEOUT_FACTOR * self.node.settings.force_ms:
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

    def _advance_loans(self, now_ms: int) -> None:
        """Make the changes that are due, if this node owns the key.

        While a change of a loan is under way, no other one is begun under the same epoch. If
        this node does not own the key or has no contact with a majority of the voters, it drops
        its observations, so that all durations start anew.
        """
        if not (self.is_owner() and self._in_contact()):
            self._observed.clear()
            return
        for worker, loan in self._table.loans.items():
            observed = self._observed.get(worker)
            if observed is None or observed.epoch != loan.epoch:
                self._observed[worker] = _ObservedEpoch(loan.epoch, now_ms)
                continue
            elapsed_ms = now_ms - observed.since_ms
            self._warn_if_overdue(worker, loan, elapsed_ms)
            if self._changing.get(worker) == loan.epoch:
                continue
            update = self._due_change(worker, loan, elapsed_ms)
            if update is not None:
                self._changing[worker] = loan.epoch
                self._change(worker, update, self._on_due_change_finished(worker))

    def _on_due_change_finished(self, worker: str) -> OutcomeCallback:
        def done(outcome: LoanOutcome) -> None:
            self._changing.pop(worker, None)

        return done

    def _warn_if_overdue(self, worker: str, loan: Loan, elapsed_ms: int) -> None:
        """Log that a borrower has not returned a worker within `recall_ms` of its recall.

        This is logged in the first heartbeat interval after that time only.
        """
        if loan.state is not LoanState.RECALLED:
            return
        if 0 <= elapsed_ms - loan.recall_ms < self.node.settings.heartbeat_ms:
            self.node.env.log(
                "loan-overdue", "ERROR", worker=worker, borrower=loan.borrower, loan=loan.number
            )

    def tick(self) -> None:
        """Finish overdue calls; every `heartbeat_ms`, measure the load and make due changes."""
        now_ms = self.node.env.now()
        self._pending.expire_due(now_ms)
        if now_ms - self._measured_ms >= self.node.settings.heartbeat_ms:
            self._measured_ms = now_ms
            self._load.measure(now_ms)
            self._advance_loans(now_ms)

    def resumed(self, gap_ms: int) -> None:
        """Drop observations and load reports, and finish open calls with DOUBT.

        Both are out of date after the process was frozen.
        """
        self._observed.clear()
        self._changing.clear()
        self._load.reset()
        self._pending.expire_all("this node was frozen")
