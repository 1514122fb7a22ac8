"""The list of workers, kept as the control key `workers`: the side of any control node.

Workers send reports to any control node. A report that changes nothing is only noted, and passed to
the key's owner with the others each period. `control_store.worker_changes` is the owner's side.
"""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any, cast

from config_feed import ConfigFeed
from messaging import Component, Message, Node, Origin, decode_as, encode

from control_store.acceptor import Acceptor
from control_store.key_owner import KeyOwner
from control_store.messages import Outcome
from control_store.worker_changes import OutcomeCallback, WaitingCaller, WorkerChanges
from control_store.worker_messages import (
    WorkerHeartbeats,
    WorkerLeft,
    WorkerReport,
    WorkerReportAck,
    WorkerState,
)
from control_store.worker_records import WORKERS_KEY

__all__ = ["WorkerList"]

SEQ_AFTER_END = 1 << 62
LONG_AGO_MS = -1 << 40
ACKNOWLEDGED_PERIODS = 3


class WorkerList(Component):
    """Receives workers' reports at a control node and forwards them to the key's owner.

    `in_contact` returns whether the node is in contact with a majority of the voters.
    """

    __slots__ = (
        "_acceptor",
        "_acknowledged_ms",
        "_callers",
        "_changes",
        "_heartbeat_ms",
        "_in_contact",
        "_last_seq",
        "_owner",
        "_pending",
        "_sent_ms",
    )
    HANDLES = (WorkerHeartbeats, WorkerLeft)

    def __init__(
        self,
        acceptor: Acceptor,
        owner: KeyOwner,
        config_feed: ConfigFeed,
        in_contact: Callable[[], bool],
    ) -> None:
        self._acceptor = acceptor
        self._owner = owner
        self._in_contact = in_contact
        self._changes = WorkerChanges(owner, config_feed)
        # State of every control node, whether it owns the key or not.
        self._heartbeat_ms: dict[str, int] = {}
        self._last_seq: dict[str, int] = {}
        self._pending: dict[str, WorkerReport] = {}
        self._callers: list[WaitingCaller] = []
        self._sent_ms = self._acknowledged_ms = LONG_AGO_MS
        config_feed.watch(self._changes.published)

    def attach(self, node: Node) -> None:
        """Attach the node to this component and to the owner's side."""
        super().attach(node)
        self._changes.node = node

    @property
    def number(self) -> int:
        """The version of the list that this node has."""
        return self._changes.number

    def rows(self) -> dict[str, dict[str, Any]]:
        """Return the list, with the time since each worker's last heartbeat at this node.

        `heard_ms` is in ms, or None if this node has received no heartbeat.
        """
        now_ms = self.node.env.now()
        return {
            identity: {
                **record.to_json(),
                "heard_ms": now_ms - self._heartbeat_ms[identity]
                if identity in self._heartbeat_ms
                else None,
            }
            for identity, record in sorted(self._changes.records.workers.items())
        }

    # -- reports at any control node -----------------------------------------------------------

    def report(self, report: WorkerReport, done: OutcomeCallback) -> None:
        """Process a report that a worker sent itself.

        `done` gets OK, REFUSED (another node should be asked) or DOUBT (outcome unknown).
        """
        identity, now_ms = report.identity, self.node.env.now()
        ended = report.state == WorkerState.GONE
        if not ended and report.seq < self._last_seq.get(identity, 0):
            done(Outcome.OK)
            return
        self._last_seq[identity] = SEQ_AFTER_END if ended else report.seq
        self._heartbeat_ms[identity] = now_ms
        if report.state != WorkerState.SERVING:
            self._leave(report, done)
            return
        if self._may_change_list(report):
            self._pending[identity] = report
            soon_ms = now_ms - self._period_ms() + self.node.settings.worker_list_batch_ms
            self._sent_ms = min(self._sent_ms, soon_ms)
        done(Outcome.OK if self._can_acknowledge() else Outcome.REFUSED)

    def _may_change_list(self, report: WorkerReport) -> bool:
        records = self._changes.records
        if report.identity in records.ended:
            return False
        record = records.workers.get(report.identity)
        return record is None or not record.is_described_by(report)

    def _can_acknowledge(self) -> bool:
        """Whether heartbeats at this node reach the key's owner."""
        if not self._in_contact():
            return False
        since_ms = self.node.env.now() - self._acknowledged_ms
        return self._owns_list() or since_ms <= ACKNOWLEDGED_PERIODS * self._period_ms()

    def _owns_list(self) -> bool:
        return (
            bool(self._acceptor.voters)
            and self._owner.owner_of(WORKERS_KEY) == self._acceptor.identity
        )

    def _owner_address(self) -> str | None:
        return self._acceptor.voters.get(self._owner.owner_of(WORKERS_KEY) or "")

    def _period_ms(self) -> int:
        period_ms: int = self.node.settings.worker_beat_ms // 2
        return period_ms

    def _leave(self, report: WorkerReport, done: OutcomeCallback) -> None:
        """Process a drain or an end, or pass it to the owner; `done` gets the outcome."""
        self._pending.pop(report.identity, None)
        address, timeout_ms = self._owner_address(), self.node.settings.control_call_timeout_ms
        if not self._in_contact() or address is None:
            done(Outcome.REFUSED)
            return
        caller = WaitingCaller(report.identity, self.node.env.now() + timeout_ms, done)
        self._callers.append(caller)
        if self._owns_list():
            self._changes.leave(report, caller.finish)
        else:
            message = WorkerLeft(report=encode(report))
            self.node.request(
                address,
                message,
                timeout_ms,
                lambda reply: caller.finish(Outcome.OK if _is_ok(reply) else Outcome.DOUBT),
            )

    # -- heartbeats to the owner ---------------------------------------------------------------

    def _send_heartbeats(self, now_ms: int) -> None:
        """Pass the period's heartbeats and reports to the owner, which may be this node."""
        last_sent_ms, self._sent_ms = self._sent_ms, now_ms
        oldest_ms = min(last_sent_ms, now_ms - self._period_ms()) - self._period_ms()
        self._forget(now_ms)
        self._drop_applied_reports(now_ms)
        message = WorkerHeartbeats(
            identities=[name for name, at_ms in self._heartbeat_ms.items() if at_ms >= oldest_ms],
            reports=[encode(report) for report in self._pending.values()],
        )
        address = self._owner_address()
        if self._owns_list():
            self._take_heartbeats(message)
            self._changes.report_silent(now_ms)
        elif address is not None:
            self.node.request(
                address,
                message,
                self._period_ms(),
                lambda reply: self._acknowledged(reply, now_ms),
            )

    def _acknowledged(self, reply: Message | None, sent_ms: int) -> None:
        if _is_ok(reply):
            self._acknowledged_ms = max(self._acknowledged_ms, sent_ms)

    def _drop_applied_reports(self, now_ms: int) -> None:
        applied = [name for name, report in self._pending.items() if self._is_done(report, now_ms)]
        for identity in applied:
            del self._pending[identity]

    def _is_done(self, report: WorkerReport, now_ms: int) -> bool:
        """Whether the list has what a report says, or the worker has been silent since."""
        identity, records = report.identity, self._changes.records
        record = records.workers.get(identity)
        listed = record is not None and (record.seq >= report.seq or record.is_described_by(report))
        timeout_ms: int = self.node.settings.worker_removal_timeout_ms
        silent = now_ms - self._heartbeat_ms.get(identity, now_ms) > timeout_ms
        return identity in records.ended or listed or silent

    def _forget(self, now_ms: int) -> None:
        """Drop what is known of workers that have long been silent."""
        settings = self.node.settings
        oldest_ms = now_ms - 2 * settings.resume_ms - settings.worker_removal_timeout_ms
        for identity in [name for name, at_ms in self._heartbeat_ms.items() if at_ms < oldest_ms]:
            del self._heartbeat_ms[identity]
            self._last_seq.pop(identity, None)
            self._pending.pop(identity, None)
        self._changes.forget(oldest_ms)

    # -- the key's owner -----------------------------------------------------------------------

    @singledispatchmethod
    def receive(self, message: Message, origin: Origin) -> None:
        """Process another control node's message about workers."""
        raise TypeError(type(message).__name__)

    @receive.register
    def _(self, message: WorkerHeartbeats, origin: Origin) -> None:
        if self._owns_list():
            self._take_heartbeats(message)
        self.node.reply(origin, WorkerReportAck(ok=self._owns_list()))

    @receive.register
    def _(self, message: WorkerLeft, origin: Origin) -> None:
        if not self._owns_list():
            self.node.reply(origin, WorkerReportAck(ok=False))
            return
        self._changes.leave(
            decode_as(WorkerReport, message.report),
            lambda outcome: self.node.reply(origin, WorkerReportAck(ok=outcome == Outcome.OK)),
        )

    def _take_heartbeats(self, message: WorkerHeartbeats) -> None:
        reports = (decode_as(WorkerReport, report) for report in message.reports)
        self._changes.heard(message.identities, reports)

    # -- timers --------------------------------------------------------------------------------

    def tick(self) -> None:
        """Answer overdue calls with DOUBT, and send the period's message to the key's owner."""
        now_ms = self.node.env.now()
        for caller in self._callers:
            if now_ms >= caller.due_ms:
                caller.finish(Outcome.DOUBT)
        self._callers = [caller for caller in self._callers if caller.done is not None]
        if now_ms - self._sent_ms >= self._period_ms() and self._acceptor.voters:
            self._send_heartbeats(now_ms)
        self._changes.tick(self._owns_list() and self._in_contact())

    def resumed(self, gap_ms: int) -> None:
        """After a pause of the process of `gap_ms`, answer all waiting calls with DOUBT."""
        self._acknowledged_ms = LONG_AGO_MS
        for caller in self._callers:
            caller.finish(Outcome.DOUBT)
        self._callers = []
        self._changes.resumed()


def _is_ok(reply: Message | None) -> bool:
    return reply is not None and cast(WorkerReportAck, reply).ok
