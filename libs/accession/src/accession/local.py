"""One store's own copy of the log: queue files under the data folder, the records still in memory
with the times they were received, the ledger folded as far as the log is settled, and snapshots of
it. Opening reads it all back: a tail that never was flushed is cut off, a hole in what was flushed
is damage and refused. Files of a later epoch stand above what earlier files say of the same places."""

from collections.abc import Callable
from typing import Any

from accession.messages import TRUNCATE, LogMeta, Record, SnapshotHead, StoredEntry
from accession.shelves import Shelves, files_of
from ledger import Ledger
from stacks import Damage, Disk, frame, over_hole, scan, walk
from vellum import Message, decode, encode

__all__ = ["LocalLog", "entry_of"]

_META, _SNAP, _MARK, _QUEUE = "meta", "snapshot", "mark", "queue-"


class LocalLog:
    __slots__ = ("_dirty", "_flushWaiters", "_flushing", "_lastFlushMs", "_metaNext", "_metaWaiters", "_metaWriting", "_now", "_sinceSnapBytes",
                 "_snapping", "_written", "disk", "fetcher", "flushedSeq", "ledger", "meta", "params", "receivedMs",
                 "records", "settledSeq", "shelves", "snapSeq", "snapStamp")

    def __init__(self, disk: Disk, params: Any, now: Callable[[], int], token: Callable[[], str]) -> None:
        self.disk = disk
        self.params = params
        self._now = now
        self.records: list[Record] = []
        self.receivedMs: list[int] = []
        self.ledger = Ledger()
        self.snapSeq = 0
        self.snapStamp = (0, 0)
        self._dirty: set[str] = set()
        self._flushing = False
        self._flushWaiters: list[Callable[[bool], None]] = []
        self._snapping = False
        self._sinceSnapBytes = 0
        self._lastFlushMs = now()
        self._metaNext: list[tuple[LogMeta, Callable[[bool], None]]] = []
        self._metaWaiters: list[Callable[[bool], None]] = []
        self._metaWriting: LogMeta | None = None
        self._written = ("", 0)
        self.shelves = Shelves(self, token)
        self.fetcher: Callable[[list[str], str, Callable[[bool], None]], None] | None = None
        self._open(token)
        self.shelves.collect()
        self.settledSeq = self.snapSeq
        self.flushedSeq = self.snapSeq
        self._dirty.update(record.file for record in self.records)

    # -- reading back ------------------------------------------------------------------------

    def _open(self, token: Callable[[], str]) -> None:
        names = self.disk.names()
        if _META in names:
            frames, _, _ = scan(self.disk.read(_META))
            if not frames:
                raise Damage(_META, 0)
            self.meta = decode(frames[0][1])
        else:
            self.meta = LogMeta(identity=f"store-{token()}", fence=0, logEpoch=0)
        if _SNAP in names:
            self.load_snapshot(self.disk.read(_SNAP))
        mark = self._read_mark(names)
        for name in [name for name in names if name.startswith(_QUEUE)]:
            self._open_queue(name)
        if self.lastSeq < mark:
            raise Damage(_QUEUE, self.lastSeq)
        self.receivedMs = [self._now()] * len(self.records)

    def _open_queue(self, name: str) -> None:
        """A file may begin, or go on, behind a hole: what was there came by a snapshot and was never written
        here, while records stay at their absolute offsets."""
        data = self.disk.read(name)
        frames, stop = walk(data)
        while (at := over_hole(data, stop)) is not None:
            more, stop = walk(data, at)
            frames += more
        end = 0
        for offset, payload in frames:
            entry = decode(payload)
            if entry.seq > max(self.snapSeq, self.lastSeq) + 1:
                break
            end = offset + len(frame(payload))
            if entry.seq <= self.snapSeq:
                continue
            del self.records[entry.seq - self.firstSeq:]
            self.records.append(_record(entry, payload, name, offset))
        if end < len(data):
            self.disk.truncate(name, end)
            self._dirty.add(name)
        if end == 0:
            self.disk.remove(name)
            self._dirty.discard(name)

    def _read_mark(self, names: list[str]) -> int:
        if _MARK not in names:
            return 0
        frames, _, _ = scan(self.disk.read(_MARK))
        return int(frames[0][1]) if frames else 0

    # -- places ------------------------------------------------------------------------------

    @property
    def identity(self) -> str:
        return self.meta.identity

    @property
    def firstSeq(self) -> int:
        return self.records[0].seq if self.records else self.snapSeq + 1

    @property
    def lastSeq(self) -> int:
        return self.records[-1].seq if self.records else self.snapSeq

    @property
    def lastStamp(self) -> tuple[int, int]:
        return self.records[-1].stamp if self.records else self.snapStamp

    def stamp_at(self, seq: int) -> tuple[int, int] | None:
        if seq == self.snapSeq:
            return self.snapStamp
        index = seq - self.firstSeq
        return self.records[index].stamp if 0 <= index < len(self.records) else None

    def since(self, seq: int, limitBytes: int) -> list[Record]:
        rows: list[Record] = []
        sizeBytes = 0
        for record in self.records[max(0, seq - self.firstSeq):]:
            if rows and sizeBytes + record.nbytes > limitBytes:
                break
            rows.append(record)
            sizeBytes += record.nbytes
        return rows

    # -- writing -----------------------------------------------------------------------------

    def make(self, stamp: tuple[int, int], body: bytes) -> Record:
        """The next record of the holder's queue file; the first of a file carries the truncate flag."""
        seq = self.lastSeq + 1
        payload = encode(StoredEntry(epoch=stamp[0], stampMs=stamp[1], seq=seq, body=body))
        name, offset = self._written
        flags = 0
        if not name.startswith(f"{_QUEUE}{stamp[0]:08d}-") or offset >= self.params.segmentBytes:
            name, offset, flags = f"{_QUEUE}{stamp[0]:08d}-{seq:012d}", 0, TRUNCATE
        return _record(StoredEntry(epoch=stamp[0], stampMs=stamp[1], seq=seq, body=body), payload, name, offset,
                       flags)

    def write(self, record: Record, urgent: bool = False) -> None:
        """Lazy, at the absolute offset, so writing the same record again changes nothing."""
        if record.flags & TRUNCATE:
            self.disk.truncate(record.file, 0)
        self.disk.write(record.file, record.offset, record.bytes, urgent)
        self._dirty.add(record.file)
        self._written = (record.file, record.offset + record.nbytes)
        self._sinceSnapBytes += record.nbytes
        self.records.append(record)
        self.receivedMs.append(self._now())

    def cut_after(self, seq: int) -> None:
        keep = max(0, seq - self.firstSeq + 1)
        if len(self.records) > keep:
            self._write_mark(min(self.flushedSeq, seq))
        for record in reversed(self.records[keep:]):
            self.disk.truncate(record.file, record.offset)
            self._dirty.add(record.file)
        if len(self.records) > keep:
            self._written = ("", 0)
        del self.records[keep:]
        del self.receivedMs[keep:]
        self.flushedSeq = min(self.flushedSeq, self.lastSeq)

    def flush(self, done: Callable[[bool], None]) -> None:
        """Flushes that are asked for while one runs share the next one."""
        self._flushWaiters.append(done)
        if not self._flushing:
            self._start_flush()

    def _start_flush(self) -> None:
        self._flushing = True
        self._lastFlushMs = self._now()
        waiters, self._flushWaiters = self._flushWaiters, []
        names, self._dirty = sorted(self._dirty), set()
        upTo = self.lastStamp
        upToSeq = self.lastSeq

        def flushed(ok: bool) -> None:
            self._flushing = False
            if ok and self.stamp_at(upToSeq) == upTo and upToSeq > self.flushedSeq:
                self.flushedSeq = upToSeq
                self._write_mark(upToSeq)
            if not ok:
                self._dirty.update(names)
            for waiter in waiters:
                waiter(ok)
            if self._flushWaiters and not self._flushing:
                self._start_flush()

        self.disk.flush(names, flushed)

    def _write_mark(self, seq: int) -> None:
        if self.disk.roomy(64, True):
            self.disk.write(_MARK, 0, frame(f"{seq:020d}".encode()), True)

    def flush_due(self) -> bool:
        return (self.flushedSeq < self.lastSeq and not self._flushing
                and self._now() - self._lastFlushMs >= self.params.flushMs)

    def keep_meta(self, done: Callable[[bool], None], fence: int | None = None, logEpoch: int | None = None) -> None:
        """On disk before it counts. What is asked for while one write runs shares the next one, and what
        that write says already shares it."""
        wanted = LogMeta(identity=self.meta.identity, fence=max(self.meta.fence, fence or 0),
                         logEpoch=max(self.meta.logEpoch, logEpoch or 0))
        if self._metaWriting is not None and _covers(self._metaWriting, wanted):
            self._metaWaiters.append(done)
            return
        self._metaNext.append((wanted, done))
        if self._metaWriting is None:
            self._write_meta()

    def _write_meta(self) -> None:
        rows, self._metaNext = self._metaNext, []
        metas = [self.meta, *[wanted for wanted, _ in rows]]
        meta = self._metaWriting = LogMeta(identity=self.meta.identity, fence=max(row.fence for row in metas),
                                           logEpoch=max(row.logEpoch for row in metas))
        self._metaWaiters = [done for _, done in rows]

        def kept(ok: bool) -> None:
            self._metaWriting = None
            waiters, self._metaWaiters = self._metaWaiters, []
            if ok:
                self.meta = meta
            for waiter in waiters:
                waiter(ok)
            if self._metaNext and self._metaWriting is None:
                self._write_meta()

        self.disk.replace(_META, frame(encode(meta)), kept)

    # -- settling, snapshots, trimming ---------------------------------------------------------

    def settle(self, seq: int) -> None:
        """Folds what has become settled into the ledger."""
        while self.settledSeq < min(seq, self.lastSeq):
            record = self.records[self.settledSeq + 1 - self.firstSeq]
            self.ledger.apply(entry_of(record))
            self.settledSeq += 1

    def busy(self) -> bool:
        """A snapshot is being written."""
        return self._snapping

    def snapshot(self) -> bytes:
        stamp = self.stamp_at(self.settledSeq) or (0, 0)
        rows = self.ledger.encoded(frame)
        head = SnapshotHead(seq=self.settledSeq, epoch=stamp[0], stampMs=stamp[1], count=len(rows))
        return b"".join([frame(encode(head)), *rows])

    def load_snapshot(self, data: bytes) -> None:
        frames, end, _ = scan(data)
        head = decode(frames[0][1]) if frames else None
        if head is None or end != len(data) or head.count != len(frames) - 1:
            raise Damage(_SNAP, end)
        self.ledger = Ledger()
        for _, payload in frames[1:]:
            self.ledger.apply(decode(payload))
        self.snapSeq = self.settledSeq = head.seq
        self.snapStamp = (head.epoch, head.stampMs)

    def missing(self, data: bytes) -> list[str]:
        """Files that a snapshot refers to and that are not here."""
        frames, end, _ = scan(data)
        if end != len(data):
            raise Damage(_SNAP, end)
        return sorted(files_of(decode(payload) for _, payload in frames[1:]) - set(self.disk.names()))

    def install(self, data: bytes, done: Callable[[bool], None], source: str = "", still: Callable[[], bool] = lambda: True) -> None:
        """Takes over another's snapshot: only when this log can't be brought up record by record. The
        shelves it refers to come first; `still` says whether it is still wanted by then."""
        lacking = self.missing(data)
        if not lacking:
            self._install(data, done)
        elif self.fetcher is None:
            done(False)
        else:
            self.fetcher(lacking, source, lambda ok: self._install(data, done) if ok and still() else done(False))

    def _install(self, data: bytes, done: Callable[[bool], None]) -> None:
        self.cut_after(0)
        self._write_mark(0)
        for name in [name for name in self.disk.names() if name.startswith(_QUEUE)]:
            self.disk.remove(name)
        self._dirty.clear()
        self.records, self.receivedMs = [], []
        self.load_snapshot(data)
        self._written = ("", 0)
        self.flushedSeq = 0
        seq = self.snapSeq

        def kept(ok: bool) -> None:
            if ok:
                self.flushedSeq = max(self.flushedSeq, seq)
            done(ok)

        self.disk.replace(_SNAP, data, kept)

    def tidy(self, force: bool = False) -> None:
        """Snapshots when a segment's worth is settled, then trims what is both in one and old."""
        if self._snapping or self.settledSeq <= self.snapSeq:
            return
        if not force and self._sinceSnapBytes < self.params.segmentBytes:
            return
        self._snapping = True
        self._sinceSnapBytes = 0
        self.shelves.shelve(self._write_snapshot)

    def _write_snapshot(self) -> None:
        seq = self.settledSeq
        stamp = self.stamp_at(seq) or (0, 0)

        def kept(ok: bool) -> None:
            self._snapping = False
            if ok and seq > self.snapSeq:
                self.snapSeq, self.snapStamp = seq, stamp
                self.trim()
                self.shelves.collect()

        self.disk.replace(_SNAP, self.snapshot(), kept)

    def trim(self) -> None:
        if self.receivedMs:
            floorMs = self.receivedMs[-1] - self.params.keepFactor * self.params.flushMs
            count = 0
            while (count < len(self.records) - 1 and self.records[count].seq <= self.snapSeq
                   and self.receivedMs[count] < floorMs):
                count += 1
            del self.records[:count]
            del self.receivedMs[:count]
        needed = {record.file for record in self.records if record.seq > self.snapSeq} | {self._written[0]}
        for name in [name for name in self.disk.names() if name.startswith(_QUEUE)]:
            if name not in needed:
                self._dirty.discard(name)
                self.disk.remove(name)


def _covers(meta: LogMeta, wanted: LogMeta) -> bool:
    return meta.fence >= wanted.fence and meta.logEpoch >= wanted.logEpoch


def entry_of(record: Record) -> Message:
    return decode(decode(record.bytes[8:]).body)


def _record(entry: StoredEntry, payload: bytes, name: str, offset: int, flags: int = 0) -> Record:
    data = frame(payload)
    return Record(epoch=entry.epoch, stampMs=entry.stampMs, seq=entry.seq, file=name, flags=flags,
                  nbytes=len(data), bytes=data, offset=offset)
