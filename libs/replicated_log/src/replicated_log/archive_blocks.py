"""The format of archive files: blocks of rows, each stored as a compressed, checksummed frame."""

import zlib
from enum import StrEnum
from typing import NamedTuple

from batch_state.entries import JobArchived, KeyArchived
from batch_state.jobs import Job
from batch_state.state import IdempotencyKey
from messaging import Message, decode_as, encode
from storage import frame, read_frames

__all__ = ["ArchiveBlock", "ArchiveFile", "ArchivedItem", "ArchivedKind", "decode_block"]

_BLOCK_BYTES = 1 << 17
_COMPRESSION_LEVEL = 1


class ArchivedKind(StrEnum):
    """Whether rows belong to a job or a key; the values are those of messages and RecordKind."""

    JOB = "lot"
    KEY = "key"


class ArchivedItem(NamedTuple):
    """The job or key that archived rows belong to."""

    kind: ArchivedKind
    name: str


class ArchiveBlock(Message, wire_name="Leaf"):
    """A group of archived rows of one job or key.

    `name` is the job or key, by which a block read from a wrong location is detected.
    """

    name: str
    rows: list[bytes]


def decode_block(data: bytes, name: str) -> list[bytes] | None:
    """Return the rows of a block, or None if it is damaged or belongs to another name."""
    frames, end = read_frames(data)
    if len(frames) != 1 or end != len(data):
        return None
    block = decode_as(ArchiveBlock, zlib.decompress(frames[0][1]))
    return block.rows if block.name == name else None


class ArchiveFile:
    """An archive file being built; `content` has the blocks added so far."""

    __slots__ = ("content", "name")

    def __init__(self, name: str) -> None:
        self.name = name
        self.content = bytearray()

    def _add_block(self, name: str, rows: list[bytes]) -> int:
        """Add a block and return its size in bytes."""
        data = frame(zlib.compress(encode(ArchiveBlock(name=name, rows=rows)), _COMPRESSION_LEVEL))
        self.content += data
        return len(data)

    def add_job(self, job: Job, rows: list[bytes]) -> JobArchived:
        """Add a job's results, one row each, and return the entry that refers to them."""
        offsets, sizes, first_indexes = [], [], []
        first = 0
        while first < len(rows):
            end = _end_of_block(rows, first)
            offsets.append(len(self.content))
            sizes.append(self._add_block(job.job_id, rows[first:end]))
            first_indexes.append(first)
            first = end
        return JobArchived(
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
            file=self.name,
            block_offsets=offsets,
            block_sizes=sizes,
            first_positions=first_indexes,
        )

    def add_key(self, name: str, key: IdempotencyKey) -> KeyArchived:
        """Add the final response of a key and return the entry that refers to it."""
        offset = len(self.content)
        size_bytes = self._add_block(name, [key.body.encode()])
        return KeyArchived(
            key=name,
            digest=key.digest,
            edge=key.edge,
            request_id=key.request_id,
            status=key.status,
            at_ms=key.at_ms,
            file=self.name,
            block_offset=offset,
            block_size=size_bytes,
        )

    def add_archived_key(self, archived: KeyArchived, rows: list[bytes]) -> KeyArchived:
        """Add the rows of a key that another file has and return an entry that refers to this one.

        The other fields of the entry are those of `archived`.
        """
        offset = len(self.content)
        size_bytes = self._add_block(archived.key, rows)
        moved = {"file": self.name, "block_offset": offset, "block_size": size_bytes}
        return KeyArchived(**{**archived.as_dict(), **moved})


def _end_of_block(rows: list[bytes], first: int) -> int:
    """Return the index after the last row of the block that begins with row `first`.

    A block has at most `_BLOCK_BYTES` of rows, unless its first row alone is larger.
    """
    end, size_bytes = first, 0
    while end < len(rows) and (end == first or size_bytes + len(rows[end]) <= _BLOCK_BYTES):
        size_bytes += len(rows[end])
        end += 1
    return end
