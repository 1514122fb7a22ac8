"""The state of an idempotency key, and the log entries that rebuild it."""

from messaging import Message

from batch_state.entries import KeyArchived, KeyClosed, KeyOpened
from batch_state.outcomes import KeyState

__all__ = ["IdempotencyKey"]


class IdempotencyKey:
    """A request that isn't safe to repeat, under a client's key.

    `state` is a `KeyState`; `status` and `body` are its final answer, whose body is in an archive
    file once `archived` is set. `at_ms` is the log's time when it was opened. `cached_entries` has
    the encoded entries for snapshots.
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
        """Return a key that is known only by its archive entry, which is yet to be applied."""
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
        """Whether the request may still be closed."""
        return self.state in (KeyState.OPEN, KeyState.IN_DOUBT)

    def close(self, entry: KeyClosed) -> None:
        """Record how the request ended."""
        self.state = entry.state
        self.status = entry.status
        self.body = entry.body
        self.cached_entries = None

    def archive(self, entry: KeyArchived) -> None:
        """Drop the body, which is in an archive file."""
        self.archived, self.body, self.cached_entries = entry, "", None

    def dump(self) -> list[Message]:
        """Return entries that rebuild this very key."""
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
