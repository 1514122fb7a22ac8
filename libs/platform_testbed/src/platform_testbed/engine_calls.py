"""What the engine of a simulated worker keeps of a call and of a part of a prompt."""

from platform_testbed.engine_messages import EngineRequest

__all__ = ["Call", "PromptPart"]


class PromptPart:
    """A part of a prompt in memory, kept while nobody uses it until room is needed.

    It is `whole` once a call has read it to its end.
    """

    __slots__ = ("tokens", "users", "whole")

    def __init__(self, tokens: int) -> None:
        self.tokens, self.users, self.whole = tokens, 0, False


class Call:
    """A call in the engine: waiting, or running with so much of its prompt unread.

    `due_ms` is its deadline on the engine's clock, `run` its number once it has begun, `made` the
    events made so far, and `piece` the tokens that the present step reads.
    """

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

    def __init__(self, asked: EngineRequest, number: int, due_ms: float | None) -> None:
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
        """The order in which calls are taken: by urgency, then by arrival."""
        return self.asked.urgency, self.number

    @property
    def context(self) -> int:
        """Tokens of the prompt and of what was made so far."""
        return self.asked.tokens_in + self.own_tokens
