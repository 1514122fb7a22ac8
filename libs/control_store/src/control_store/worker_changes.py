"""The owner's side of the list of workers.

Reports that arrive within worker_list_batch_ms are gathered into one change of the key `workers`.
Workers that are silent at every control node are removed. A drain is acknowledged once the list is
on a majority of disks and the live edges have it, or had edge_confirmation_timeout_ms to learn it.
"""

import json
from collections.abc import Callable, Iterable
from typing import Any

from config_feed import ConfigFeed

from control_store.key_owner import KeyOwner
from control_store.messages import Change, ChangeResult, ReadKey
from control_store.worker_rows import WORKERS_KEY, WorkerReport, apply_reports, empty_list

__all__ = ["Done", "Wait", "WorkerChanges"]

Done = Callable[[str], None]


class Wait:
    """A caller that waits for a drain or an end of a worker to be in force."""

    __slots__ = ("done", "due_ms", "identity")

    def __init__(self, identity: str, due_ms: int, done: Done) -> None:
        self.identity, self.due_ms = identity, due_ms
        self.done: Done | None = done

    def finish(self, outcome: str) -> None:
        """Call `done` with the outcome, at most once."""
        done, self.done = self.done, None
        if done is not None:
            done(outcome)


class WorkerChanges:
    """The list of workers as this node has it, and the owner's changes of it.

    `value` is the list and `number` its version. Times are ms of the node's clock.
    """

    __slots__ = (
        "_busy",
        "_changed_at",
        "_first_ms",
        "_config_feed",
        "_owned_ms",
        "_owner",
        "_reports",
        "_seen_ms",
        "_waits",
        "node",
        "number",
        "value",
    )

    def __init__(self, owner: KeyOwner, config_feed: ConfigFeed) -> None:
        self._owner = owner
        self._config_feed = config_feed
        self.node: Any = None
        self.value: dict[str, Any] = empty_list()
        self.number = 0
        self._owned_ms = -1
        self._seen_ms: dict[str, int] = {}
        self._reports: dict[str, WorkerReport] = {}
        self._first_ms = 0
        self._busy = False
        self._waits: list[Wait] = []
        self._changed_at: dict[str, tuple[int, int]] = {}

    def published(self, key: str, number: int, body: str) -> None:
        """Take a newer version of the list from the config feed."""
        if key == WORKERS_KEY and body:
            self.value, self.number = json.loads(body), number

    def heard(self, identities: Iterable[str], reports: Iterable[WorkerReport]) -> None:
        """Note which workers sent heartbeats to a control node, and gather the reports."""
        now_ms = self.node.env.now()
        for name in identities:
            self._seen_ms[name] = now_ms
        for report in reports:
            self._gather(report)

    def leave(self, report: WorkerReport, done: Done) -> None:
        """Process a drain or an end: `done` gets "ok" once it is in force, or "doubt"."""
        self._gather(report)
        self._waits.append(
            Wait(
                report.identity,
                self.node.env.now() + self.node.settings.control_call_timeout_ms,
                done,
            )
        )

    def _gather(self, report: WorkerReport) -> None:
        now_ms = self.node.env.now()
        if report.state in ("serving", "draining"):
            self._seen_ms[report.identity] = now_ms
        held = self._reports.get(report.identity)
        if not self._reports:
            self._first_ms = now_ms
        if (
            held is None
            or report.state == "gone"
            or (held.state != "gone" and report.seq >= held.seq)
        ):
            self._reports[report.identity] = report

    def _change(self) -> None:
        """Propose all gathered reports as one change; callers are answered once edges have it."""
        reports, self._reports = self._reports, {}
        waits, self._waits = self._waits, []
        self._busy = True
        self._attempt(reports, waits, 0)

    def _attempt(
        self, reports: dict[str, WorkerReport], waits: list[Wait], confirmed_number: int
    ) -> None:
        number = self.number
        value, changed = apply_reports(self.value, reports.values())
        if changed:
            body = json.dumps(value, sort_keys=True)
            self._owner.submit(
                Change(
                    key=WORKERS_KEY,
                    version=number,
                    change_id=self.node.env.token(),
                    body=body,
                    hops=0,
                ),
                lambda receipt: self._changed(reports, waits, changed, receipt),
            )
        elif waits and confirmed_number != number:
            self._reread(reports, waits)
        else:
            self._finish_change(waits)

    def _changed(
        self,
        reports: dict[str, WorkerReport],
        waits: list[Wait],
        changed: list[str],
        receipt: ChangeResult,
    ) -> None:
        if receipt.outcome != "ok":
            self._reread(reports, waits)
            return
        self._config_feed.publish(WORKERS_KEY, receipt.version, receipt.body)
        now_ms = self.node.env.now()
        for name in changed:
            self._changed_at[name] = (receipt.version, now_ms)
        self.node.env.log("workers-changed", version=receipt.version, workers=changed)
        self._finish_change(waits)

    def _reread(self, reports: dict[str, WorkerReport], waits: list[Wait]) -> None:
        def told(receipt: ChangeResult) -> None:
            if receipt.outcome == "ok":
                self._config_feed.publish(WORKERS_KEY, receipt.version, receipt.body)
                self._attempt(reports, waits, receipt.version)
                return
            self._busy = False
            for wait in waits:
                wait.finish("doubt")
            for report in reports.values():
                if report.identity not in self._reports:
                    self._gather(report)

        self._owner.submit(ReadKey(key=WORKERS_KEY, hops=0), told)

    def _finish_change(self, waits: list[Wait]) -> None:
        self._busy = False
        self._waits += waits
        for wait in waits:
            self._changed_at.setdefault(wait.identity, (self.number, self.node.env.now()))
        self._check_waits()

    def _check_waits(self) -> None:
        now_ms, settings = self.node.env.now(), self.node.settings
        for wait in self._waits:
            version, at_ms = self._changed_at.get(wait.identity, (0, 0))
            if (
                version
                and wait.identity not in self._reports
                and (
                    now_ms - at_ms >= settings.edge_confirmation_timeout_ms
                    or self._config_feed.all_confirm(
                        WORKERS_KEY, version, ("edge",), settings.confirmation_timeout_ms
                    )
                )
            ):
                wait.finish("ok")
            elif now_ms >= wait.due_ms:
                wait.finish("doubt")
        self._waits = [wait for wait in self._waits if wait.done is not None]

    def judge_silent(self, now_ms: int) -> None:
        """Remove workers without heartbeats for longer than worker_removal_timeout_ms.

        Done only by a node that has owned the key, running and in contact, for that long itself.
        """
        worker_removal_timeout_ms = self.node.settings.worker_removal_timeout_ms
        if self._owned_ms < 0 or now_ms - self._owned_ms <= worker_removal_timeout_ms:
            return
        for name, row in self.value["workers"].items():
            if (
                now_ms - self._seen_ms.get(name, self._owned_ms) > worker_removal_timeout_ms
                and name not in self._reports
            ):
                self._gather(
                    WorkerReport(
                        identity=name,
                        address=row["address"],
                        zone=row["zone"],
                        label=row["label"],
                        slots=row["slots"],
                        state="silent",
                        seq=row["seq"],
                        models="[]",
                    )
                )

    def forget(self, floor_ms: int) -> None:
        """Drop what is known of workers without heartbeat or change since `floor_ms`."""
        for name in [name for name, at_ms in self._seen_ms.items() if at_ms < floor_ms]:
            del self._seen_ms[name]
        for name in [name for name, (_, at_ms) in self._changed_at.items() if at_ms < floor_ms]:
            del self._changed_at[name]

    def tick(self, owns: bool) -> None:
        """Propose gathered reports that are due; `owns` is whether this node owns the key."""
        now_ms = self.node.env.now()
        if not owns:
            self._owned_ms = -1
            return
        if self._owned_ms < 0:
            self._owned_ms = now_ms
        if (
            self._reports
            and not self._busy
            and now_ms - self._first_ms >= self.node.settings.worker_list_batch_ms
        ):
            self._change()
        self._check_waits()

    def resumed(self) -> None:
        """After a pause of the process, restart the time of ownership and answer with "doubt"."""
        self._owned_ms = -1
        for wait in self._waits:
            wait.finish("doubt")
        self._waits = []
