"""Archive files, called shelves, for finished lots and keys.

They hold the results of lots that are over and the receipts (final answers) of keys that are done,
so that memory has only an index of them. A file is written once and flushed; only then do
references to it replace the contents in memory, and only a later snapshot refers to it. A file
consists of leaves, each a compressed frame with a checksum. A file that no lot or key refers to is
removed after the next snapshot.
"""

import zlib
from collections.abc import Callable
from typing import Any

from batch_state import entries as e
from batch_state.jobs import Job
from batch_state.state import IdempotencyKey
from messaging import Message, decode, encode
from storage import DiskFullError, frame, walk

__all__ = ["ArchiveBlock", "ARCHIVE_PREFIX", "ArchiveStore", "referenced_files"]

ARCHIVE_PREFIX = "shelf-"
_LEAF_BYTES = 1 << 17
_FILE_BYTES = 1 << 20


class ArchiveBlock(Message, wire_name="Leaf"):
    """A group of archived rows of one lot or key.

    `name` is the lot or key, so that a leaf found in another's place is recognised.
    """

    name: str
    rows: list[bytes]


def _packed(leaf: ArchiveBlock) -> bytes:
    return frame(zlib.compress(encode(leaf), 1))


def referenced_files(rows: Any) -> set[str]:
    """Return the names of the archive files that snapshot entries refer to."""
    return {row.file for row in rows if isinstance(row, (e.JobArchived, e.KeyArchived))}


