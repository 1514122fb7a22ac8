"""The outcome of an attempt at a worker, and the fault of the worker that a failure shows."""

from enum import StrEnum

__all__ = ["NO_CONNECTION", "AttemptOutcome", "OutcomeKind", "WorkerFault", "failed"]

NO_CONNECTION = "no connection"
"""The reason of a failed attempt whose connection was never made."""


class OutcomeKind(StrEnum):
    """The kinds of outcome.

    COMPLETE: a complete successful response. REJECTED: the worker's response that the request is
    invalid, which is final. WORKER_ERROR: the worker's error response. FAILED: anything else.
    """

    COMPLETE = "complete"
    REJECTED = "rejected"
    WORKER_ERROR = "worker-error"
    FAILED = "failed"


class WorkerFault(StrEnum):
    """The fault of a worker that a failed attempt shows; NONE if it shows none.

    DOWN: the connection failed, or the worker stalled. MISMATCH: another worker responds at its
    address. OVERLOADED: it has no free slot. PROTOCOL: its response violates the protocol.
    """

    NONE = ""
    DOWN = "down"
    MISMATCH = "mismatch"
    OVERLOADED = "full"
    PROTOCOL = "odd"


class AttemptOutcome:
    """The outcome of an attempt.

    Parameters
    ----------
    kind
        The kind of outcome.
    status, body
        HTTP status and body of the response; 0 and empty if the attempt failed.
    may_have_run
        False only if the worker certainly did not run the request.
    reason
        Why the attempt did not succeed; it appears in refusals and log lines.
    fault
        The worker's fault that the failure shows.
    """

    __slots__ = ("body", "fault", "kind", "may_have_run", "reason", "status")

    def __init__(
        self,
        kind: OutcomeKind,
        status: int = 0,
        body: str | bytes = "",
        may_have_run: bool = True,
        reason: str = "",
        fault: WorkerFault = WorkerFault.NONE,
    ) -> None:
        self.kind, self.status, self.body = kind, status, body
        self.may_have_run, self.reason, self.fault = may_have_run, reason, fault


def failed(
    may_have_run: bool, reason: str, fault: WorkerFault = WorkerFault.NONE
) -> AttemptOutcome:
    """Return an outcome of kind FAILED; `may_have_run` as in `AttemptOutcome`."""
    return AttemptOutcome(OutcomeKind.FAILED, may_have_run=may_have_run, reason=reason, fault=fault)
