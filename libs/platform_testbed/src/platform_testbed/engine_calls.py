"""State of a simulated engine: its requests, and the prompt parts in its cache."""

from platform_testbed.engine_messages import EngineRequest

__all__ = ["Call", "PromptPart"]


class PromptPart:
    """A named part of a prompt in the cache, of a fixed number of tokens.

    `users` counts the calls that hold it. An unused part stays cached until its tokens are needed,
    if it is `complete`, that is if a call has processed its prompt to the end.
    """

    __slots__ = ("complete", "tokens", "users")

    def __init__(self, tokens: int) -> None:
        self.tokens, self.users, self.complete = tokens, 0, False


class Call:
    """A request in the engine, queued or in the running batch.

    Attributes
    ----------
    number
        Position in the order of arrival at the engine.
    due_ms
        Deadline on the engine's clock; None for no deadline.
    started, run
        Whether the first token was produced, and the number that the run then got.
    fault
        Fault that the answer will have; empty for none.
    break_after
        Events after which the faults `short` and `cut` break the answer off.
    events_made, output_tokens
        Events and tokens produced so far.
    part_names
        Prompt parts that the call holds in the cache.
    prompt_left, prompt_chunk
        Tokens still to be processed before the next event (the prompt and, after a preemption, the
        output so far), and those that the present step processes.
    """

    __slots__ = (
        "break_after",
        "due_ms",
        "events_made",
        "fault",
        "number",
        "output_tokens",
        "part_names",
        "prompt_chunk",
        "prompt_left",
        "request",
        "run",
        "started",
    )

    def __init__(self, request: EngineRequest, number: int, due_ms: float | None) -> None:
        self.request, self.number, self.due_ms = request, number, due_ms
        self.started = False
        self.run = 0
        self.fault = ""
        self.break_after = 0
        self.events_made = 0
        self.output_tokens = 0
        self.part_names: list[str] = []
        self.prompt_left = 0
        self.prompt_chunk = 0

    @property
    def rank(self) -> tuple[int, int]:
        """Scheduling order: by urgency (lower first), then by arrival."""
        return self.request.urgency, self.number

    @property
    def context(self) -> int:
        """Context length in tokens: the prompt and the output so far."""
        return self.request.tokens_in + self.output_tokens
