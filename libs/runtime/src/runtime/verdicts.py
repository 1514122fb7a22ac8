"""Verdicts on whether a request may have run, and the refusals that report them to clients.

A refusal is the error value of an `expression.Result`, and makes up the body of an error response.
"""

from enum import StrEnum
from typing import Any

__all__ = ["Refusal", "Verdict", "doubtful", "refused"]


class Verdict(StrEnum):
    """Whether a request ran, and so may have had an effect."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class Refusal:
    """The refusal of a request, from which the response to the client is made.

    Parameters
    ----------
    verdict
        Whether the request may have run.
    code
        The kind of error, a stable name for programs.
    message
        The description of the error for people.
    status
        The HTTP status.
    retry_after_ms
        When to retry, in milliseconds from now; 0 to suggest no time.
    field
        The member of the request that is invalid, or empty.
    problems
        The problems found, where there may be several.
    """

    __slots__ = ("code", "field", "message", "problems", "retry_after_ms", "status", "verdict")

    def __init__(
        self,
        verdict: Verdict,
        code: str,
        message: str,
        status: int,
        retry_after_ms: int = 0,
        field: str = "",
        problems: list[Any] | None = None,
    ) -> None:
        self.verdict = verdict
        self.code = code
        self.message = message
        self.status = status
        self.retry_after_ms = retry_after_ms
        self.field = field
        self.problems = problems or []

    def body(self) -> dict[str, Any]:
        """Return the JSON object of the error response, without empty optional members."""
        error: dict[str, Any] = {
            "verdict": str(self.verdict),
            "code": self.code,
            "message": self.message,
        }
        if self.field:
            error["field"] = self.field
        if self.problems:
            error["problems"] = self.problems
        if self.retry_after_ms:
            error["retry_after_ms"] = self.retry_after_ms
        return {"error": error}

    def __repr__(self) -> str:
        return f"Refusal({self.verdict}, {self.code}, {self.status}, {self.message!r})"


def refused(
    code: str,
    message: str,
    status: int = 400,
    retry_after_ms: int = 0,
    field: str = "",
    problems: list[Any] | None = None,
) -> Refusal:
    """Return a refusal of a request that did not run."""
    return Refusal(Verdict.NOT_RUN, code, message, status, retry_after_ms, field, problems)


def doubtful(code: str, message: str, retry_after_ms: int = 0, status: int = 503) -> Refusal:
    """Return a refusal of a request that may have run, so that a retry may run it twice."""
    return Refusal(Verdict.MAY_HAVE_RUN, code, message, status, retry_after_ms)
