"""Archive files for finished jobs and keys.

They hold the results of jobs that are over and the final answers of keys that are done, so that
memory has only an index of them. A file is written once and flushed; only then do references to it
replace the contents in memory, and only a later snapshot refers to it. A file that no job or key
refers to is removed after the next snapshot.
"""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from batch_state.entries import JobArchived, KeyArchived
from batch_state.jobs import Job
from batch_state.state import BatchState, IdempotencyKey
from messaging import Message
from storage import DiskFullError, read_frames

from replicated_log.archive_blocks import ArchivedItem, ArchivedKind, ArchiveFile, decode_block

if TYPE_CHECKING:
    from replicated_log.local_log import LocalLog

__all__ = ["ARCHIVE_PREFIX", "ArchiveStore", "referenced_files"]

ARCHIVE_PREFIX = "shelf-"
_FILE_BYTES = 1 << 20

ArchivedEntry = JobArchived | KeyArchived


def referenced_files(entries: Iterable[Message]) -> set[str]:
    """Return the names of the archive files that snapshot entries refer to."""
    return {entry.file for entry in entries if isinstance(entry, JobArchived | KeyArchived)}


class ArchiveStore:
    """The archive files of one replica.

    `log` is the log beside which they lie, `token` makes unique parts of file names. `on_archived`
    gets the entries whose contents have left memory.
    """

    __slots__ = ("_busy", "_checked_file", "_log", "_token", "on_archived")

    def __init__(self, log: "LocalLog", token: Callable[[], str]) -> None:
        self._log = log
        self._token = token
        self._busy = False
        self._checked_file = ""
        self.on_archived: Callable[[list[ArchivedEntry]], None] = lambda entries: None

    # -- files ---------------------------------------------------------------------------------

    def names(self) -> list[str]:
        """Return the names of all archive files on this disk."""
        return [name for name in self._log.disk.names() if name.startswith(ARCHIVE_PREFIX)]

    def referenced(self) -> set[str]:
        """Return the names of the files that the state in memory refers to."""
        state = self._log.state
        return {job.archived.file for job in state.jobs.values() if job.archived is not None} | {
            key.archived.file for key in state.keys.values() if key.archived is not None
        }

    def remove_unreferenced(self) -> None:
        """Remove files that neither memory nor, by now, the snapshot refers to."""
        if not self._busy:
            referenced = self.referenced()
            for name in self.names():
                if name not in referenced:
                    self._log.disk.remove(name)

    def _new_file(self) -> ArchiveFile:
        """Return a file with a name that no store has used, since copies keep their names."""
        log = self._log
        return ArchiveFile(
            f"{ARCHIVE_PREFIX}{log.identity}-{log.committed_seq:012d}-{self._token()}"
        )

    # -- archiving -----------------------------------------------------------------------------

    def archive_finished(self, done: Callable[[], None]) -> None:
        """Archive everything that is over, one file at a time, then call `done`.

        The event loop is free between files. A failed or refused write leaves the rest in memory.
        """
        state = self._log.state
        if self._busy or not state.unarchived:
            done()
            return
        file = self._new_file()
        entries = _fill(file, state)
        if not entries:
            done()
            return
        self._busy = True
        try:
            self._log.disk.write(file.name, 0, bytes(file.content), True)
        except DiskFullError:
            self._busy = False
            self._log.disk.remove(file.name)
            for entry in entries:
                state.unarchived[_item_of(entry)] = None
            done()
            return

        def flushed(ok: bool) -> None:
            self._busy = False
            if not ok or self._log.state is not state:
                done()
                return
            self._release(entries, state)
            self.archive_finished(done)

        self._log.disk.flush([file.name], flushed)

    def _release(self, entries: list[ArchivedEntry], state: BatchState) -> None:
        """Replace the contents in memory by references, where they haven't expired meanwhile."""
        for entry in entries:
            kind, name = _item_of(entry)
            if name in (state.jobs if kind is ArchivedKind.JOB else state.keys):
                state.apply(entry)
        self.on_archived(entries)

    # -- reading -------------------------------------------------------------------------------

    def _read_block(self, name: str, file: str, offset: int, size: int) -> list[bytes] | None:
        data = self._log.disk.read_at(file, offset, size)
        return decode_block(data, name) if len(data) == size else None

    def read_results(self, job: Job, from_index: int, limit: int) -> list[bytes] | None:
        """Return results of a job from an index on, at most `limit` and from one block only.

        None is returned if the block is damaged or isn't here.
        """
        archived = job.archived
        if archived is None:
            return None
        block = max(
            (
                number
                for number, first in enumerate(archived.first_positions)
                if first <= from_index
            ),
            default=-1,
        )
        if block < 0 or from_index >= job.listed:
            return []
        rows = self._read_block(
            job.job_id, archived.file, archived.block_offsets[block], archived.block_sizes[block]
        )
        return (
            None if rows is None else rows[from_index - archived.first_positions[block] :][:limit]
        )

    def read_answer(self, key: IdempotencyKey) -> str | None:
        """Return the archived final answer of a key, or None if it is damaged or isn't here."""
        archived = key.archived
        if archived is None:
            return None
        rows = self._read_block(
            archived.key, archived.file, archived.block_offset, archived.block_size
        )
        return None if rows is None else rows[0].decode()

    # -- checking and repair -------------------------------------------------------------------

    def check_next_file(self) -> list[ArchivedItem]:
        """Read the next file through and return the jobs and keys with damaged blocks in it."""
        names = self.names()
        if not names:
            return []
        self._checked_file = next((name for name in names if name > self._checked_file), names[0])
        data = self._log.disk.read(self._checked_file)
        return [] if read_frames(data)[1] == len(data) else self._damaged_items(self._checked_file)

    def _damaged_items(self, file: str) -> list[ArchivedItem]:
        state = self._log.state
        jobs = [
            ArchivedItem(ArchivedKind.JOB, job.job_id)
            for job in state.jobs.values()
            if job.archived is not None
            and job.archived.file == file
            and any(
                self._read_block(job.job_id, file, offset, size) is None
                for offset, size in zip(
                    job.archived.block_offsets, job.archived.block_sizes, strict=True
                )
            )
        ]
        return jobs + [
            ArchivedItem(ArchivedKind.KEY, name)
            for name, key in state.keys.items()
            if key.archived is not None
            and key.archived.file == file
            and self.read_answer(key) is None
        ]

    def rewrite(self, item: ArchivedItem, rows: list[bytes], done: Callable[[bool], None]) -> None:
        """Write rows that another replica had intact into a new file here.

        `done` gets False if the job or key isn't archived here, a snapshot is being written, or the
        disk refuses.
        """
        log = self._log
        if log.snapshot_in_progress() or not _is_archived(log.state, item):
            done(False)
            return
        file = self._new_file()
        entry = _add_rows(file, log.state, item, rows)

        def flushed(ok: bool) -> None:
            if ok:
                log.state.apply(entry)
                self.on_archived([entry])
            done(ok)

        try:
            log.disk.write(file.name, 0, bytes(file.content), True)
        except DiskFullError:
            done(False)
            return
        log.disk.flush([file.name], flushed)


