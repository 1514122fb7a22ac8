"""Recovery of the log under a new epoch.

The steps are: fence the members, wait for n-f responses, fetch the records, drop duplicates by
stamp, order by stamp, write. Only replicas of the highest log epoch among the responses count,
since a store that missed the last recovery would bring back records that that recovery left out.
Replicas of the same log epoch have the same log up to different lengths. So the records that one
lacks follow the last record that both have, and a replica whose log is no longer than what has been
gathered need not be asked. A recovery may be interrupted at any step and run again.
"""

from collections.abc import Callable
from enum import StrEnum

from messaging import Message
from runtime.settings import Settings
from storage import DiskFullError

from replicated_log.configuration import ReplicaAddress
from replicated_log.local_log import LocalLog
from replicated_log.messages import Record, Stamp, StartRecovery, StartRecoveryResponse
from replicated_log.tail_fetch import RequestCallback, TailFetch

__all__ = ["Recovery", "merge_records", "recovery_response"]


class _State(StrEnum):
    FENCING = "fencing"
    FETCHING = "fetching"
    WRITING = "writing"
    DONE = "done"
    FAILED = "failed"


def recovery_response(log: LocalLog, ok: bool) -> StartRecoveryResponse:
    """Build this replica's response to StartRecovery."""
    return StartRecoveryResponse(
        identity=log.identity,
        ok=ok,
        fence=log.metadata.fence,
        log_epoch=log.metadata.log_epoch,
        snapshot_seq=log.snapshot_seq,
        last_seq=log.last_seq,
        count=len(log.records),
    )


def merge_records(replicas: list[list[Record]]) -> list[Record]:
    """Return the records of all replicas in stamp order, without duplicates of a stamp."""
    by_stamp: dict[Stamp, Record] = {}
    for records in replicas:
        for record in records:
            by_stamp.setdefault(record.stamp, record)
    return [by_stamp[stamp] for stamp in sorted(by_stamp)]


