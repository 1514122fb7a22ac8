"""The follower's side of the log.

A message of a lower epoch is refused; a higher epoch is first written to disk as the fence. Records
are taken only in sequence, so holding a record means holding all before it. A log that missed a
recovery is adopted into the new epoch once it matches the recovered log to its end, on disk.
"""

from collections.abc import Callable
from functools import singledispatchmethod

from messaging import Message, decode, encode
from storage import DamageError, DiskFullError

from replicated_log.local_log import LocalLog
from replicated_log.messages import (
    AppendRequest,
    AppendResponse,
    FetchRecords,
    FetchResponse,
    FetchTail,
    InstallSnapshot,
    StartRecovery,
)
from replicated_log.recovery import started

__all__ = ["Follower"]

_CHUNK_BYTES = 1 << 18
Reply = Callable[[Message], None]


class Follower:
    """Handles the messages of a holder or of a recovering store for one replica."""

    __slots__ = ("_busy", "_log", "_parts", "_snapshot", "_source")

    def __init__(self, log: LocalLog) -> None:
        self._log = log
        self._busy = False
        self._parts = b""
        self._source = ""
        self._snapshot: tuple[int, bytes] = (-1, b"")

    def receive(self, message: Message, reply: Reply, source: str = "") -> None:
        """Handle a message after raising the fence to its epoch where needed.

        `reply` is called with each answer, perhaps later, and never if the fence could not be
        written. `source` is the sender's address.
        """
        self._source = source
        if message.epoch > self._log.meta.fence:
            self._log.save_metadata(
                lambda ok: self._on(message, reply) if ok else None, fence=message.epoch
            )
        else:
            self._on(message, reply)

    @singledispatchmethod
    def _on(self, message: Message, reply: Reply) -> None:
        raise TypeError(type(message).__name__)

    @_on.register
    def _(self, message: StartRecovery, reply: Reply) -> None:
        reply(started(self._log, message.epoch == self._log.meta.fence))

    @_on.register
    def _(self, message: FetchRecords, reply: Reply) -> None:
        log = self._log
        ok = message.epoch == log.meta.fence
        snapshot, total, records = b"", 0, []
        if ok and message.from_seq < log.first_seq and message.from_seq <= log.snapshot_seq:
            if self._snapshot[0] != log.committed_seq:
                self._snapshot = (log.committed_seq, log.stored_snapshot())
            total = len(self._snapshot[1])
            snapshot = self._snapshot[1][message.offset : message.offset + _CHUNK_BYTES]
        elif ok:
            records = [
                encode(record) for record in log.records_from(message.from_seq, _CHUNK_BYTES)
            ]
        reply(
            FetchResponse(
                identity=log.identity,
                ok=ok,
                snapshot=snapshot,
                total=total,
                records=records,
                last_seq=log.last_seq,
            )
        )

    @_on.register
    def _(self, message: FetchTail, reply: Reply) -> None:
        rows = zip(message.seqs, message.stamp_epochs, message.stamps_ms, strict=True)
        shared = max(
            (seq for seq, epoch, stamp_ms in rows if self._log.stamp_at(seq) == (epoch, stamp_ms)),
            default=0,
        )
        self._on(FetchRecords(epoch=message.epoch, from_seq=shared + 1, offset=0), reply)

    @_on.register
    def _(self, message: AppendRequest, reply: Reply) -> None:
        log = self._log
        if message.epoch < log.meta.fence:
            reply(self._send_response(message.probe, False, "fenced"))
        elif self._busy:
            reply(self._send_response(message.probe, False, "busy"))
        elif log.stamp_at(message.prev_seq) != (message.prev_epoch, message.prev_ms):
            reply(self._send_response(message.probe, False, "gap", message.prev_seq))
        else:
            self._take(message, reply)

    def _take(self, message: AppendRequest, reply: Reply) -> None:
        """Take records that follow what is here.

        Records that the message doesn't have are cut off only once others take their place, or once
        this log matches the recovered log to its end. A short or late message thus removes no copy
        of what follows it.
        """
        log = self._log
        records = [decode(data) for data in message.records]
        same = message.prev_seq
        for record in records:
            if log.stamp_at(record.seq) != record.stamp:
                break
            same = record.seq
        fresh = records[same - message.prev_seq :]
        behind = log.meta.log_epoch < message.epoch
        if fresh and same < log.committed_seq:
            reply(self._send_response(message.probe, False, "settled", same))
            return
        if behind and not fresh and same < message.base_seq:
            reply(self._send_response(message.probe, True, "", last_seq=same))
            return
        if fresh or behind:
            log.truncate_after(same)
        try:
            for record in fresh:
                log.write(record)
        except DiskFullError:
            reply(self._send_response(message.probe, False, "full"))
            return
        if log.meta.log_epoch < message.epoch and log.last_seq >= message.base_seq:
            self._adopt(message, reply)
            return
        if log.meta.log_epoch == message.epoch:
            log.commit(message.committed_seq)
        if message.flush and log.flushed_seq < log.last_seq:
            log.flush(lambda ok: reply(self._send_response(message.probe, True, "")))
        reply(self._send_response(message.probe, True, ""))

    def _adopt(self, message: AppendRequest, reply: Reply) -> None:
        """Flush the log, then raise its log epoch: from then on this replica's answers count."""
        self._busy = True

        def flushed(ok: bool) -> None:
            if ok and message.epoch == self._log.meta.fence:
                self._log.save_metadata(adopted, log_epoch=message.epoch)
            else:
                self._busy = False

        def adopted(ok: bool) -> None:
            self._busy = False
            reply(self._send_response(message.probe, ok, ""))

        self._log.ensure_flushed(flushed)

    @_on.register
    def _(self, message: InstallSnapshot, reply: Reply) -> None:
        log = self._log
        if message.epoch < log.meta.fence or self._busy:
            reply(self._send_response(message.probe, False, "fenced" if not self._busy else "busy"))
            return
        self._parts = (
            self._parts[: message.offset] + message.snapshot
            if message.offset <= len(self._parts)
            else b""
        )
        if len(self._parts) != message.total:
            reply(self._send_response(message.probe, False, "part", len(self._parts)))
            return
        data, self._parts = self._parts, b""
        self._busy = True

        def installed(ok: bool) -> None:
            self._busy = False
            reply(self._send_response(message.probe, False, "installed" if ok else "full"))

        try:
            log.install(data, installed, self._source, lambda: message.epoch >= log.meta.fence)
        except (DamageError, IndexError):
            self._busy = False
            reply(self._send_response(message.probe, False, "damaged"))

    def _send_response(
        self, probe: int, ok: bool, reason: str, position: int = -1, last_seq: int | None = None
    ) -> AppendResponse:
        """Build the answer to the holder.

        `last_seq` is how far this log is known to match the holder's, where that isn't its end.
        """
        log = self._log
        epoch, stamp_ms = log.last_stamp
        return AppendResponse(
            identity=log.identity,
            ok=ok,
            reason=reason,
            fence=log.meta.fence,
            log_epoch=log.meta.log_epoch,
            last_seq=log.last_seq if last_seq is None else last_seq,
            flushed_seq=log.flushed_seq,
            stamp_epoch=epoch,
            stamp_ms=stamp_ms,
            reception_ms=log.received_ms[-1] if log.received_ms else 0,
            probe=probe,
            position=position,
            snapshot_seq=log.snapshot_seq,
            roomy=log.disk.roomy(0),
        )
