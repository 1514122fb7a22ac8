"""Messages about workers: their own reports, and what control nodes pass on to the list's owner."""

from enum import StrEnum

from messaging import Message

__all__ = ["WorkerHeartbeats", "WorkerLeft", "WorkerReport", "WorkerReportAck", "WorkerState"]


class WorkerState(StrEnum):
    """What a report says of a worker.

    - SERVING: it takes requests (reported by the worker).
    - DRAINING: it finishes its requests and takes no more (reported by the worker).
    - GONE: it has ended for good (reported by the worker).
    - SILENT: it sends no heartbeats (reported by the owner of the list).
    """

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"
    SILENT = "silent"


class WorkerReport(Message):
    """A report about one worker.

    `state` is a value of `WorkerState`. `slots` is how many requests the worker runs at once, `seq`
    the report's sequence number, and `models` a JSON list of the models that it has loaded.
    """

    identity: str
    address: str
    zone: str
    label: str
    slots: int
    state: str
    seq: int
    models: str


class WorkerHeartbeats(Message, wire_name="WorkersHeard"):
    """What a control node sends the list's owner each period.

    `identities` are the workers that sent heartbeats since the last message, and `reports` encoded
    `WorkerReport`s that may change the list.
    """

    identities: list[str]
    reports: list[bytes]


class WorkerLeft(Message, wire_name="WorkerLeaves"):
    """Passes a worker's report that it drains or ends, encoded, to the list's owner."""

    report: bytes


class WorkerReportAck(Message, wire_name="WorkerNoted"):
    """Reply to WorkerHeartbeats and WorkerLeft; `ok` if the replying node owns the list."""

    ok: bool