class Recovery:
    """One recovery of the log by the store that is to become its leader.

    Parameters
    ----------
    log
        This store's copy of the log, which is replaced by the recovered log.
    epoch
        The new epoch.
    members
        The members to recover from.
    settings
        The settings of the process.
    request
        Sends a request to an address; see RequestCallback.
    now
        Returns this store's clock in milliseconds.
    done
        Called once: with True when the recovered log is on this store's disk under the new epoch,
        with False if the recovery failed. Not called after `stop`.
    """

    __slots__ = (
        "_answers",
        "_done",
        "_fenced",
        "_gathered",
        "_log",
        "_now",
        "_request",
        "_settings",
        "_sources",
        "_started_ms",
        "epoch",
        "members",
        "state",
    )

    def __init__(
        self,
        log: LocalLog,
        epoch: int,
        members: list[ReplicaAddress],
        settings: Settings,
        request: RequestCallback,
        now: Callable[[], int],
        done: Callable[[bool], None],
    ) -> None:
        self._log = log
        self.epoch = epoch
        self.members = members
        self._settings = settings
        self._request, self._done, self._now = request, done, now
        self._answers: dict[str, StartRecoveryResponse] = {}
        self._fenced = False
        # The records of each replica that counts, with those of this store first.
        self._gathered: list[list[Record]] = []
        self._sources: list[ReplicaAddress] = []
        self._started_ms = now()
        self.state = _State.FENCING

    def start(self) -> None:
        """Fence this store, and request the same of the other members.

        Nothing else is sent under the new epoch before this store's own fence is on disk.
        """

        def fenced(ok: bool) -> None:
            if not ok or self._log.metadata.fence > self.epoch:
                self._finish(False)
                return
            self._fenced = True
            if any(member.identity == self._log.identity for member in self.members):
                self._answers[self._log.identity] = recovery_response(self._log, True)
            self._consider_answers()

        self._log.save_metadata(fenced, fence=self.epoch)
        for member in self.members:
            if member.identity != self._log.identity:
                self._request_fence(member.address)

    def _request_fence(self, address: str) -> None:
        def answered(message: Message | None) -> None:
            if self.state is not _State.FENCING:
                return
            if isinstance(message, StartRecoveryResponse) and message.ok:
                self._take_answer(message)
            elif isinstance(message, StartRecoveryResponse) and message.fence > self.epoch:
                self._finish(False)
            elif self._now() - self._started_ms < self._settings.force_ms:
                self._request_fence(address)
            else:
                self._finish(False)

        request = StartRecovery(epoch=self.epoch)
        self._request(address, request, 4 * self._settings.delta_ms, answered)

    def _take_answer(self, message: StartRecoveryResponse) -> None:
        if any(member.identity == message.identity for member in self.members):
            self._answers[message.identity] = message
        self._consider_answers()

    def _has_quorum(self) -> bool:
        return bool(len(self._answers) >= len(self.members) - self._settings.store_faults)

    def _consider_answers(self) -> None:
        if self._fenced and self.state is _State.FENCING and self._has_quorum():
            self._fetch()

    def unanswered(self) -> list[str]:
        """Return the members that haven't responded, or an empty list once enough have."""
        if self._sources or self._has_quorum():
            return []
        return [member.identity for member in self.members if member.identity not in self._answers]

    def _fetch(self) -> None:
        self.state = _State.FETCHING
        top_epoch = max(answer.log_epoch for answer in self._answers.values())
        counting = [
            member
            for member in self.members
            if member.identity in self._answers
            and self._answers[member.identity].log_epoch == top_epoch
        ]
        self._sources = [member for member in counting if member.identity != self._log.identity]
        self._sources.sort(key=lambda source: -self._answers[source.identity].last_seq)
        own_counts = any(member.identity == self._log.identity for member in counting)
        self._gathered.append(list(self._log.records) if own_counts else self._committed_records())
        self._fetch_next()

    def _committed_records(self) -> list[Record]:
        """Return the committed records of this store.

        They are in every later log, so they are part of the recovered log even if this replica
        missed the last recovery.
        """
        return [record for record in self._log.records if record.seq <= self._log.committed_seq]

    def _gathered_seq(self) -> int:
        """Return the last sequence number gathered so far."""
        ends = [records[-1].seq for records in self._gathered if records]
        return max([self._log.committed_seq, *ends])

    def _fetch_next(self) -> None:
        """Fetch from the next source whose log is longer than the one gathered; if none, write."""
        while self._sources:
            source = self._sources.pop(0)
            if self._answers[source.identity].last_seq > self._gathered_seq():
                self._fetch_tail(source)
                return
        self._write()

    def _fetch_tail(self, source: ReplicaAddress) -> None:
        def fetched(records: list[Record] | None) -> None:
            if records is None:
                self._finish(False)
                return
            self._gathered.append(records)
            self._fetch_next()

        TailFetch(
            self._log,
            self.epoch,
            source,
            self._settings,
            self._request,
            self._now,
            self._started_ms,
            lambda: self.state is _State.FETCHING,
            fetched,
        ).start()

    def _write(self) -> None:
        """Replace the part of this store's log that differs from the recovered log.

        Fails if the gathered records have a gap, if they contradict a committed record of this
        store, or if the disk is full.
        """
        self.state = _State.WRITING
        log = self._log
        snapshot_seq = log.snapshot_seq
        records = [record for record in merge_records(self._gathered) if record.seq > snapshot_seq]
        expected = range(snapshot_seq + 1, snapshot_seq + 1 + len(records))
        if [record.seq for record in records] != list(expected):
            self._finish(False)
            return
        shared_seq = self._shared_seq(records)
        if shared_seq < log.committed_seq:
            self._finish(False)
            return
        log.truncate_after(shared_seq)
        try:
            for record in records[shared_seq - snapshot_seq :]:
                log.append(record, True)
        except DiskFullError:
            self._finish(False)
            return
        log.ensure_flushed(self._flushed)

    def _shared_seq(self, records: list[Record]) -> int:
        """Return the last of these records that this store has without a gap."""
        shared_seq = self._log.snapshot_seq
        for record in records:
            if self._log.stamp_at(record.seq) != record.stamp:
                break
            shared_seq = record.seq
        return shared_seq

    def _flushed(self, ok: bool) -> None:
        if ok:
            self._log.save_metadata(self._finish, log_epoch=self.epoch)
        else:
            self._finish(False)

    def stop(self) -> None:
        """Abandon the recovery; `done` is no longer called."""
        if self.state not in (_State.DONE, _State.FAILED):
            self.state = _State.FAILED

    def _finish(self, ok: bool) -> None:
        if self.state in (_State.DONE, _State.FAILED):
            return
        self.state = _State.DONE if ok else _State.FAILED
        self._done(ok)