def _item_of(entry: ArchivedEntry) -> ArchivedItem:
    if isinstance(entry, JobArchived):
        return ArchivedItem(ArchivedKind.JOB, entry.job_id)
    return ArchivedItem(ArchivedKind.KEY, entry.key)


def _fill(file: ArchiveFile, state: BatchState) -> list[ArchivedEntry]:
    """Move what is over and not archived yet into a file, as far as there is room in it."""
    entries: list[ArchivedEntry] = []
    for kind, name in list(state.unarchived):
        del state.unarchived[(kind, name)]
        entry = _add_finished(file, state, kind, name)
        if entry is not None:
            entries.append(entry)
        if len(file.content) >= _FILE_BYTES:
            break
    return entries


def _add_finished(
    file: ArchiveFile, state: BatchState, kind: str, name: str
) -> ArchivedEntry | None:
    """Add a job or key to a file, unless it has expired or is in another file already."""
    if kind == ArchivedKind.JOB:
        job = state.jobs.get(name)
        if job is None or job.archived is not None:
            return None
        return file.add_job(job, [job.encoded_result(position) for position in range(job.listed)])
    key = state.keys.get(name)
    if key is None or key.archived is not None:
        return None
    return file.add_key(name, key)


def _is_archived(state: BatchState, item: ArchivedItem) -> bool:
    if item.kind is ArchivedKind.JOB:
        job = state.jobs.get(item.name)
        return job is not None and job.archived is not None
    key = state.keys.get(item.name)
    return key is not None and key.archived is not None


def _add_rows(
    file: ArchiveFile, state: BatchState, item: ArchivedItem, rows: list[bytes]
) -> ArchivedEntry:
    """Add rows of an archived job or key to a new file and return the entry that refers to them."""
    if item.kind is ArchivedKind.JOB:
        return file.add_job(state.jobs[item.name], rows)
    archived = state.keys[item.name].archived
    assert archived is not None, "the key is archived"
    return file.add_key_again(archived, rows)
