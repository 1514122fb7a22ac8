"""Recovery of the log under a new epoch.

The steps are: fence the members, wait for n-f answers, fetch, drop duplicates by stamp, order by
stamp, write. Only answers of the highest log epoch count, since a store that missed the last
recovery would bring back records that this recovery left out. Stores of one log epoch hold the same
log to different lengths, so what a store lacks follows the last record that both share, and a store
that reaches no further than what is known already adds nothing. Every step may be interrupted and
run again.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Any

from messaging import Message, decode
from storage import DamageError, DiskFullError

from replicated_log.local_log import LocalLog
from replicated_log.messages import (
    FetchRecords,
    FetchResponse,
    FetchTail,
    Record,
    StartRecovery,
    StartRecoveryResponse,
)

__all__ = ["Recovery", "union"]

Ask = Callable[[str, Message, int, Callable[[Message | None], None]], None]


class _State(StrEnum):
    FENCING = "fencing"
    FETCHING = "fetching"
    WRITING = "writing"
    DONE = "done"
    FAILED = "failed"


def union(copies: list[list[Record]]) -> list[Record]:
    """Return all records of the copies in stamp order, each stamp once."""
    by_stamp: dict[tuple[int, int], Record] = {}
    for records in copies:
        for record in records:
            by_stamp.setdefault(record.stamp, record)
    return [by_stamp[stamp] for stamp in sorted(by_stamp)]


class Recovery:
    """One recovery of the log by the store that is to become its holder.

    `members` are (identity, address) of the members to recover from. `done` gets True once the
    recovered log is on this store's disk under the new epoch, and False if the recovery failed.
    """

    __slots__ = (
        "_answers",
        "_ask",
        "_done",
        "_fenced",
        "_log",
        "_now",
        "_records",
        "_source",
        "_sources",
        "_started_ms",
        "epoch",
        "members",
        "settings",
        "state",
    )

    def __init__(
        self,
        log: LocalLog,
        epoch: int,
        members: list[tuple[str, str]],
        settings: Any,
        ask: Ask,
        now: Callable[[], int],
        done: Callable[[bool], None],
    ) -> None:
        self._log = log
        self.epoch = epoch
        self.members = members
        self.settings = settings
        self._ask, self._done, self._now = ask, done, now
        self._answers: dict[str, StartRecoveryResponse] = {}
        self._fenced = False
        self._records: list[list[Record]] = []
        self._sources: list[tuple[str, str]] = []
        self._source = ""
        self._started_ms = now()
        self.state = _State.FENCING

    def start(self) -> None:
        """Fence this store and ask the other members to do the same.

        Nothing is sent on under the new epoch before this store's own fence is on disk.
        """

        def fenced(ok: bool) -> None:
            if not ok or self._log.meta.fence > self.epoch:
                self._finish(False)
                return
            self._fenced = True
            if any(identity == self._log.identity for identity, _ in self.members):
                self._answers[self._log.identity] = started(self._log, True)
            self._consider_answers()

        self._log.save_metadata(fenced, fence=self.epoch)
        for _, address in [member for member in self.members if member[0] != self._log.identity]:
            self._ask_start(address)

    def _ask_start(self, address: str) -> None:
        def handle_response(message: Message | None) -> None:
            if self.state is not _State.FENCING:
                return
            if isinstance(message, StartRecoveryResponse) and message.ok:
                self._answered(message)
            elif isinstance(message, StartRecoveryResponse) and message.fence > self.epoch:
                self._finish(False)
            elif self._now() - self._started_ms < self.settings.force_ms:
                self._ask_start(address)
            else:
                self._finish(False)

        self._ask(
            address, StartRecovery(epoch=self.epoch), 4 * self.settings.delta_ms, handle_response
        )

    def _answered(self, message: StartRecoveryResponse) -> None:
        names = [identity for identity, _ in self.members]
        if message.identity in names:
            self._answers[message.identity] = message
        self._consider_answers()

    def _consider_answers(self) -> None:
        if (
            self._fenced
            and self.state is _State.FENCING
            and len(self._answers) >= len(self.members) - self.settings.store_faults
        ):
            self._fetch()

    def _fetch(self) -> None:
        self.state = _State.FETCHING
        top = max(answer.log_epoch for answer in self._answers.values())
        self._sources = [
            (identity, address)
            for identity, address in self.members
            if identity in self._answers
            and self._answers[identity].log_epoch == top
            and identity != self._log.identity
        ]
        self._sources.sort(key=lambda source: -self._answers[source[0]].last_seq)
        own = self._answers.get(self._log.identity)
        counts = own is not None and own.log_epoch == top
        self._records.append(list(self._log.records) if counts else self._settled_here())
        self._next_source()

    def _settled_here(self) -> list[Record]:
        """Return the settled records of this store.

        Every later log has them too, so they stand even if this copy doesn't count as an answer.
        """
        return [record for record in self._log.records if record.seq <= self._log.committed_seq]

    def _reach(self) -> int:
        """Return the last sequence number of the log that has been gathered."""
        return max(
            [self._log.committed_seq, *(records[-1].seq for records in self._records if records)]
        )

    def _next_source(self) -> None:
        while self._sources:
            identity, address = self._sources.pop(0)
            if self._answers[identity].last_seq > self._reach():
                self._source = identity
                self._fetch_tail(address)
                return
        self._write()

    def _fetch_tail(self, address: str) -> None:
        """Fetch what follows the last record that both replicas hold.

        The places to compare lie close together near the end of the log and ever further apart
        before.
        """
        log, seqs = self._log, []
        step = 0
        while log.last_seq - step > log.committed_seq:
            seqs.append(log.last_seq - step)
            step = max(1, 2 * step)
        seqs.append(log.committed_seq)
        stamps = [log.stamp_at(seq) or (0, 0) for seq in seqs]

        def fetched(message: Message | None) -> None:
            if self.state is not _State.FETCHING:
                return
            if not isinstance(message, FetchResponse) or not message.ok:
                self._again(lambda: self._fetch_tail(address))
                return
            if message.identity != self._source:
                self._finish(False)  # another disk than the one whose answer was counted
                return
            if not message.snapshot:
                shared = decode(message.records[0]).seq - 1 if message.records else message.last_seq
                self._records.append([record for record in log.records if record.seq <= shared])
            else:
                self._records.append([])
            self._take(address, message, b"")

        self._ask(
            address,
            FetchTail(
                epoch=self.epoch,
                seqs=seqs,
                stamp_epochs=[stamp[0] for stamp in stamps],
                stamps_ms=[stamp[1] for stamp in stamps],
            ),
            2 * self.settings.request_timeout_ms,
            fetched,
        )

    def _again(self, what: Callable[[], None]) -> None:
        if self._now() - self._started_ms > self.settings.force_ms:
            self._finish(False)
        else:
            what()

    def _fetch_from(self, address: str, from_seq: int, got: bytes = b"") -> None:
        def fetched(message: Message | None) -> None:
            if self.state is not _State.FETCHING:
                return
            if not isinstance(message, FetchResponse) or not message.ok:
                self._again(lambda: self._fetch_from(address, from_seq, got))
                return
            if message.identity != self._source:
                self._finish(False)  # another disk than the one whose answer was counted
                return
            self._take(address, message, got, from_seq)

        self._ask(
            address,
            FetchRecords(epoch=self.epoch, from_seq=from_seq, offset=len(got)),
            2 * self.settings.request_timeout_ms,
            fetched,
        )

    def _take(self, address: str, message: FetchResponse, got: bytes, from_seq: int = 1) -> None:
        if message.snapshot:
            data = got + message.snapshot
            if len(data) < message.total:
                self._fetch_from(address, from_seq, data)
            else:
                self._install(address, data)
            return
        records = [decode(data) for data in message.records]
        self._records[-1].extend(records)
        if records and records[-1].seq < message.last_seq:
            self._fetch_from(address, records[-1].seq + 1)
        else:
            self._next_source()

    def _install(self, address: str, data: bytes) -> None:
        """Install the source's snapshot, because the source has trimmed what this store lacks.

        A snapshot covers settled records only, so it may replace what is here.
        """

        def installed(ok: bool) -> None:
            if not ok:
                self._finish(False)
                return
            self._records = [
                [record for record in records if record.seq > self._log.snapshot_seq]
                for records in self._records
            ]
            self._fetch_from(address, self._log.snapshot_seq + 1)

        try:
            self._log.install(data, installed, address, lambda: self.state is _State.FETCHING)
        except (DamageError, IndexError):
            self._finish(False)

    def _write(self) -> None:
        self.state = _State.WRITING
        records = [record for record in union(self._records) if record.seq > self._log.snapshot_seq]
        expected = self._log.snapshot_seq
        for record in records:
            expected += 1
            if record.seq != expected:
                self._finish(False)
                return
        same = self._log.snapshot_seq
        for record in records:
            if self._log.stamp_at(record.seq) != record.stamp:
                break
            same = record.seq
        if same < self._log.committed_seq:
            self._finish(False)
            return
        self._log.truncate_after(same)
        try:
            for record in records[same - self._log.snapshot_seq :]:
                self._log.write(record, True)
        except DiskFullError:
            self._finish(False)
            return
        self._log.ensure_flushed(self._written)

    def _written(self, ok: bool) -> None:
        if not ok:
            self._finish(False)
            return
        self._log.save_metadata(self._finish, log_epoch=self.epoch)

    def unanswered(self) -> list[str]:
        """Return the members that haven't answered, or none once enough have."""
        if self._sources or len(self._answers) >= len(self.members) - self.settings.store_faults:
            return []
        return [identity for identity, _ in self.members if identity not in self._answers]

    def stop(self) -> None:
        """Abandon the recovery; `done` isn't called any more."""
        if self.state not in (_State.DONE, _State.FAILED):
            self.state = _State.FAILED

    def _finish(self, ok: bool) -> None:
        if self.state in (_State.DONE, _State.FAILED):
            return
        self.state = _State.DONE if ok else _State.FAILED
        self._done(ok)


def started(log: LocalLog, ok: bool) -> StartRecoveryResponse:
    """Build this replica's answer to Start."""
    return StartRecoveryResponse(
        identity=log.identity,
        ok=ok,
        fence=log.meta.fence,
        log_epoch=log.meta.log_epoch,
        snapshot_seq=log.snapshot_seq,
        last_seq=log.last_seq,
        count=len(log.records),
    )
