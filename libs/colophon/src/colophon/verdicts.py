"""A verdict says whether a request may have run. A refusal is an error value that always carries
one; it travels in expression's Result and becomes the body of every error that a caller sees.
"""

from enum import StrEnum
from typing import Any

__all__ = ["Refusal", "Verdict", "doubtful", "refused"]


class Verdict(StrEnum):
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class Refusal:
    __slots__ = ("code", "field", "message", "problems", "retry_after_ms", "status", "verdict")

    def __init__(
        self,
        verdict: Verdict,
        code: str,
        message: str,
        status: int,
        retry_after_ms: int = 0,
        field: str = "",
        problems: list | None = None,
    ) -> None:
        self.verdict = verdict
        self.code = code
        self.message = message
        self.status = status
        self.retry_after_ms = retry_after_ms
        self.field = field
        self.problems = problems or []

    def body(self) -> dict[str, Any]:
        inner: dict[str, Any] = {
            "verdict": str(self.verdict),
            "code": self.code,
            "message": self.message,
        }
        if self.field:
            inner["field"] = self.field
        if self.problems:
            inner["problems"] = self.problems
        if self.retry_after_ms:
            inner["retry_after_ms"] = self.retry_after_ms
        return {"error": inner}

    def __repr__(self) -> str:
        return f"Refusal({self.verdict}, {self.code}, {self.status}, {self.message!r})"


def refused(
    code: str,
    message: str,
    status: int = 400,
    retry_after_ms: int = 0,
    field: str = "",
    problems: list | None = None,
) -> Refusal:
    return Refusal(Verdict.NOT_RUN, code, message, status, retry_after_ms, field, problems)


def doubtful(code: str, message: str, retry_after_ms: int = 0, status: int = 503) -> Refusal:
    return Refusal(Verdict.MAY_HAVE_RUN, code, message, status, retry_after_ms)
