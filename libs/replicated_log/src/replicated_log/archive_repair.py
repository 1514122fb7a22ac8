"""Repair of archive files, called shelves, that a replica lacks or that are damaged.

The archive files that a snapshot refers to are fetched from the sender of the snapshot before it is
taken over. A damaged leaf, found by a read or by the periodic sweep, is fetched from another member
and written anew.
"""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from batch_state import messages as m
from messaging import Component, Message, Origin, encode

from replicated_log.archive import ARCHIVE_PREFIX
from replicated_log.local_log import LocalLog

__all__ = ["FetchArchive", "ReadArchived", "ArchivedRows", "ArchiveRepair", "ArchiveChunk"]

_CHUNK_BYTES = 1 << 18
_PAGE = 200


class FetchArchive(Message, wire_name="FetchShelf"):
    """Ask for an archive file from the byte `offset` on."""

    file: str
    offset: int


class ArchiveChunk(Message, wire_name="ShelfPart"):
    """The answer to FetchArchive: a part of the file and its whole size in bytes."""

    ok: bool
    data: bytes
    total: int


class ReadArchived(Message, wire_name="GetKept"):
    """Ask for the archived rows of a lot or a key (`kind`), from an index on."""

    kind: str
    name: str
    from_index: int


class ArchivedRows(Message, wire_name="Kept"):
    """The answer to ReadArchived: rows, and `listed`, how many there are in all.

    `ok` is false if the answering replica has no intact copy.
    """

    ok: bool
    rows: list[bytes]
    listed: int


class ArchiveRepair(Component):
    """Serves archive files to other replicas and repairs damaged ones here.

    `others` returns the addresses of the other members of the log.
    """

    __slots__ = ("_log", "_mending", "_next_ms", "_others", "_page")
    HANDLES = (FetchArchive, ReadArchived)

    def __init__(self, log: LocalLog, others: Callable[[], list[str]]) -> None:
        self._log = log
        self._others = others
        self._mending: set[tuple[str, str]] = set()
        self._next_ms = 0
        self._page = ("", b"")
        log.fetch_archives = self.fetch

    @singledispatchmethod
    def receive(self, message: Message, origin: Origin) -> None:
        """Answer a request of another replica."""
        raise TypeError(type(message).__name__)

    # -- files that a snapshot needs -----------------------------------------------------------

    @receive.register
    def _(self, message: FetchArchive, origin: Origin) -> None:
        disk = self._log.disk
        ok = message.file.startswith(ARCHIVE_PREFIX) and message.file in disk.names()
        if ok and self._page[0] != message.file:
            self._page = (message.file, disk.read(message.file))
        data = self._page[1] if ok else b""
        self.node.reply(
            origin,
            ArchiveChunk(
                ok=ok, data=data[message.offset : message.offset + _CHUNK_BYTES], total=len(data)
            ),
        )

    def fetch(self, files: list[str], source: str, done: Callable[[bool], None]) -> None:
        """Fetch archive files from `source` one after another, flushing each.

        `done` gets False at the first failure; the caller then begins again.
        """
        if not files:
            done(True)
            return
        self._fetch_part(files, source, b"", done)

    def _fetch_part(
        self, files: list[str], source: str, got: bytes, done: Callable[[bool], None]
    ) -> None:
        def told(part: Any) -> None:
            if part is None or not part.ok:
                done(False)
            elif len(got) + len(part.data) < part.total:
                self._fetch_part(files, source, got + part.data, done)
            else:
                self._keep(
                    files[0],
                    got + part.data,
                    lambda ok: self.fetch(files[1:], source, done) if ok else done(False),
                )

        self.node.request(
            source,
            FetchArchive(file=files[0], offset=len(got)),
            2 * self.node.settings.request_timeout_ms,
            told,
        )

    def _keep(self, file: str, data: bytes, done: Callable[[bool], None]) -> None:
        self._log.disk.replace(file, data, done)

    # -- leaves that are damaged ---------------------------------------------------------------

    @receive.register
    def _(self, message: ReadArchived, origin: Origin) -> None:
        self.node.reply(origin, self._kept(message))

    def _kept(self, message: ReadArchived) -> ArchivedRows:
        state, archive = self._log.state, self._log.archive
        if message.kind == "key":
            key = state.keys.get(message.name)
            body = (
                None
                if key is None or key.state != "done"
                else key.body
                if key.archived is None
                else archive.read_answer(key)
            )
            return ArchivedRows(ok=body is not None, rows=[(body or "").encode()], listed=1)
        job = state.jobs.get(message.name)
        if job is None:
            return ArchivedRows(ok=False, rows=[], listed=0)
        if job.archived is None:
            rows: list[bytes] | None = [
                encode(m.ResultRow(index=index, outcome=item.outcome, body=item.result))
                for index, item in list(enumerate(job.items[: job.listed]))[
                    message.from_index : message.from_index + _PAGE
                ]
            ]
        else:
            rows = archive.read_results(job, message.from_index, _PAGE)
        return ArchivedRows(ok=rows is not None, rows=rows or [], listed=job.listed)

    def repair(self, kind: str, name: str) -> None:
        """Start to repair the rows of a lot or a key, unless this is under way already."""
        if (kind, name) not in self._mending:
            self._mending.add((kind, name))
            self.node.env.log("shelf-damaged", "ERROR", kind=kind, what=name)
            self._ask(kind, name, list(self._others()), [])

    def _ask(self, kind: str, name: str, others: list[str], got: list[bytes]) -> None:
        if not others:
            self._mending.discard((kind, name))
            return

        def told(kept: Any) -> None:
            if kept is None or not kept.ok:
                self._ask(kind, name, others[1:], [])
                return
            rows = got + kept.rows
            if len(rows) < kept.listed and kept.rows:
                self._ask(kind, name, others, rows)
            else:
                self._log.archive.rewrite(kind, name, rows, lambda ok: self._mended(kind, name, ok))

        self.node.request(
            others[0],
            ReadArchived(kind=kind, name=name, from_index=len(got)),
            self.node.settings.request_timeout_ms,
            told,
        )

    def _mended(self, kind: str, name: str, ok: bool) -> None:
        self._mending.discard((kind, name))
        if ok:
            self.node.env.log("shelf-mended", kind=kind, what=name)

    def tick(self) -> None:
        """Sweep the next archive file for damage, once in `removal_timeout_ms`."""
        now_ms = self.node.env.now()
        if now_ms >= self._next_ms:
            self._next_ms = now_ms + self.node.settings.removal_timeout_ms
            self._page = ("", b"")
            for kind, name in self._log.archive.sweep():
                self.repair(kind, name)
