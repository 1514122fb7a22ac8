"""Changes of the worker list by the owner of the key `workers`.

Reports that arrive within worker_list_batch_ms are combined into one change of the key. Workers
that are silent at every control node are removed. The drain or end of a worker is acknowledged once
the changed list is on the disks of a majority and all live edges have received it, or
edge_confirmation_timeout_ms after the decision.
"""

import json
from collections.abc import Callable, Iterable
from typing import NamedTuple

from config_feed import ConfigFeed
from messaging import Node

from control_store.key_owner import KeyOwner
from control_store.messages import Change, ChangeResult, Outcome, ReadKey
from control_store.worker_messages import WorkerReport, WorkerState
from control_store.worker_records import WORKERS_KEY, WorkerRecords, apply_reports

__all__ = ["OutcomeCallback", "WaitingCaller", "WorkerChanges"]

NOT_OWNED_MS = -1

OutcomeCallback = Callable[[Outcome], None]


class WaitingCaller:
    """A caller that waits until the drain or end of a worker is in force.

    Parameters
    ----------
    identity
        The identity of the worker.
    due_ms
        When the call is finished with DOUBT, in ms on the node's clock.
    done
        Gets the outcome; the attribute is None after that.
    """

    __slots__ = ("done", "due_ms", "identity")

    def __init__(self, identity: str, due_ms: int, done: OutcomeCallback) -> None:
        self.identity = identity
        self.due_ms = due_ms
        self.done: OutcomeCallback | None = done

    def finish(self, outcome: Outcome) -> None:
        """Call `done` with the outcome, at most once."""
        done, self.done = self.done, None
        if done is not None:
            done(outcome)


class _DecidedChange(NamedTuple):
    """The version that last changed a worker, and the time of its decision in ms."""

    version: int
    at_ms: int


