"""What the engine of a stand-in worker remembers of a call and of a part of a prompt."""

from facsimile.platform_days.engine_messages import Asked

__all__ = ["Call", "PromptPart"]


class PromptPart:
    """A part of a prompt in memory: whole once somebody has read it to its end, kept while nobody uses it."""

    __slots__ = ("tokens", "users", "whole")

    def __init__(self, tokens: int) -> None:
        self.tokens, self.users, self.whole = tokens, 0, False


class Call:
    __slots__ = (
        "asked",
        "begun",
        "break_after",
        "due_ms",
        "held",
        "ill",
        "made",
        "number",
        "own_tokens",
        "piece",
        "run",
        "unread",
    )

    def __init__(self, asked: Asked, number: int, due_ms: float | None) -> None:
        self.asked, self.number, self.due_ms = asked, number, due_ms
        self.begun = False
        self.run = 0
        self.ill = ""
        self.break_after = 0
        self.made = 0
        self.own_tokens = 0
        self.held: list[str] = []
        self.unread = 0
        self.piece = 0

    @property
    def rank(self) -> tuple[int, int]:
        return self.asked.urgency, self.number

    @property
    def context(self) -> int:
        return self.asked.tokens_in + self.own_tokens
