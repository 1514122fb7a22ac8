"""The list of workers, kept as the control key `workers`. Reports reach any control node; what changes
nothing is only noted, and told to the key's owner with the others each period. The owner makes one change
of all that came in a short while, takes off who is silent everywhere, and answers a drain once the list is
on a majority of disks and the edges heard lately have it, or had their time to take it.
"""

import json
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from gazette import Gazette
from vellum import Blob, Flag, Message, Origin, Part, Text, array_of, decode, encode

from catalogue.messages import Change, Changed, ReadKey
from catalogue.owner import Owner
from catalogue.voter import Voter
from catalogue.worker_rows import WORKERS_KEY, WorkerReport, apply_reports, empty_list, same_row

__all__ = ["WorkerList"]

_FINAL = 1 << 62
Done = Callable[[str], None]


class WorkersHeard(Message):
    """What a control node tells the key's owner: who was heard since it last did, and what may be new."""

    identities: array_of(Text)
    reports: array_of(Blob)


class WorkerLeaves(Message):
    report: Blob


class WorkerNoted(Message):
    ok: Flag


class _Wait:
    __slots__ = ("done", "due_ms", "identity")

    def __init__(self, identity: str, due_ms: int, done: Done) -> None:
        self.identity, self.due_ms = identity, due_ms
        self.done: Done | None = done

    def finish(self, outcome: str) -> None:
        done, self.done = self.done, None
        if done is not None:
            done(outcome)


