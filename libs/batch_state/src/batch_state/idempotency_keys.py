"""The state of an idempotency key, and the log entries that rebuild it."""

from messaging import Message

from batch_state.entries import KeyArchived, KeyClosed, KeyOpened
from batch_state.outcomes import KeyState

__all__ = ["IdempotencyKey"]


class IdempotencyKey:
    """A request that isn't safe to repeat, under a key that its client chose.

    `state` is a `KeyState`. `status` and `body` are the final HTTP response; once `archived` is
    set, its body is in an archive file. `at_ms` is when the key was opened, in milliseconds of the
    log's own time. `cached_entries` are the encoded entries for snapshots.
    """

    __slots__ = (
        "archived",
        "at_ms",
        "body",
        "cached_entries",
        "digest",
        "edge",
        "key",
        "request_id",
        "state",
        "status",
    )

    def __init__(self, entry: KeyOpened) -> None:
        self.key = entry.key
        self.digest = entry.digest
        self.edge = entry.edge
        self.request_id = entry.request_id
        self.state: str = KeyState.OPEN
        self.status = 0
        self.body = ""
        self.at_ms = entry.at_ms
        self.archived: KeyArchived | None = None
        self.cached_entries: list[bytes] | None = None

    @classmethod
    def from_archive(cls, entry: KeyArchived) -> "IdempotencyKey":
        """Return a key built from its archive entry alone; the caller must still `archive` it."""
        key = cls(
            KeyOpened(
                key=entry.key,
                digest=entry.digest,
                edge=entry.edge,
                request_id=entry.request_id,
                at_ms=entry.at_ms,
            )
        )
        key.state, key.status = KeyState.DONE, entry.status
        return key

    @property
    def may_change(self) -> bool:
        """Whether the key is open or in doubt, so that the request can still be closed."""
        return self.state in (KeyState.OPEN, KeyState.IN_DOUBT)

    def close(self, entry: KeyClosed) -> None:
        """Record the state of the request, and its final response if it has one."""
        self.state = entry.state
        self.status = entry.status
        self.body = entry.body
        self.cached_entries = None

    def archive(self, entry: KeyArchived) -> None:
        """Drop the response body, which is in the archive file from now on."""
        self.archived, self.body, self.cached_entries = entry, "", None

    def dump(self) -> list[Message]:
        """Return the entries that rebuild this key."""
        if self.archived is not None:
            return [self.archived]
        rows: list[Message] = [
            KeyOpened(
                key=self.key,
                digest=self.digest,
                edge=self.edge,
                request_id=self.request_id,
                at_ms=self.at_ms,
            )
        ]
        if self.state != KeyState.OPEN:
            rows.append(
                KeyClosed(
                    key=self.key,
                    request_id=self.request_id,
                    state=self.state,
                    status=self.status,
                    body=self.body,
                    at_ms=self.at_ms,
                )
            )
        return rows
