"""The follower's side of the log.

A message of a lower epoch than the fence is rejected. A higher epoch is first written to disk as
the fence. Records are accepted only in sequence, so a replica that has a record has all records
before it. A log that missed a recovery adopts the new epoch once it matches the whole recovered log
and is on disk.
"""

from collections.abc import Callable
from functools import singledispatchmethod

from messaging import Message, decode_as, encode
from storage import DamageError, DiskFullError

from replicated_log.local_log import LocalLog
from replicated_log.messages import (
    AppendRequest,
    AppendResponse,
    FetchRecords,
    FetchResponse,
    FetchTail,
    InstallSnapshot,
    Record,
    ResponseReason,
    StartRecovery,
)
from replicated_log.recovery import recovery_response

__all__ = ["Follower", "FollowerMessage"]

_CHUNK_BYTES = 1 << 18

FollowerMessage = AppendRequest | InstallSnapshot | StartRecovery | FetchRecords | FetchTail
ReplyCallback = Callable[[Message], None]


class _SnapshotCopy:
    """The snapshot that is being sent in parts, which all have to come from the same version.

    `committed_seq` is the last committed record when the copy was made, or -1 if there is none.
    """

    __slots__ = ("committed_seq", "data")

    def __init__(self) -> None:
        self.committed_seq = -1
        self.data = b""

    def refresh(self, log: LocalLog) -> None:
        """Replace the copy by the log's snapshot if records have been committed since."""
        if self.committed_seq != log.committed_seq:
            self.committed_seq, self.data = log.committed_seq, log.stored_snapshot()


