"""The worker list, the value of the control key `workers`, as maintained by every control node.

A worker sends its reports to any control node. Each period the node passes the heartbeats it
received, and the reports that may change the list, to the owner of the key. The owner changes the
list (`control_store.worker_changes`).
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

SEQ_AFTER_END = 1 << 62  # above all sequence numbers: later reports of an ended worker are stale
LONG_AGO_MS = -1 << 40
ACKNOWLEDGED_PERIODS = 3  # periods for which an acknowledgement of heartbeats by the owner counts


class WorkerList(Component):
    """Receives the reports of workers at a control node and forwards them to the key's owner.

    At the owner of the key, it also runs the changes of the list.

    Parameters
    ----------
    acceptor
        Holds the identity of this node and the current voters.
    owner
        Executes operations on control keys.
    config_feed
        Provides the list.
    in_contact
        Returns whether this node is in contact with a majority of the voters.
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
        # These are kept at every control node; only the owner uses the reports in `_changes`.
        self._heartbeat_ms: dict[str, int] = {}
        self._last_seq: dict[str, int] = {}
        self._pending: dict[str, WorkerReport] = {}
        self._callers: list[WaitingCaller] = []
        self._sent_ms = self._acknowledged_ms = LONG_AGO_MS
        config_feed.watch(self._changes.on_published)

    def attach(self, node: Node) -> None:
        """Attach the node to this component and to the changes of the list."""
        super().attach(node)
        self._changes.node = node

    @property
    def version(self) -> int:
        """The version of this node's copy of the list."""
        return self._changes.version

    def rows(self) -> dict[str, dict[str, Any]]:
        """Return the rows of the list by identity, for operators.

        `heard_ms` is the time in ms since the worker's last heartbeat at this node, or None if this
        node has received none.
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

    def report(self, report: WorkerReport, done: OutcomeCallback) -> None:
        """Process a report that a worker sent to this node.

        `done` gets OK, or REFUSED if the worker should report to another node or the list is full.
        For a draining or ended worker OK means that the change is in force, and DOUBT that this is
        unknown, after control_call_timeout_ms or a pause of the process.
        """
        identity, now_ms = report.identity, self.node.env.now()
        ended = report.state == WorkerState.GONE
        if not ended and report.seq < self._last_seq.get(identity, 0):
            done(Outcome.OK)
            return
        if not self._has_room_for(report):
            done(Outcome.REFUSED)
            return
        self._last_seq[identity] = SEQ_AFTER_END if ended else report.seq
        self._heartbeat_ms[identity] = now_ms
        if report.state != WorkerState.SERVING:
            self._process_departure(report, done)
            return
        if self._may_change_list(report):
            self._pending[identity] = report
            soon_ms = now_ms - self._period_ms() + self.node.settings.worker_list_batch_ms
            self._sent_ms = min(self._sent_ms, soon_ms)
        done(Outcome.OK if self._can_acknowledge() else Outcome.REFUSED)

    def _has_room_for(self, report: WorkerReport) -> bool:
        """Whether a report that would be added to the list leaves it within its size.

        Anybody may send reports under any number of names, and every node of the fleet holds the
        list. Workers on the list, and those that drain or end, are not affected.
        """
        if report.state != WorkerState.SERVING or not self._may_change_list(report):
            return True
        pending_bytes = sum(waiting.size_bytes for waiting in self._pending.values())
        size_bytes = self._changes.size_bytes + pending_bytes + report.size_bytes
        return size_bytes <= self.node.settings.max_worker_list_bytes

    def _may_change_list(self, report: WorkerReport) -> bool:
        records = self._changes.records
        if report.identity in records.ended:
            return False
        record = records.workers.get(report.identity)
        return record is None or not record.is_described_by(report)

    def _can_acknowledge(self) -> bool:
        """Whether heartbeats at this node reach the owner of the key, as far as it knows."""
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

    def _process_departure(self, report: WorkerReport, done: OutcomeCallback) -> None:
        """Pass a report of a draining or ended worker to the owner, which may be this node."""
        self._pending.pop(report.identity, None)
        address, timeout_ms = self._owner_address(), self.node.settings.control_call_timeout_ms
        if not self._in_contact() or address is None:
            done(Outcome.REFUSED)
            return
        caller = WaitingCaller(report.identity, self.node.env.now() + timeout_ms, done)
        self._callers.append(caller)
        if self._owns_list():
            self._changes.process_departure(report, caller.finish)
        else:
            message = WorkerLeft(report=encode(report))
            self.node.request(
                address,
                message,
                timeout_ms,
                lambda reply: caller.finish(Outcome.OK if _is_ok(reply) else Outcome.DOUBT),
            )

    def _send_heartbeats(self, now_ms: int) -> None:
        """Pass the heartbeats and reports of the period to the owner, which may be this node."""
        last_sent_ms, self._sent_ms = self._sent_ms, now_ms
        oldest_ms = min(last_sent_ms, now_ms - self._period_ms()) - self._period_ms()
        self._drop_silent_workers(now_ms)
        self._drop_obsolete_reports(now_ms)
        message = WorkerHeartbeats(
            identities=[name for name, at_ms in self._heartbeat_ms.items() if at_ms >= oldest_ms],
            reports=[encode(report) for report in self._pending.values()],
        )
        address = self._owner_address()
        if self._owns_list():
            self._process_heartbeats(message)
            self._changes.report_silent(now_ms)
        elif address is not None:
            self.node.request(
                address,
                message,
                self._period_ms(),
                lambda reply: self._on_acknowledged(reply, now_ms),
            )

    def _on_acknowledged(self, reply: Message | None, sent_ms: int) -> None:
        if _is_ok(reply):
            self._acknowledged_ms = max(self._acknowledged_ms, sent_ms)

    def _drop_obsolete_reports(self, now_ms: int) -> None:
        obsolete = [
            name for name, report in self._pending.items() if self._is_obsolete(report, now_ms)
        ]
        for identity in obsolete:
            del self._pending[identity]

    def _is_obsolete(self, report: WorkerReport, now_ms: int) -> bool:
        """Whether the list reflects a report, or the worker has ended or been silent since."""
        identity, records = report.identity, self._changes.records
        record = records.workers.get(identity)
        listed = record is not None and (record.seq >= report.seq or record.is_described_by(report))
        timeout_ms: int = self.node.settings.worker_removal_timeout_ms
        silent = now_ms - self._heartbeat_ms.get(identity, now_ms) > timeout_ms
        return identity in records.ended or listed or silent

    def _drop_silent_workers(self, now_ms: int) -> None:
        """Drop the state of workers that have long been silent.

        That is, for 2 * resume_ms + worker_removal_timeout_ms.
        """
        settings = self.node.settings
        oldest_ms = now_ms - 2 * settings.resume_ms - settings.worker_removal_timeout_ms
        for identity in [name for name, at_ms in self._heartbeat_ms.items() if at_ms < oldest_ms]:
            del self._heartbeat_ms[identity]
            self._last_seq.pop(identity, None)
            self._pending.pop(identity, None)
        self._changes.drop_older_than(oldest_ms)

    @singledispatchmethod
    def receive(self, message: Message, origin: Origin) -> None:
        """Process a message about workers from another control node."""
        raise TypeError(f"expected WorkerHeartbeats or WorkerLeft, got {type(message).__name__}")

    @receive.register
    def _(self, message: WorkerHeartbeats, origin: Origin) -> None:
        if self._owns_list():
            self._process_heartbeats(message)
        self.node.reply(origin, WorkerReportAck(ok=self._owns_list()))

    @receive.register
    def _(self, message: WorkerLeft, origin: Origin) -> None:
        if not self._owns_list():
            self.node.reply(origin, WorkerReportAck(ok=False))
            return
        self._changes.process_departure(
            decode_as(WorkerReport, message.report),
            lambda outcome: self.node.reply(origin, WorkerReportAck(ok=outcome == Outcome.OK)),
        )

    def _process_heartbeats(self, message: WorkerHeartbeats) -> None:
        reports = (decode_as(WorkerReport, report) for report in message.reports)
        self._changes.record_heartbeats(message.identities, reports)

    def tick(self) -> None:
        """Finish overdue calls with DOUBT, send heartbeats to the owner, and run due changes."""
        now_ms = self.node.env.now()
        for caller in self._callers:
            if now_ms >= caller.due_ms:
                caller.finish(Outcome.DOUBT)
        self._callers = [caller for caller in self._callers if caller.done is not None]
        if now_ms - self._sent_ms >= self._period_ms() and self._acceptor.voters:
            self._send_heartbeats(now_ms)
        self._changes.tick(self._owns_list() and self._in_contact())

    def resumed(self, gap_ms: int) -> None:
        """Finish all waiting calls with DOUBT after the process was paused for `gap_ms`."""
        self._acknowledged_ms = LONG_AGO_MS
        for caller in self._callers:
            caller.finish(Outcome.DOUBT)
        self._callers = []
        self._changes.resumed()


def _is_ok(reply: Message | None) -> bool:
    return reply is not None and cast(WorkerReportAck, reply).ok
