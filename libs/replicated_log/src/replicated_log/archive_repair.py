"""Repair of missing or damaged archive files.

Before a replica installs a snapshot, it fetches the archive files to which the snapshot refers and
that it lacks, from the sender of the snapshot. A damaged block, detected by a read or by the
periodic check, is replaced: its job's or key's rows are fetched from another member and written to
a new file.
"""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from batch_state.messages import ResultRow
from messaging import Component, Message, Origin, encode

from replicated_log.archive import ARCHIVE_PREFIX
from replicated_log.archive_blocks import ArchivedItem, ArchivedKind
from replicated_log.local_log import LocalLog

__all__ = ["ArchiveChunk", "ArchiveRepair", "ArchivedRows", "FetchArchive", "ReadArchived"]

_CHUNK_BYTES = 1 << 18
_ROWS_PER_MESSAGE = 200
_NO_FILE = ("", b"")


class FetchArchive(Message, wire_name="FetchShelf"):
    """Requests an archive file from the byte `offset` on."""

    file: str
    offset: int


class ArchiveChunk(Message, wire_name="ShelfPart"):
    """The response to FetchArchive: a chunk of the file; `total` is the file's size in bytes.

    `ok` is false if the sender has no such file.
    """

    ok: bool
    data: bytes
    total: int


class ReadArchived(Message, wire_name="GetKept"):
    """Requests the rows of an archived job or key, from row `from_index` on.

    `kind` is an ArchivedKind, `name` the job or key.
    """

    kind: str
    name: str
    from_index: int


class ArchivedRows(Message, wire_name="Kept"):
    """The response to ReadArchived: some of the rows; `listed` is the number of all rows.

    `ok` is false if the sender has no intact copy.
    """

    ok: bool
    rows: list[bytes]
    listed: int


class ArchiveRepair(Component):
    """Serves archive files to other replicas and repairs those of this replica.

    Parameters
    ----------
    log
        The log of this replica; its `fetch_archives` is set to `fetch`.
    others
        Returns the addresses of the other members of the log.
    """

    __slots__ = ("_cached_file", "_log", "_next_check_ms", "_others", "_repairing")
    HANDLES = (FetchArchive, ReadArchived)

    def __init__(self, log: LocalLog, others: Callable[[], list[str]]) -> None:
        self._log = log
        self._others = others
        self._repairing: set[ArchivedItem] = set()
        self._next_check_ms = 0
        # The name and contents of the last requested file, since requests for its next chunks
        # usually follow.
        self._cached_file = _NO_FILE
        log.fetch_archives = self.fetch

    @singledispatchmethod
    def receive(self, message: Message, origin: Origin) -> None:
        """Respond to a request of another replica."""
        raise TypeError(f"expected FetchArchive or ReadArchived, got {type(message).__name__}")

    @receive.register
    def _(self, message: FetchArchive, origin: Origin) -> None:
        disk = self._log.disk
        ok = message.file.startswith(ARCHIVE_PREFIX) and message.file in disk.names()
        if ok and self._cached_file[0] != message.file:
            self._cached_file = (message.file, disk.read(message.file))
        data = self._cached_file[1] if ok else b""
        chunk = data[message.offset : message.offset + _CHUNK_BYTES]
        self.node.reply(origin, ArchiveChunk(ok=ok, data=chunk, total=len(data)))

    def fetch(self, files: list[str], source: str, done: Callable[[bool], None]) -> None:
        """Fetch archive files one after another from the replica at the address `source`.

        Each file is on disk before the next one is requested. `done` is called with True once all
        of them are, and with False at the first failure; the caller has to start again.
        """
        if not files:
            done(True)
            return
        self._fetch_chunk(files, source, b"", done)

    def _fetch_chunk(
        self, files: list[str], source: str, received: bytes, done: Callable[[bool], None]
    ) -> None:
        def stored(ok: bool) -> None:
            if ok:
                self.fetch(files[1:], source, done)
            else:
                done(False)

        def chunk_received(chunk: Any) -> None:
            if not isinstance(chunk, ArchiveChunk) or not chunk.ok:
                done(False)
            elif len(received) + len(chunk.data) < chunk.total:
                self._fetch_chunk(files, source, received + chunk.data, done)
            else:
                self._log.disk.replace(files[0], received + chunk.data, stored)

        self.node.request(
            source,
            FetchArchive(file=files[0], offset=len(received)),
            2 * self.node.settings.request_timeout_ms,
            chunk_received,
        )

    @receive.register
    def _(self, message: ReadArchived, origin: Origin) -> None:
        if message.kind == ArchivedKind.KEY:
            response = self._read_key(message)
        else:
            response = self._read_job(message)
        self.node.reply(origin, response)

    def _read_key(self, message: ReadArchived) -> ArchivedRows:
        key = self._log.state.keys.get(message.name)
        body: str | None = None
        if key is not None and key.state == "done":
            body = key.body if key.archived is None else self._log.archive.read_answer(key)
        return ArchivedRows(ok=body is not None, rows=[(body or "").encode()], listed=1)

    def _read_job(self, message: ReadArchived) -> ArchivedRows:
        job = self._log.state.jobs.get(message.name)
        if job is None:
            return ArchivedRows(ok=False, rows=[], listed=0)
        rows: list[bytes] | None
        if job.archived is None:
            end = message.from_index + _ROWS_PER_MESSAGE
            listed = list(enumerate(job.items[: job.listed]))
            rows = [
                encode(ResultRow(index=index, outcome=item.outcome, body=item.result))
                for index, item in listed[message.from_index : end]
            ]
        else:
            rows = self._log.archive.read_results(job, message.from_index, _ROWS_PER_MESSAGE)
        return ArchivedRows(ok=rows is not None, rows=rows or [], listed=job.listed)

    def repair(self, kind: str, name: str) -> None:
        """Start to repair the rows of a job or key, unless a repair of them is in progress.

        A failed repair isn't retried; it is started again by the next read or check.
        """
        item = ArchivedItem(ArchivedKind(kind), name)
        if item not in self._repairing:
            self._repairing.add(item)
            self.node.env.log("shelf-damaged", "ERROR", kind=kind, what=name)
            self._request_rows(item, list(self._others()), [])

    def _request_rows(self, item: ArchivedItem, others: list[str], received: list[bytes]) -> None:
        """Request the rows after those received from the first of `others`.

        If that fails, the received rows are dropped and all rows requested from the next one.
        """
        if not others:
            self._repairing.discard(item)
            return

        def rows_received(answer: Any) -> None:
            if not isinstance(answer, ArchivedRows) or not answer.ok:
                self._request_rows(item, others[1:], [])
                return
            rows = received + answer.rows
            if len(rows) < answer.listed and answer.rows:
                self._request_rows(item, others, rows)
            else:
                self._log.archive.rewrite(item, rows, lambda ok: self._repaired(item, ok))

        self.node.request(
            others[0],
            ReadArchived(kind=item.kind, name=item.name, from_index=len(received)),
            self.node.settings.request_timeout_ms,
            rows_received,
        )

    def _repaired(self, item: ArchivedItem, ok: bool) -> None:
        self._repairing.discard(item)
        if ok:
            self.node.env.log("shelf-mended", kind=str(item.kind), what=item.name)

    def tick(self) -> None:
        """Check one archive file for damage every `removal_timeout_ms`."""
        now_ms = self.node.env.now()
        if now_ms >= self._next_check_ms:
            self._next_check_ms = now_ms + self.node.settings.removal_timeout_ms
            self._cached_file = _NO_FILE
            for item in self._log.archive.check_next_file():
                self.repair(item.kind, item.name)
