"""The outcome of one attempt at a worker, and what a failure says of the worker."""

from enum import StrEnum

__all__ = ["NO_CONNECTION", "AttemptOutcome", "OutcomeKind", "WorkerFault", "failed"]

NO_CONNECTION = "no connection"
"""The reason of an attempt whose connection was never made."""


class OutcomeKind(StrEnum):
    """The kinds of outcome.

    COMPLETE is a complete success, REJECTED the worker's final answer that the request is wrong,
    WORKER_ERROR its answer that it failed at the request, FAILED anything else.
    """

    COMPLETE = "complete"
    REJECTED = "rejected"
    WORKER_ERROR = "worker-error"
    FAILED = "failed"


class WorkerFault(StrEnum):
    """What a failed attempt says of its worker.

    DOWN: its connection failed. MISMATCH: another worker answers at its address. OVERLOADED: it has
    no free slot. PROTOCOL: its answer breaks the protocol.
    """

    NONE = ""
    DOWN = "down"
    MISMATCH = "mismatch"
    OVERLOADED = "full"
    PROTOCOL = "odd"


class AttemptOutcome:
    """The outcome of an attempt.

    `status` and `body` are those of an answer; of a failure, `may_have_run` says whether the worker
    may have run the request, `reason` what happened, and `fault` what that says of the worker.
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
    """Return the outcome of a failed attempt."""
    return AttemptOutcome(OutcomeKind.FAILED, may_have_run=may_have_run, reason=reason, fault=fault)