class WorkerChanges:
    """A node's copy of the worker list, and its changes if the node owns the key.

    `records`, `version` and `size_bytes` are the list, its version and its stored size. Times
    are in ms on the node's clock.

    Parameters
    ----------
    owner
        Executes operations on control keys.
    config_feed
        Gets the decided versions, and provides the versions that the edges reported.
    """

    __slots__ = (
        "_callers",
        "_change_in_progress",
        "_config_feed",
        "_decided",
        "_first_report_ms",
        "_heartbeat_ms",
        "_owned_since_ms",
        "_owner",
        "_reports",
        "node",
        "records",
        "size_bytes",
        "version",
    )
    node: Node

    def __init__(self, owner: KeyOwner, config_feed: ConfigFeed) -> None:
        self._owner = owner
        self._config_feed = config_feed
        self.records = WorkerRecords()
        self.version = 0
        self.size_bytes = 0
        self._owned_since_ms = NOT_OWNED_MS
        self._heartbeat_ms: dict[str, int] = {}
        self._reports: dict[str, WorkerReport] = {}
        self._first_report_ms = 0
        self._change_in_progress = False
        self._callers: list[WaitingCaller] = []
        self._decided: dict[str, _DecidedChange] = {}

    def on_published(self, key: str, version: int, body: str) -> None:
        """Store a newer version of the list from the config feed."""
        if key == WORKERS_KEY and body:
            self.records, self.version = WorkerRecords.from_json(json.loads(body)), version
            self.size_bytes = len(body)

    def record_heartbeats(self, identities: Iterable[str], reports: Iterable[WorkerReport]) -> None:
        """Record workers that sent heartbeats to a control node, and add reports to the batch."""
        now_ms = self.node.env.now()
        for identity in identities:
            self._heartbeat_ms[identity] = now_ms
        for report in reports:
            self._add_report(report)

    def process_departure(self, report: WorkerReport, done: OutcomeCallback) -> None:
        """Add the report of a draining or ended worker to the batch.

        `done` gets OK once the change is in force, or DOUBT if that is unknown after
        control_call_timeout_ms.
        """
        self._add_report(report)
        due_ms = self.node.env.now() + self.node.settings.control_call_timeout_ms
        self._callers.append(WaitingCaller(report.identity, due_ms, done))

    def _add_report(self, report: WorkerReport) -> None:
        now_ms = self.node.env.now()
        if report.state in (WorkerState.SERVING, WorkerState.DRAINING):
            self._heartbeat_ms[report.identity] = now_ms
        if not self._reports:
            self._first_report_ms = now_ms
        waiting = self._reports.get(report.identity)
        if (
            waiting is None
            or report.state == WorkerState.GONE
            or (waiting.state != WorkerState.GONE and report.seq >= waiting.seq)
        ):
            self._reports[report.identity] = report

    def report_silent(self, now_ms: int) -> None:
        """Report workers as silent after more than worker_removal_timeout_ms without heartbeats.

        For at least that long, this node must have owned the key, been in contact with a majority
        of the voters and run without a pause; otherwise it may have missed heartbeats.
        """
        silent_ms = self.node.settings.worker_removal_timeout_ms
        owned_since_ms = self._owned_since_ms
        if owned_since_ms < 0 or now_ms - owned_since_ms <= silent_ms:
            return
        for identity, record in self.records.workers.items():
            heartbeat_ms = self._heartbeat_ms.get(identity, owned_since_ms)
            if now_ms - heartbeat_ms > silent_ms and identity not in self._reports:
                self._add_report(record.silence_report(identity))

    def _propose_reports(self) -> None:
        """Propose the batch of reports as one change, with the callers that wait for it."""
        reports, self._reports = self._reports, {}
        callers, self._callers = self._callers, []
        self._change_in_progress = True
        self._propose(reports, callers, 0)

    def _propose(
        self,
        reports: dict[str, WorkerReport],
        callers: list[WaitingCaller],
        read_version: int,
    ) -> None:
        """Propose the list with the reports applied, based on this node's copy.

        If the reports change nothing but callers wait, the copy may be outdated. The list is then
        read through a quorum, unless `read_version`, the version just read, is the copy's.
        """
        version = self.version
        records, changed = apply_reports(self.records, reports.values())
        if changed:
            self._owner.submit(
                Change(
                    key=WORKERS_KEY,
                    version=version,
                    change_id=self.node.env.token(),
                    body=json.dumps(records.to_json(), sort_keys=True),
                    hops=0,
                ),
                lambda result: self._on_changed(reports, callers, changed, result),
            )
        elif callers and read_version != version:
            self._read_and_retry(reports, callers)
        else:
            self._finish_change(callers)

    def _on_changed(
        self,
        reports: dict[str, WorkerReport],
        callers: list[WaitingCaller],
        changed: list[str],
        result: ChangeResult,
    ) -> None:
        if result.outcome != Outcome.OK:
            self._read_and_retry(reports, callers)
            return
        self._config_feed.publish(WORKERS_KEY, result.version, result.body)
        decided = _DecidedChange(result.version, self.node.env.now())
        for identity in changed:
            self._decided[identity] = decided
        self.node.env.log("workers-changed", version=result.version, workers=changed)
        self._finish_change(callers)

    def _read_and_retry(
        self, reports: dict[str, WorkerReport], callers: list[WaitingCaller]
    ) -> None:
        """Read the newest list and propose the reports again; abandon the change if that fails."""

        def read(result: ChangeResult) -> None:
            if result.outcome == Outcome.OK:
                self._config_feed.publish(WORKERS_KEY, result.version, result.body)
                self._propose(reports, callers, result.version)
            else:
                self._abandon_change(reports, callers)

        self._owner.submit(ReadKey(key=WORKERS_KEY, hops=0), read)

    def _abandon_change(
        self, reports: dict[str, WorkerReport], callers: list[WaitingCaller]
    ) -> None:
        """Finish the callers with DOUBT, and add the reports to the next batch."""
        self._change_in_progress = False
        for caller in callers:
            caller.finish(Outcome.DOUBT)
        for report in reports.values():
            if report.identity not in self._reports:
                self._add_report(report)

    def _finish_change(self, callers: list[WaitingCaller]) -> None:
        self._change_in_progress = False
        self._callers += callers
        unchanged = _DecidedChange(self.version, self.node.env.now())
        for caller in callers:
            self._decided.setdefault(caller.identity, unchanged)
        self._finish_callers()

    def _finish_callers(self) -> None:
        now_ms = self.node.env.now()
        for caller in self._callers:
            if self._is_in_force(caller.identity, now_ms):
                caller.finish(Outcome.OK)
            elif now_ms >= caller.due_ms:
                caller.finish(Outcome.DOUBT)
        self._callers = [caller for caller in self._callers if caller.done is not None]

    def _is_in_force(self, identity: str, now_ms: int) -> bool:
        """Whether the last change of a worker is decided, and received by all live edges.

        It counts as received after edge_confirmation_timeout_ms. While another report of the worker
        waits for the next change, the result is False.
        """
        settings = self.node.settings
        decided = self._decided.get(identity)
        if decided is None or not decided.version or identity in self._reports:
            return False
        if now_ms - decided.at_ms >= settings.edge_confirmation_timeout_ms:
            return True
        return self._config_feed.all_have(
            WORKERS_KEY, decided.version, ("edge",), settings.confirmation_timeout_ms
        )

    def drop_older_than(self, oldest_ms: int) -> None:
        """Drop times of heartbeats and of changes that are before `oldest_ms`."""
        for identity in [name for name, at_ms in self._heartbeat_ms.items() if at_ms < oldest_ms]:
            del self._heartbeat_ms[identity]
        for identity in [
            name for name, decided in self._decided.items() if decided.at_ms < oldest_ms
        ]:
            del self._decided[identity]

    def tick(self, owns: bool) -> None:
        """Propose the batch of reports when it is due, and finish callers.

        `owns` is set if this node owns the key and is in contact with a majority of the voters.
        """
        now_ms = self.node.env.now()
        if not owns:
            self._owned_since_ms = NOT_OWNED_MS
            return
        if self._owned_since_ms < 0:
            self._owned_since_ms = now_ms
        if (
            self._reports
            and not self._change_in_progress
            and now_ms - self._first_report_ms >= self.node.settings.worker_list_batch_ms
        ):
            self._propose_reports()
        self._finish_callers()

    def resumed(self) -> None:
        """Finish all callers with DOUBT after a pause of the process.

        The time for which this node has owned the key is counted anew.
        """
        self._owned_since_ms = NOT_OWNED_MS
        for caller in self._callers:
            caller.finish(Outcome.DOUBT)
        self._callers = []
