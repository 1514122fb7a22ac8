"""The retry budget of a route, which keeps retries from multiplying the load while workers fail."""

__all__ = ["RetryBudget"]

_RETRY_TOKENS = 1.0


class RetryBudget:
    """A token bucket: each request adds a fraction of a token, each charged retry takes one token.

    Its capacity has to cover the requests in flight at one worker, so that all of them can be
    retried when that worker is lost; `raise_limit` raises it for larger workers. A new bucket is
    full.
    """

    __slots__ = ("_max_tokens", "_tokens")

    def __init__(self, max_tokens: float = 10.0) -> None:
        self._max_tokens = max_tokens
        self._tokens = max_tokens

    def raise_limit(self, max_tokens: float) -> None:
        """Raise the capacity to `max_tokens` and add the difference; never lowers it."""
        if max_tokens > self._max_tokens:
            self._tokens += max_tokens - self._max_tokens
            self._max_tokens = max_tokens

    def earn(self, tokens: float) -> None:
        """Add `tokens`, a fraction of one, for a new request."""
        self._tokens = min(self._max_tokens, self._tokens + tokens)

    def spend(self) -> bool:
        """Take one token for a retry; return false if less than one is left."""
        if self._tokens < _RETRY_TOKENS:
            return False
        self._tokens -= _RETRY_TOKENS
        return True
