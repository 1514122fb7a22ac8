"""The list of workers, kept as the control key `workers`: the side of any control node.

Workers send reports to any control node. A report that changes nothing is only noted, and passed to
the key's owner with the others each period. `control_store.worker_changes` is the owner's side.
"""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from config_feed import ConfigFeed
from messaging import Component, Message, Origin, decode, encode

from control_store.acceptor import Acceptor
from control_store.key_owner import KeyOwner
from control_store.worker_changes import Done, Wait, WorkerChanges
from control_store.worker_rows import WORKERS_KEY, WorkerReport, same_row

__all__ = ["WorkerList"]

_FINAL = 1 << 62


class WorkerHeartbeats(Message, wire_name="WorkersHeard"):
    """What a control node sends the key's owner each period.

    `identities` are the workers that sent heartbeats since the last message, and `reports` encoded
    `WorkerReport`s that may change the list.
    """

    identities: list[str]
    reports: list[bytes]


class WorkerLeft(Message, wire_name="WorkerLeaves"):
    """Passes a worker's report that it drains or ends, encoded, to the key's owner."""

    report: bytes


class WorkerReportAck(Message, wire_name="WorkerNoted"):
    """Reply to WorkerHeartbeats and WorkerLeft; `ok` if the replying node owns the key."""

    ok: bool


