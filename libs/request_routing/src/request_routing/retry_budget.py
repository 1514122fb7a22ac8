"""The retry budget of a route: it keeps retries from multiplying the load while workers fail."""

__all__ = ["RetryBudget"]

_RETRY_TOKENS = 1.0


class RetryBudget:
    """A token bucket filled by first attempts, from which each retry takes a token.

    It holds at most as many tokens as one lost worker can have had requests in flight.
    """

    __slots__ = ("_max_tokens", "_tokens")

    def __init__(self, max_tokens: float = 10.0) -> None:
        self._max_tokens = max_tokens
        self._tokens = max_tokens

    def widen(self, max_tokens: float) -> None:
        """Raise the bound to `max_tokens` and add the difference; a lower bound has no effect."""
        if max_tokens > self._max_tokens:
            self._tokens += max_tokens - self._max_tokens
            self._max_tokens = max_tokens

    def earn(self, tokens: float) -> None:
        """Add `tokens` (a share of one) for a first attempt."""
        self._tokens = min(self._max_tokens, self._tokens + tokens)

    def spend(self) -> bool:
        """Take a token for a retry; false if there is none."""
        if self._tokens < _RETRY_TOKENS:
            return False
        self._tokens -= _RETRY_TOKENS
        return True