class ArchiveStore:
    """The archive files of one replica.

    `log` is the LocalLog beside which they lie, `token` makes unique parts of file names.
    `on_archived` gets the entries whose contents have left memory.
    """

    __slots__ = ("_busy", "_log", "_swept", "_token", "on_archived")

    def __init__(self, log: Any, token: Callable[[], str]) -> None:
        self._log = log
        self._token = token
        self._busy = False
        self._swept = ""
        self.on_archived: Callable[[list[Message]], None] = lambda entries: None

    def names(self) -> list[str]:
        """Return the names of all archive files on this disk."""
        return [name for name in self._log.disk.names() if name.startswith(ARCHIVE_PREFIX)]

    def used(self) -> set[str]:
        """Return the names of the files that the ledger in memory refers to."""
        state = self._log.state
        return {job.archived.file for job in state.jobs.values() if job.archived is not None} | {
            key.archived.file for key in state.keys.values() if key.archived is not None
        }

    def collect(self) -> None:
        """Remove files that neither memory nor, by now, the snapshot refers to."""
        if not self._busy:
            used = self.used()
            for name in self.names():
                if name not in used:
                    self._log.disk.remove(name)

    # -- archiving ---------------------------------------------------------------------------------

    def archive_finished(self, done: Callable[[], None]) -> None:
        """Archive everything that is over, one file at a time, then call `done`.

        The event loop is free between files. A failed or refused write leaves the rest in memory.
        """
        state, log = self._log.state, self._log
        if self._busy or not state.unarchived:
            done()
            return
        name, page, entries = self._new_name(), bytearray(), []
        for kind, key in list(state.unarchived):
            del state.unarchived[(kind, key)]
            held = state.jobs.get(key) if kind == "lot" else state.keys.get(key)
            if held is not None and held.archived is None:
                entries.append(
                    self._put_job(held, name, page)
                    if kind == "lot"
                    else self._put_key(key, held, name, page)
                )
            if len(page) >= _FILE_BYTES:
                break
        if not entries:
            done()
            return
        self._busy = True

        def flushed(ok: bool) -> None:
            self._busy = False
            if not ok or log.state is not state:
                done()
                return
            for entry in entries:
                if (
                    (entry.job_id in state.jobs)
                    if isinstance(entry, e.JobArchived)
                    else (entry.key in state.keys)
                ):
                    state.apply(entry)
            self.on_archived(entries)
            self.archive_finished(done)

        try:
            log.disk.write(name, 0, bytes(page), True)
        except DiskFullError:
            self._busy = False
            log.disk.remove(name)
            for entry in entries:
                state.unarchived[
                    ("lot", entry.job_id)
                    if isinstance(entry, e.JobArchived)
                    else ("key", entry.key)
                ] = None
            done()
            return
        log.disk.flush([name], flushed)

    def _new_name(self) -> str:
        """Return a file name that no store has used, since files keep their names when copied."""
        return (
            f"{ARCHIVE_PREFIX}{self._log.identity}-{self._log.committed_seq:012d}-{self._token()}"
        )

    def _put_job(self, job: Job, name: str, page: bytearray) -> e.JobArchived:
        return self.put_rows(job, [job.row(position) for position in range(job.listed)], name, page)

    def put_rows(self, job: Job, rows: list[bytes], name: str, page: bytearray) -> e.JobArchived:
        """Append a lot's rows to `page` as leaves and return the entry that refers to them."""
        places, sizes, firsts = [], [], []
        first = 0
        while first < len(rows):
            up_to, size_bytes = first, 0
            while up_to < len(rows) and (
                up_to == first or size_bytes + len(rows[up_to]) <= _LEAF_BYTES
            ):
                size_bytes += len(rows[up_to])
                up_to += 1
            data = _packed(ArchiveBlock(name=job.job_id, rows=rows[first:up_to]))
            places.append(len(page))
            sizes.append(len(data))
            firsts.append(first)
            page += data
            first = up_to
        return e.JobArchived(
            job_id=job.job_id,
            digest=job.digest,
            path=job.path,
            safe=job.safe,
            due_ms=job.due_ms,
            at_ms=job.at_ms,
            total=job.total,
            finished=job.total - job.unfinished,
            listed=job.listed,
            cancelled=job.cancelled,
            cancelled_at_ms=job.cancelled_at_ms,
            file=name,
            block_offsets=places,
            block_sizes=sizes,
            first_positions=firsts,
        )

    def _put_key(self, key: str, held: IdempotencyKey, name: str, page: bytearray) -> e.KeyArchived:
        data = _packed(ArchiveBlock(name=key, rows=[held.body.encode()]))
        page += data
        return e.KeyArchived(
            key=key,
            digest=held.digest,
            edge=held.edge,
            request_id=held.request_id,
            status=held.status,
            at_ms=held.at_ms,
            file=name,
            block_offset=len(page) - len(data),
            block_size=len(data),
        )

    # -- reading -------------------------------------------------------------------------------

    def _leaf(self, name: str, file: str, place: int, size: int) -> list[bytes] | None:
        frames, end = walk(self._log.disk.read_at(file, place, size))
        if len(frames) != 1 or end != size:
            return None
        leaf = decode(zlib.decompress(frames[0][1]))
        return leaf.rows if leaf.name == name else None

    def read_results(self, job: Job, from_index: int, limit: int) -> list[bytes] | None:
        """Return results of a lot from an index on, at most `limit` and from one leaf only.

        None is returned if the leaf is damaged or isn't here.
        """
        shelf = job.archived
        at = max(
            (number for number, first in enumerate(shelf.first_positions) if first <= from_index),
            default=-1,
        )
        if at < 0 or from_index >= job.listed:
            return []
        rows = self._leaf(job.job_id, shelf.file, shelf.block_offsets[at], shelf.block_sizes[at])
        return None if rows is None else rows[from_index - shelf.first_positions[at] :][:limit]

    def read_answer(self, key: IdempotencyKey) -> str | None:
        """Return the archived final answer of a key, or None if it is damaged or isn't here."""
        rows = self._leaf(
            key.archived.key, key.archived.file, key.archived.block_offset, key.archived.block_size
        )
        return None if rows is None else rows[0].decode()

    def sweep(self) -> list[tuple[str, str]]:
        """Read the next file through and return the (kind, name) of what is damaged in it."""
        names = self.names()
        if not names:
            return []
        self._swept = next((name for name in names if name > self._swept), names[0])
        data = self._log.disk.read(self._swept)
        return [] if walk(data)[1] == len(data) else self.damaged(self._swept)

    def damaged(self, file: str) -> list[tuple[str, str]]:
        """Return the (kind, name) of all lots and keys with a damaged leaf in a file."""
        state = self._log.state
        jobs = [
            ("lot", job.job_id)
            for job in state.jobs.values()
            if job.archived is not None
            and job.archived.file == file
            and any(
                self._leaf(job.job_id, file, place, size) is None
                for place, size in zip(
                    job.archived.block_offsets, job.archived.block_sizes, strict=True
                )
            )
        ]
        return jobs + [
            ("key", name)
            for name, key in state.keys.items()
            if key.archived is not None
            and key.archived.file == file
            and self.read_answer(key) is None
        ]

    def rewrite(
        self, kind: str, name: str, rows: list[bytes], done: Callable[[bool], None]
    ) -> None:
        """Write rows that another replica had intact into a new file here.

        `done` gets False if the lot or key isn't archived here, a snapshot is being written, or the
        disk refuses.
        """
        log = self._log
        held = log.state.jobs.get(name) if kind == "lot" else log.state.keys.get(name)
        if held is None or held.archived is None or log.busy():
            done(False)
            return
        file, page = self._new_name(), bytearray()
        if kind == "lot":
            entry: Any = self.put_rows(held, rows, file, page)
        else:
            page += _packed(ArchiveBlock(name=name, rows=rows))
            entry = e.KeyArchived(
                **{
                    **held.archived.as_dict(),
                    "file": file,
                    "block_offset": 0,
                    "block_size": len(page),
                }
            )

        def flushed(ok: bool) -> None:
            if ok:
                log.state.apply(entry)
                self.on_archived([entry])
            done(ok)

        try:
            log.disk.write(file, 0, bytes(page), True)
        except DiskFullError:
            done(False)
            return
        log.disk.flush([file], flushed)
