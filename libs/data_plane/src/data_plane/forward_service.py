"""Begins forwarded requests: the route that one falls to, how long it has, and its life cycle.

It has no socket. A draining edge still serves what comes; only an edge that may not know the
profiles in force refuses.
"""

from collections.abc import Callable
from typing import Any

from control_store import ProfileTree
from messaging import Component
from request_routing import ForwardCall, ForwardLifecycle, InFlightRequest, RequestRouter, Step
from runtime import Refusal, refused

__all__ = ["ForwardService"]

_MAX_CLIENT_MS = 600_000


class ForwardService(Component):
    """Finds the route of forwarded requests and begins them.

    `profile_tree` gives the profiles in force; `why_unsure` why the edge can't know that they still
    are, or an empty string.
    """

    __slots__ = ("_profile_tree", "_router", "_why_unready")

    def __init__(
        self,
        router: RequestRouter,
        profile_tree: Callable[[], ProfileTree],
        why_unsure: Callable[[], str],
    ) -> None:
        self._router = router
        self._profile_tree = profile_tree
        self._why_unready = why_unsure

    def about(self) -> dict[str, Any]:
        """Return what the configuration has beside the profiles, such as limits for clients."""
        return self._profile_tree().about

    def route(self, host: str, target: str) -> Any:
        """Return the profile of a host and a request target, or a Refusal.

        An edge without any profiles can't know that there is no route, and says that it is not
        ready.
        """
        profile_tree = self._profile_tree()
        if reason := self._why_unready():
            return refused("not-ready", reason, 503, self.node.settings.failure_timeout_ms)
        profile = profile_tree.route(host, target.partition("?")[0])
        return _no_route() if profile is None else profile

    def forward(
        self,
        profile: Any,
        call: ForwardCall,
        client_ms: int | None,
        on_data: Callable[[bytes], None],
        on_end: Callable[[Step], None],
    ) -> InFlightRequest:
        """Begin a request and return it in flight.

        `client_ms` is how many milliseconds the client says it waits; `on_data` gets the body of
        the response, and `on_end` the last step, unless the client disconnected.
        """
        now_ms = self.node.env.now()
        allowed_ms = min(profile.give_up_ms, client_ms if client_ms is not None else _MAX_CLIENT_MS)
        lifecycle = ForwardLifecycle(
            self.node.env.token(), profile, now_ms, now_ms + allowed_ms, resumable=call.resumable
        )

        def on_last_step(step: Step) -> None:
            if step.kind != "gone":
                on_end(step)

        return self._router.start(lifecycle, call, on_data, on_last_step)


def _no_route() -> Refusal:
    return refused("no-route", "no route has this host and path", 404)
