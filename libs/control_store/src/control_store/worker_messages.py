"""Messages about workers: their reports, and messages to the owner of the worker list."""

from enum import StrEnum

from messaging import Message

__all__ = ["WorkerHeartbeats", "WorkerLeft", "WorkerReport", "WorkerReportAck", "WorkerState"]


class WorkerState(StrEnum):
    """The state of a worker in a report.

    - SERVING: accepts requests; reported by the worker.
    - DRAINING: finishes its requests and accepts no new ones; reported by the worker.
    - GONE: has ended permanently; reported by the worker.
    - SILENT: no control node receives heartbeats from it; reported by the owner of the list.
    """

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"
    SILENT = "silent"


# The names of a stored record's fields, and its numbers.
_RECORD_BYTES = 150


class WorkerReport(Message):
    """A report about one worker.

    Parameters
    ----------
    identity
        The identity of the worker.
    address
        Its address for requests.
    zone
        The zone that it runs in.
    label
        The label by which profiles select workers.
    slots
        The number of requests that it runs concurrently.
    state
        A value of `WorkerState`.
    seq
        The sequence number of the report.
    models
        A JSON list of the models that it has loaded.
    """

    identity: str
    address: str
    zone: str
    label: str
    slots: int
    state: str
    seq: int
    models: str

    @property
    def size_bytes(self) -> int:
        """Approximately the size of the worker's record in the stored list, in bytes."""
        texts = (self.identity, self.address, self.zone, self.label, self.models)
        return _RECORD_BYTES + sum(len(text) for text in texts)


class WorkerHeartbeats(Message, wire_name="WorkersHeard"):
    """Passes the heartbeats that a control node received to the owner of the list, each period.

    Parameters
    ----------
    identities
        The workers that sent heartbeats since the previous message, or in the period before it.
    reports
        Encoded `WorkerReport`s that may change the list.
    """

    identities: list[str]
    reports: list[bytes]


class WorkerLeft(Message, wire_name="WorkerLeaves"):
    """Passes the encoded report of a draining or ended worker to the owner of the list."""

    report: bytes


class WorkerReportAck(Message, wire_name="WorkerNoted"):
    """The reply to WorkerHeartbeats and WorkerLeft.

    `ok` is set if the replying node owns the list and, for WorkerLeft, if the change is in force.
    """

    ok: bool
