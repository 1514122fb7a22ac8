"""Begins forwarded requests: the route one falls to, how long it has, and its transaction.

It has no socket. A draining edge still serves what comes; only an edge that may not know the
profiles in force refuses.
"""

from collections.abc import Callable
from typing import Any

from messaging import Component
from request_routing import ForwardCall, ForwardLifecycle, InFlightRequest, RequestRouter, Step
from runtime import refused

__all__ = ["ForwardService"]

_MOST_MS = 600_000


class ForwardService(Component):
    """Routes requests and begins their transactions."""

    __slots__ = ("_carrier", "_tree", "_why_unready")

    def __init__(
        self, carrier: RequestRouter, tree: Callable[[], Any], why_unready: Callable[[], str]
    ) -> None:
        self._carrier, self._tree, self._why_unready = carrier, tree, why_unready

    def about(self) -> dict[str, Any]:
        """Return what the configuration has beside the profiles, such as limits for clients."""
        return self._tree().about

    def route(self, host: str, target: str) -> Any:
        """Return the profile of a host and a target, or the refusal.

        An edge without any profiles can't know that there is no route, and says that it is not
        ready.
        """
        tree = self._tree()
        if reason := self._why_unready():
            return refused("not-ready", reason, 503, self.node.settings.failure_timeout_ms)
        profile = tree.route(host, target.partition("?")[0])
        return (
            refused("no-route", "no route has this host and path", 404)
            if profile is None
            else profile
        )

    def forward(
        self,
        profile: Any,
        call: ForwardCall,
        client_ms: int | None,
        sink: Callable[[bytes], None],
        told: Callable[[Step], None],
    ) -> InFlightRequest:
        """Begin a request and return its transaction in flight.

        `client_ms` is how many milliseconds the client says it waits; `sink` gets the answer's
        pieces, and `told` the last step, unless the client hung up.
        """
        now_ms = self.node.env.now()
        allowed_ms = min(profile.give_up_ms, client_ms if client_ms is not None else _MOST_MS)
        tx = ForwardLifecycle(
            self.node.env.token(), profile, now_ms, now_ms + allowed_ms, resumable=call.resumable
        )

        def done(step: Step) -> None:
            if step.name != "gone":
                told(step)

        return self._carrier.carry(tx, call, sink, done)