class WorkerList(Part):
    __slots__ = (
        "_busy",
        "_calls",
        "_changed_at",
        "_first_ms",
        "_gazette",
        "_heard_ms",
        "_list",
        "_list_number",
        "_noted_ms",
        "_owned_ms",
        "_owner",
        "_pending",
        "_reports",
        "_seen_ms",
        "_sent_ms",
        "_seqs",
        "_sure",
        "_voter",
        "_waits",
    )
    HANDLES = (WorkersHeard, WorkerLeaves)

    def __init__(
        self, voter: Voter, owner: Owner, gazette: Gazette, sure: Callable[[], bool]
    ) -> None:
        """`sure` says whether this node hears a majority of the voters."""
        self._voter = voter
        self._owner = owner
        self._gazette = gazette
        self._sure = sure
        self._list: dict[str, Any] = empty_list()
        self._list_number = 0
        # what any node keeps
        self._heard_ms: dict[str, int] = {}
        self._seqs: dict[str, int] = {}
        self._pending: dict[str, WorkerReport] = {}
        self._calls: list[_Wait] = []
        self._sent_ms = self._noted_ms = -1 << 40
        # what the key's owner keeps
        self._owned_ms = -1
        self._seen_ms: dict[str, int] = {}
        self._reports: dict[str, WorkerReport] = {}
        self._first_ms = 0
        self._busy = False
        self._waits: list[_Wait] = []
        self._changed_at: dict[str, tuple[int, int]] = {}
        gazette.watch(self._published)

    def _published(self, key: str, number: int, body: str) -> None:
        if key == WORKERS_KEY and body:
            self._list, self._list_number = json.loads(body), number

    @property
    def number(self) -> int:
        return self._list_number

    def rows(self) -> dict[str, dict[str, Any]]:
        """The list as this node has it, with how long ago each was heard here."""
        now_ms = self.node.env.now()
        return {
            name: {
                **row,
                "heard_ms": now_ms - self._heard_ms[name] if name in self._heard_ms else None,
            }
            for name, row in sorted(self._list["workers"].items())
        }

    # -- any control node ----------------------------------------------------------------------

    def report(self, report: WorkerReport, done: Done) -> None:
        """A worker's own word; `done` is told ok, refused (another node should be asked) or doubt."""
        name, now_ms = report.identity, self.node.env.now()
        if report.state != "gone" and report.seq < self._seqs.get(name, 0):
            done("ok")
            return
        self._seqs[name] = report.seq if report.state != "gone" else _FINAL
        self._heard_ms[name] = now_ms
        if report.state != "serving":
            self._leave(report, done)
            return
        row = self._list["workers"].get(name)
        if name not in self._list["ended"] and (row is None or not same_row(row, report)):
            self._pending[name] = report
            self._sent_ms = min(
                self._sent_ms, now_ms - self._period_ms() + self.node.params.batch_ms
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
        return self.node.params.worker_beat_ms // 2

    def _leave(self, report: WorkerReport, done: Done) -> None:
        self._pending.pop(report.identity, None)
        address = self._owner_address()
        if not self._sure() or address is None:
            done("refused")
            return
        wait = _Wait(report.identity, self.node.env.now() + self.node.params.answer_ms, done)
        self._calls.append(wait)
        if self._mine():
            self._take_leave(report, wait.finish)
        else:
            self.node.ask(
                address,
                WorkerLeaves(report=encode(report)),
                self.node.params.answer_ms,
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
        message = WorkersHeard(
            identities=heard, reports=[encode(report) for report in self._pending.values()]
        )
        address = self._owner_address()
        if self._mine():
            self._take_heard(message)
            self._judge_silent(now_ms)
        elif address is not None:
            self.node.ask(
                address, message, self._period_ms(), lambda receipt: self._told(receipt, now_ms)
            )

    def _forget(self, now_ms: int) -> None:
        floor_ms = now_ms - 2 * self.node.params.resume_ms - self.node.params.silent_ms
        for name in [name for name, at_ms in self._heard_ms.items() if at_ms < floor_ms]:
            del self._heard_ms[name]
            self._seqs.pop(name, None)
            self._pending.pop(name, None)
        for name in [name for name, at_ms in self._seen_ms.items() if at_ms < floor_ms]:
            del self._seen_ms[name]
        for name in [name for name, (_, at_ms) in self._changed_at.items() if at_ms < floor_ms]:
            del self._changed_at[name]

    def _told(self, receipt: Any, now_ms: int) -> None:
        if receipt is not None and receipt.ok:
            self._noted_ms = max(self._noted_ms, now_ms)

    def _settled(self, report: WorkerReport, now_ms: int) -> bool:
        name = report.identity
        row = self._list["workers"].get(name)
        return (
            name in self._list["ended"]
            or (row is not None and (row["seq"] >= report.seq or same_row(row, report)))
            or now_ms - self._heard_ms.get(name, now_ms) > self.node.params.silent_ms
        )

    # -- the key's owner -----------------------------------------------------------------------

    @singledispatchmethod
    def receive(self, message: Message, origin: Origin) -> None:
        raise TypeError(type(message).__name__)

    @receive.register
    def _(self, message: WorkersHeard, origin: Origin) -> None:
        if self._mine():
            self._take_heard(message)
        self.node.reply(origin, WorkerNoted(ok=self._mine()))

    @receive.register
    def _(self, message: WorkerLeaves, origin: Origin) -> None:
        if not self._mine():
            self.node.reply(origin, WorkerNoted(ok=False))
            return
        self._take_leave(
            decode(message.report),
            lambda outcome: self.node.reply(origin, WorkerNoted(ok=outcome == "ok")),
        )

    def _take_heard(self, message: WorkersHeard) -> None:
        now_ms = self.node.env.now()
        for name in message.identities:
            self._seen_ms[name] = now_ms
        for data in message.reports:
            self._gather(decode(data))

    def _take_leave(self, report: WorkerReport, done: Done) -> None:
        self._gather(report)
        self._waits.append(
            _Wait(report.identity, self.node.env.now() + self.node.params.answer_ms, done)
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
        """All that came in a short while as one change; whoever waits is answered when edges have it."""
        reports, self._reports = self._reports, {}
        waits, self._waits = self._waits, []
        self._busy = True
        self._attempt(reports, waits, 0)

    def _attempt(
        self, reports: dict[str, WorkerReport], waits: list[_Wait], confirmed_number: int
    ) -> None:
        number = self._list_number
        value, changed = apply_reports(self._list, reports.values())
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
        waits: list[_Wait],
        changed: list[str],
        receipt: Changed,
    ) -> None:
        if receipt.outcome != "ok":
            self._reread(reports, waits)
            return
        self._gazette.publish(WORKERS_KEY, receipt.version, receipt.body)
        now_ms = self.node.env.now()
        for name in changed:
            self._changed_at[name] = (receipt.version, now_ms)
        self.node.env.log("workers-changed", version=receipt.version, workers=changed)
        self._finish_change(waits)

    def _reread(self, reports: dict[str, WorkerReport], waits: list[_Wait]) -> None:
        def told(receipt: Changed) -> None:
            if receipt.outcome == "ok":
                self._gazette.publish(WORKERS_KEY, receipt.version, receipt.body)
                self._attempt(reports, waits, receipt.version)
                return
            self._busy = False
            for wait in waits:
                wait.finish("doubt")
            for report in reports.values():
                if report.identity not in self._reports:
                    self._gather(report)

        self._owner.submit(ReadKey(key=WORKERS_KEY, hops=0), told)

    def _finish_change(self, waits: list[_Wait]) -> None:
        self._busy = False
        self._waits += waits
        for wait in waits:
            self._changed_at.setdefault(wait.identity, (self._list_number, self.node.env.now()))
        self._check_waits()

    def _check_waits(self) -> None:
        now_ms, params = self.node.env.now(), self.node.params
        for wait in self._waits:
            version, at_ms = self._changed_at.get(wait.identity, (0, 0))
            if (
                version
                and wait.identity not in self._reports
                and (
                    now_ms - at_ms >= params.edges_ms
                    or self._gazette.all_confirm(WORKERS_KEY, version, ("edge",), params.confirm_ms)
                )
            ):
                wait.finish("ok")
            elif now_ms >= wait.due_ms:
                wait.finish("doubt")
        self._waits = [wait for wait in self._waits if wait.done is not None]

    def _judge_silent(self, now_ms: int) -> None:
        """Only by who has owned the key, awake and in touch, for as long as the silence that counts."""
        silent_ms = self.node.params.silent_ms
        if self._owned_ms < 0 or now_ms - self._owned_ms <= silent_ms:
            return
        for name, row in self._list["workers"].items():
            if (
                now_ms - self._seen_ms.get(name, self._owned_ms) > silent_ms
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

    # -- the clock -----------------------------------------------------------------------------

    def tick(self) -> None:
        now_ms = self.node.env.now()
        for wait in self._calls:
            if now_ms >= wait.due_ms:
                wait.finish("doubt")
        self._calls = [wait for wait in self._calls if wait.done is not None]
        if now_ms - self._sent_ms >= self._period_ms() and self._voter.voters:
            self._tell(now_ms)
        if not (self._mine() and self._sure()):
            self._owned_ms = -1
            return
        if self._owned_ms < 0:
            self._owned_ms = now_ms
        if (
            self._reports
            and not self._busy
            and now_ms - self._first_ms >= self.node.params.batch_ms
        ):
            self._change()
        self._check_waits()

    def woke(self, gap_ms: int) -> None:
        self._owned_ms = -1
        self._noted_ms = -1 << 40
        for wait in [*self._calls, *self._waits]:
            wait.finish("doubt")
        self._calls, self._waits = [], []
