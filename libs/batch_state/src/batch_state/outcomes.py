"""Outcomes and states that messages, log entries and responses carry as text.

The members' text is on the wire, on disk and in responses to clients, so it must not change.
"""

from enum import StrEnum

__all__ = [
    "AppendOutcome",
    "ItemResult",
    "ItemState",
    "JobOutcome",
    "KeyOutcome",
    "KeyState",
    "RecordKind",
]


class AppendOutcome(StrEnum):
    """What became of an append to the log.

    COMMITTED: it is acknowledged as durably as was asked. FULL: it was refused for want of space
    and has no effect. UNKNOWN: it may or may not survive.
    """

    COMMITTED = "kept"
    FULL = "full"
    UNKNOWN = "unknown"


class JobOutcome(StrEnum):
    """The outcome of a request about a job.

    CONFLICT: other content came before under the same id. BACKLOG_FULL: the path's backlog limit is
    reached. UNKNOWN_PATH: no such profile is in force. BEYOND_END: the job has no such index.
    STALE: the request's stamp is too old. FULL: the stores have no space. UNKNOWN: the request may
    or may not have been applied.
    """

    ADMITTED = "admitted"
    KNOWN = "known"
    MISSING = "missing"
    CONFLICT = "conflict"
    BACKLOG_FULL = "no_room"
    UNKNOWN_PATH = "no_path"
    BEYOND_END = "beyond"
    STALE = "stale"
    FULL = "full"
    UNKNOWN = "unknown"


class KeyOutcome(StrEnum):
    """The outcome of a request about an idempotency key.

    OPENED: the request may run now. OPEN: it runs already. IN_DOUBT: nobody knows whether it ran.
    RECORDED: the response carries its final answer. CONFLICT: other content came before under the
    same key. The others are as in `JobOutcome`.
    """

    OPENED = "opened"
    OPEN = "open"
    IN_DOUBT = "doubt"
    RECORDED = "recorded"
    KNOWN = "known"
    CONFLICT = "conflict"
    STALE = "stale"
    FULL = "full"
    UNKNOWN = "unknown"


class KeyState(StrEnum):
    """The state of a request under an idempotency key.

    VOID: it has certainly not run, so the key may be opened again. DONE: its answer is recorded.
    """

    OPEN = "open"
    IN_DOUBT = "doubt"
    VOID = "void"
    DONE = "done"


class ItemState(StrEnum):
    """The state of an item: nobody has it, an edge has claimed it, or its result is known."""

    WAITING = "waiting"
    CLAIMED = "claimed"
    FINISHED = "finished"


class ItemResult(StrEnum):
    """What an edge reports of an item, and what is listed as its outcome.

    Items of our own interface have further outcomes, which are passed through. RETURNED: it hasn't
    run, so its claim is given back. MAY_HAVE_RUN: nobody knows. FINISHED, DEAD (no worker can do
    it) and FAILED (one attempt) are of forwarded items.
    """

    RETURNED = "again"
    MAY_HAVE_RUN = "may_have_run"
    FINISHED = "finished"
    DEAD = "dead"
    FAILED = "failed"


class RecordKind(StrEnum):
    """The kind of a record that can be archived."""

    JOB = "lot"
    KEY = "key"
