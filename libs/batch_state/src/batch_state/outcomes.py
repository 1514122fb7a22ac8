"""Outcomes and states that messages, log entries and responses carry as text.

The members' values are on the wire, on disk and in responses to clients, so they must not change.
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
    """The outcome of an append to the log.

    COMMITTED: the entries are as durable as the caller requested. FULL: the append was refused for
    lack of space and has no effect. UNKNOWN: the entries may or may not survive.
    """

    COMMITTED = "kept"
    FULL = "full"
    UNKNOWN = "unknown"


class JobOutcome(StrEnum):
    """The outcome of a request about a job.

    KNOWN: the job exists, and the response describes it. MISSING: there is no such job or item.
    CONFLICT: the id belongs to a submission with other content. BACKLOG_FULL: the path's backlog
    limit is reached. UNKNOWN_PATH: no profile in force accepts such jobs on the path. BEYOND_END:
    the read starts at an index above the job's total. STALE: the request is of another epoch of the
    leader, too old, or a copy of one that was refused. FULL: the stores have no space. UNKNOWN: the
    request may or may not have been applied, or the answer to a read isn't known.
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

    OPENED: the request may run now. OPEN: another request under the key may be running.
    IN_DOUBT: it isn't known whether the request ran. RECORDED: the response carries the final
    status and body. CONFLICT: the key belongs to a request with other content. KNOWN: a request
    to close was handled. The others are as in `JobOutcome`.
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

    OPEN: it may be running. IN_DOUBT: it isn't known whether it ran. VOID: it has certainly not
    run, so the key may be opened again. DONE: its final response is recorded.
    """

    OPEN = "open"
    IN_DOUBT = "doubt"
    VOID = "void"
    DONE = "done"


class ItemState(StrEnum):
    """The state of an item: unclaimed, claimed by an edge, or ended with a result."""

    WAITING = "waiting"
    CLAIMED = "claimed"
    FINISHED = "finished"


class ItemResult(StrEnum):
    """The outcome that an edge reports of an item; unless RETURNED or FAILED, it is also listed.

    RETURNED: the claim is returned, because the item hasn't run under it. MAY_HAVE_RUN: it isn't
    known whether the item ran. Only of forwarded items: FINISHED, DEAD (no worker can run the item)
    and FAILED (one attempt failed). Edges report further outcomes of items of ordinary jobs, which
    are recorded unchanged.
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
