"""Archive files for the results of closed jobs and the final responses of idempotency keys.

Memory holds only the location of archived contents. An archive file is written once and flushed.
Only after the flush are the contents in memory replaced by references to the file, so only later
snapshots refer to it. A file to which no job or key refers is removed after the next snapshot.
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

    `on_archived` is called with the entries whose contents are no longer in memory.

    Parameters
    ----------
    log
        The log of the replica; its archive files are on the same disk.
    token
        Returns a new unique string, which becomes a part of a file name.
    """

    __slots__ = ("_busy", "_checked_file", "_log", "_token", "on_archived")

    def __init__(self, log: "LocalLog", token: Callable[[], str]) -> None:
        self._log = log
        self._token = token
        self._busy = False
        self._checked_file = ""
        self.on_archived: Callable[[list[ArchivedEntry]], None] = lambda entries: None

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
        """Remove the files to which the state in memory doesn't refer.

        Called on opening and once a new snapshot is on disk, since the snapshot before it may refer
        to more files. Does nothing while contents are being archived.
        """
        if not self._busy:
            referenced = self.referenced()
            for name in self.names():
                if name not in referenced:
                    self._log.disk.remove(name)

    def _new_file(self) -> ArchiveFile:
        """Return an empty file whose name is unique among all stores.

        Other replicas store their copies under the same name.
        """
        log = self._log
        return ArchiveFile(
            f"{ARCHIVE_PREFIX}{log.identity}-{log.committed_seq:012d}-{self._token()}"
        )

    def archive_finished(self, done: Callable[[], None]) -> None:
        """Archive the contents of all closed jobs and keys, one file at a time, then call `done`.

        Returns to the event loop during the flush of each file. If a write or flush fails, the
        contents that aren't archived yet stay in memory.
        """
        state = self._log.state
        if self._busy or not state.unarchived:
            done()
            return
        file = self._new_file()
        entries = _add_unarchived(file, state)
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
            self._drop_contents(entries, state)
            self.archive_finished(done)

        self._log.disk.flush([file.name], flushed)

    def _drop_contents(self, entries: list[ArchivedEntry], state: BatchState) -> None:
        """Replace the contents in memory by references, except for expired jobs and keys."""
        for entry in entries:
            kind, name = _item_of(entry)
            if name in (state.jobs if kind is ArchivedKind.JOB else state.keys):
                state.apply(entry)
        self.on_archived(entries)

    def _read_block(self, name: str, file: str, offset: int, size: int) -> list[bytes] | None:
        data = self._log.disk.read_at(file, offset, size)
        return decode_block(data, name) if len(data) == size else None

    def read_results(self, job: Job, from_index: int, limit: int) -> list[bytes] | None:
        """Return at most `limit` archived results of a job, starting at `from_index`.

        All of them come from one block, so there may be fewer. The list is empty after the last
        result. Returns None if the block is damaged or missing on this disk, or if the job isn't
        archived.
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
        """Return the archived final response of a key.

        Returns None if it is damaged or missing on this disk, or if the key isn't archived.
        """
        archived = key.archived
        if archived is None:
            return None
        rows = self._read_block(
            archived.key, archived.file, archived.block_offset, archived.block_size
        )
        return None if rows is None else rows[0].decode()

    def check_next_file(self) -> list[ArchivedItem]:
        """Check the next archive file and return the jobs and keys with damaged blocks in it.

        Successive calls go through the files in the order of their names, then start again.
        """
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
        """Write intact rows from another replica to a new archive file on this disk.

        `done` is called with True once the rows are on disk and the job or key refers to them. It
        is called with False if the job or key isn't archived on this replica, a snapshot is being
        written, the disk is full or the flush fails.
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


def _add_unarchived(file: ArchiveFile, state: BatchState) -> list[ArchivedEntry]:
    """Add unarchived jobs and keys to a file until it has `_FILE_BYTES` or none are left.

    They are removed from `unarchived`. Returns the entries that refer to them.
    """
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
    """Add a job or key to a file, unless it has expired or is already archived."""
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
    """Add the rows of an archived job or key to a new file and return the new reference."""
    if item.kind is ArchivedKind.JOB:
        return file.add_job(state.jobs[item.name], rows)
    archived = state.keys[item.name].archived
    assert archived is not None, "the key is archived"
    return file.add_archived_key(archived, rows)