class Follower:
    """Handles messages that a leader or a recovering store sends to one replica."""

    __slots__ = ("_busy", "_log", "_received_snapshot", "_sent_snapshot", "_source")

    def __init__(self, log: LocalLog) -> None:
        self._log = log
        self._busy = False
        self._received_snapshot = b""
        self._sent_snapshot = _SnapshotCopy()
        self._source = ""

    def receive(self, message: FollowerMessage, reply: ReplyCallback, source: str = "") -> None:
        """Handle a message; the fence is first raised to its epoch if that is higher.

        `reply` is called with each response, possibly after this call returns. There is no response
        if the fence could not be written. `source` is the sender's address.
        """
        self._source = source
        if message.epoch <= self._log.metadata.fence:
            self._handle(message, reply)
            return

        def fence_raised(ok: bool) -> None:
            if ok:
                self._handle(message, reply)

        self._log.save_metadata(fence_raised, fence=message.epoch)

    @singledispatchmethod
    def _handle(self, message: Message, reply: ReplyCallback) -> None:
        raise TypeError(
            "expected AppendRequest, InstallSnapshot, StartRecovery, FetchRecords or FetchTail, "
            f"got {type(message).__name__}"
        )

    @_handle.register
    def _(self, message: StartRecovery, reply: ReplyCallback) -> None:
        reply(recovery_response(self._log, message.epoch == self._log.metadata.fence))

    @_handle.register
    def _(self, message: FetchRecords, reply: ReplyCallback) -> None:
        log = self._log
        ok = message.epoch == log.metadata.fence
        part, total, records = b"", 0, []
        if ok and message.from_seq < log.first_seq and message.from_seq <= log.snapshot_seq:
            self._sent_snapshot.refresh(log)
            snapshot = self._sent_snapshot.data
            part, total = snapshot[message.offset : message.offset + _CHUNK_BYTES], len(snapshot)
        elif ok:
            records = log.records_from(message.from_seq, _CHUNK_BYTES)
        reply(
            FetchResponse(
                identity=log.identity,
                ok=ok,
                snapshot=part,
                total=total,
                records=[encode(record) for record in records],
                last_seq=log.last_seq,
            )
        )

    @_handle.register
    def _(self, message: FetchTail, reply: ReplyCallback) -> None:
        rows = zip(message.seqs, message.stamp_epochs, message.stamps_ms, strict=True)
        shared_seq = max(
            (seq for seq, epoch, stamp_ms in rows if self._log.stamp_at(seq) == (epoch, stamp_ms)),
            default=0,
        )
        self._handle(FetchRecords(epoch=message.epoch, from_seq=shared_seq + 1, offset=0), reply)

    @_handle.register
    def _(self, message: AppendRequest, reply: ReplyCallback) -> None:
        log = self._log
        if message.epoch < log.metadata.fence:
            self._refuse(message, reply, ResponseReason.FENCED)
        elif self._busy:
            self._refuse(message, reply, ResponseReason.BUSY)
        elif log.stamp_at(message.prev_seq) != (message.prev_epoch, message.prev_ms):
            self._refuse(message, reply, ResponseReason.GAP, message.prev_seq)
        else:
            self._append_records(message, reply)

    def _append_records(self, message: AppendRequest, reply: ReplyCallback) -> None:
        """Append the records of a message whose predecessor this log has.

        Records of this log that aren't in the message are removed only if other records replace
        them, or once this log matches the whole recovered log. A short or late message therefore
        removes no copies of the records after it.
        """
        log = self._log
        records = [decode_as(Record, data) for data in message.records]
        shared_seq = self._shared_seq(message.prev_seq, records)
        new_records = records[shared_seq - message.prev_seq :]
        is_behind = log.metadata.log_epoch < message.epoch
        if new_records and shared_seq < log.committed_seq:
            self._refuse(message, reply, ResponseReason.CONTRADICTS_COMMITTED, shared_seq)
            return
        if is_behind and not new_records and shared_seq < message.base_seq:
            reply(self._response(message.probe, True, last_seq=shared_seq))
            return
        if new_records or is_behind:
            log.truncate_after(shared_seq)
        try:
            for record in new_records:
                log.append(record)
        except DiskFullError:
            self._refuse(message, reply, ResponseReason.DISK_FULL)
            return
        if is_behind and log.last_seq >= message.base_seq:
            self._adopt(message, reply)
        else:
            self._acknowledge(message, reply)

    def _shared_seq(self, prev_seq: int, records: list[Record]) -> int:
        """Return the last of these records that this log has without a gap, or `prev_seq`."""
        shared_seq = prev_seq
        for record in records:
            if self._log.stamp_at(record.seq) != record.stamp:
                break
            shared_seq = record.seq
        return shared_seq

    def _acknowledge(self, message: AppendRequest, reply: ReplyCallback) -> None:
        log = self._log
        if log.metadata.log_epoch == message.epoch:
            log.commit(message.committed_seq)
        if message.flush and log.flushed_seq < log.last_seq:
            log.flush(lambda ok: reply(self._response(message.probe, True)))
        reply(self._response(message.probe, True))

    def _adopt(self, message: AppendRequest, reply: ReplyCallback) -> None:
        """Flush the log, then set its log epoch; from then on this replica counts in quorums."""
        self._busy = True

        def flushed(ok: bool) -> None:
            if ok and message.epoch == self._log.metadata.fence:
                self._log.save_metadata(adopted, log_epoch=message.epoch)
            else:
                self._busy = False

        def adopted(ok: bool) -> None:
            self._busy = False
            reply(self._response(message.probe, ok))

        self._log.ensure_flushed(flushed)

    @_handle.register
    def _(self, message: InstallSnapshot, reply: ReplyCallback) -> None:
        if self._busy:
            self._refuse(message, reply, ResponseReason.BUSY)
            return
        if message.epoch < self._log.metadata.fence:
            self._refuse(message, reply, ResponseReason.FENCED)
            return
        data = self._received_snapshot
        data = data[: message.offset] + message.snapshot if message.offset <= len(data) else b""
        self._received_snapshot = data
        if len(data) != message.total:
            self._refuse(message, reply, ResponseReason.PARTIAL_SNAPSHOT, len(data))
            return
        self._received_snapshot = b""
        self._install(message, data, reply)

    def _install(self, message: InstallSnapshot, data: bytes, reply: ReplyCallback) -> None:
        log = self._log
        self._busy = True

        def installed(ok: bool) -> None:
            self._busy = False
            reason = ResponseReason.SNAPSHOT_INSTALLED if ok else ResponseReason.DISK_FULL
            self._refuse(message, reply, reason)

        try:
            log.install_snapshot(
                data, installed, self._source, lambda: message.epoch >= log.metadata.fence
            )
        except (DamageError, IndexError):
            self._busy = False
            self._refuse(message, reply, ResponseReason.SNAPSHOT_DAMAGED)

    def _refuse(
        self,
        message: AppendRequest | InstallSnapshot,
        reply: ReplyCallback,
        reason: ResponseReason,
        position: int = -1,
    ) -> None:
        reply(self._response(message.probe, False, reason, position))

    def _response(
        self,
        probe: int,
        ok: bool,
        reason: ResponseReason = ResponseReason.NONE,
        position: int = -1,
        last_seq: int | None = None,
    ) -> AppendResponse:
        """Build the response to the leader.

        `last_seq` is the last record known to match the leader's log, by default the last one.
        """
        log = self._log
        stamp = log.last_stamp
        received_ms = log.buffer.received_ms
        return AppendResponse(
            identity=log.identity,
            ok=ok,
            reason=reason,
            fence=log.metadata.fence,
            log_epoch=log.metadata.log_epoch,
            last_seq=log.last_seq if last_seq is None else last_seq,
            flushed_seq=log.flushed_seq,
            stamp_epoch=stamp.epoch,
            stamp_ms=stamp.time_ms,
            reception_ms=received_ms[-1] if received_ms else 0,
            probe=probe,
            position=position,
            snapshot_seq=log.snapshot_seq,
            has_room=log.disk.has_room(0),
        )