class WorkerList(Component):
    """Receives workers' reports at a control node and forwards them to the key's owner."""

    __slots__ = (
        "_calls",
        "_changes",
        "_heard_ms",
        "_noted_ms",
        "_owner",
        "_pending",
        "_sent_ms",
        "_seqs",
        "_sure",
        "_voter",
    )
    HANDLES = (WorkerHeartbeats, WorkerLeft)

    def __init__(
        self, voter: Acceptor, owner: KeyOwner, config_feed: ConfigFeed, sure: Callable[[], bool]
    ) -> None:
        """Create the part; `sure` returns whether the node is in contact with a majority."""
        self._voter = voter
        self._owner = owner
        self._sure = sure
        self._changes = WorkerChanges(owner, config_feed)
        # State of every control node, whether it owns the key or not.
        self._heard_ms: dict[str, int] = {}
        self._seqs: dict[str, int] = {}
        self._pending: dict[str, WorkerReport] = {}
        self._calls: list[Wait] = []
        self._sent_ms = self._noted_ms = -1 << 40
        config_feed.watch(self._changes.published)

    def attach(self, node: Any) -> None:
        """Attach the node to this part and to the owner's side."""
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
            name: {
                **row,
                "heard_ms": now_ms - self._heard_ms[name] if name in self._heard_ms else None,
            }
            for name, row in sorted(self._changes.value["workers"].items())
        }

    # -- any control node ----------------------------------------------------------------------

    def report(self, report: WorkerReport, done: Done) -> None:
        """Process a report that a worker sent itself.

        `done` gets "ok", "refused" (another node should be asked) or "doubt" (outcome unknown).
        """
        name, now_ms = report.identity, self.node.env.now()
        if report.state != "gone" and report.seq < self._seqs.get(name, 0):
            done("ok")
            return
        self._seqs[name] = report.seq if report.state != "gone" else _FINAL
        self._heard_ms[name] = now_ms
        if report.state != "serving":
            self._leave(report, done)
            return
        row = self._changes.value["workers"].get(name)
        if name not in self._changes.value["ended"] and (row is None or not same_row(row, report)):
            self._pending[name] = report
            self._sent_ms = min(
                self._sent_ms, now_ms - self._period_ms() + self.node.settings.worker_list_batch_ms
            )
        done("ok" if self._in_touch() else "refused")

    def _in_touch(self) -> bool:
        return self._sure() and (
            self._mine() or self.node.env.now() - self._noted_ms <= 3 * self._period_ms()
        )

    def _mine(self) -> bool:
        return (
            bool(self._voter.voters) and self._owner.owner_of(WORKERS_KEY) == self._voter.identity
        )

    def _owner_address(self) -> str | None:
        return self._voter.voters.get(self._owner.owner_of(WORKERS_KEY) or "")

    def _period_ms(self) -> int:
        return self.node.settings.worker_beat_ms // 2

    def _leave(self, report: WorkerReport, done: Done) -> None:
        self._pending.pop(report.identity, None)
        address = self._owner_address()
        if not self._sure() or address is None:
            done("refused")
            return
        wait = Wait(
            report.identity, self.node.env.now() + self.node.settings.control_call_timeout_ms, done
        )
        self._calls.append(wait)
        if self._mine():
            self._changes.leave(report, wait.finish)
        else:
            self.node.request(
                address,
                WorkerLeft(report=encode(report)),
                self.node.settings.control_call_timeout_ms,
                lambda receipt: wait.finish(
                    "ok" if receipt is not None and receipt.ok else "doubt"
                ),
            )

    def _tell(self, now_ms: int) -> None:
        since_ms, self._sent_ms = self._sent_ms, now_ms
        floor_ms = min(since_ms, now_ms - self._period_ms()) - self._period_ms()
        self._forget(now_ms)
        heard = [name for name, at_ms in self._heard_ms.items() if at_ms >= floor_ms]
        for name in [
            name for name, report in self._pending.items() if self._settled(report, now_ms)
        ]:
            del self._pending[name]
        message = WorkerHeartbeats(
            identities=heard, reports=[encode(report) for report in self._pending.values()]
        )
        address = self._owner_address()
        if self._mine():
            self._take_heard(message)
            self._changes.judge_silent(now_ms)
        elif address is not None:
            self.node.request(
                address, message, self._period_ms(), lambda receipt: self._told(receipt, now_ms)
            )

    def _forget(self, now_ms: int) -> None:
        floor_ms = (
            now_ms - 2 * self.node.settings.resume_ms - self.node.settings.worker_removal_timeout_ms
        )
        for name in [name for name, at_ms in self._heard_ms.items() if at_ms < floor_ms]:
            del self._heard_ms[name]
            self._seqs.pop(name, None)
            self._pending.pop(name, None)
        self._changes.forget(floor_ms)

    def _told(self, receipt: Any, now_ms: int) -> None:
        if receipt is not None and receipt.ok:
            self._noted_ms = max(self._noted_ms, now_ms)

    def _settled(self, report: WorkerReport, now_ms: int) -> bool:
        name = report.identity
        row = self._changes.value["workers"].get(name)
        return (
            name in self._changes.value["ended"]
            or (row is not None and (row["seq"] >= report.seq or same_row(row, report)))
            or now_ms - self._heard_ms.get(name, now_ms)
            > self.node.settings.worker_removal_timeout_ms
        )

    # -- the key's owner -----------------------------------------------------------------------

    @singledispatchmethod
    def receive(self, message: Message, origin: Origin) -> None:
        """Process another control node's message about workers."""
        raise TypeError(type(message).__name__)

    @receive.register
    def _(self, message: WorkerHeartbeats, origin: Origin) -> None:
        if self._mine():
            self._take_heard(message)
        self.node.reply(origin, WorkerReportAck(ok=self._mine()))

    @receive.register
    def _(self, message: WorkerLeft, origin: Origin) -> None:
        if not self._mine():
            self.node.reply(origin, WorkerReportAck(ok=False))
            return
        self._changes.leave(
            decode(message.report),
            lambda outcome: self.node.reply(origin, WorkerReportAck(ok=outcome == "ok")),
        )

    def _take_heard(self, message: WorkerHeartbeats) -> None:
        self._changes.heard(message.identities, map(decode, message.reports))

    # -- timers --------------------------------------------------------------------------------

    def tick(self) -> None:
        """Answer overdue calls with "doubt", and send the period's message to the key's owner."""
        now_ms = self.node.env.now()
        for wait in self._calls:
            if now_ms >= wait.due_ms:
                wait.finish("doubt")
        self._calls = [wait for wait in self._calls if wait.done is not None]
        if now_ms - self._sent_ms >= self._period_ms() and self._voter.voters:
            self._tell(now_ms)
        self._changes.tick(self._mine() and self._sure())

    def resumed(self, gap_ms: int) -> None:
        """After a pause of the process, answer all waiting calls with "doubt"."""
        self._noted_ms = -1 << 40
        for wait in self._calls:
            wait.finish("doubt")
        self._calls = []
        self._changes.resumed()
