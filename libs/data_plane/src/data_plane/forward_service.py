"""Routes forwarded requests and starts them with their deadline; it opens no socket.

A draining edge still serves requests; an edge refuses them only while its profiles may not be those
in force.
"""

from collections.abc import Callable
from typing import Any

from control_store import ProfileTree
from messaging import Component
from request_routing import ForwardCall, ForwardLifecycle, InFlightRequest, RequestRouter, Step
from runtime import Refusal, refused

__all__ = ["ForwardService"]

_DEFAULT_CLIENT_MS = 600_000


class ForwardService(Component):
    """Finds the route of forwarded requests and starts them.

    Parameters
    ----------
    router
        Sends the requests to workers.
    profile_tree
        Returns the edge's profiles.
    why_profiles_uncertain
        Returns why these may not be the profiles in force, or an empty string if they are.
    """

    __slots__ = ("_profile_tree", "_router", "_why_profiles_uncertain")

    def __init__(
        self,
        router: RequestRouter,
        profile_tree: Callable[[], ProfileTree],
        why_profiles_uncertain: Callable[[], str],
    ) -> None:
        self._router = router
        self._profile_tree = profile_tree
        self._why_profiles_uncertain = why_profiles_uncertain

    def about(self) -> dict[str, Any]:
        """Return the part of the configuration beside the profiles, such as clients' limits."""
        return self._profile_tree().about

    def route(self, host: str, target: str) -> Any:
        """Return the profile for a host and a request target, or a Refusal.

        While the edge's profiles may not be those in force, the refusal is `not-ready`: an edge
        without any profiles, for instance, can't know that there is no route.
        """
        profile_tree = self._profile_tree()
        if reason := self._why_profiles_uncertain():
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
        """Start a request, and return it in flight.

        Its deadline is the client's or the profile's `give_up_ms`, whichever is earlier; a client
        without a deadline counts as waiting for ten minutes.

        Parameters
        ----------
        profile
            The profile of its route.
        call
            The request.
        client_ms
            The client's deadline in milliseconds from now, or None.
        on_data
            Receives the chunks of the response's body.
        on_end
            Receives the last step, unless the client disconnected.
        """
        now_ms = self.node.env.now()
        allowed_ms = min(
            profile.give_up_ms, client_ms if client_ms is not None else _DEFAULT_CLIENT_MS
        )
        lifecycle = ForwardLifecycle(
            self.node.env.token(), profile, now_ms, now_ms + allowed_ms, resumable=call.resumable
        )

        def on_last_step(step: Step) -> None:
            if step.kind != "gone":
                on_end(step)

        return self._router.start(lifecycle, call, on_data, on_last_step)


def _no_route() -> Refusal:
    return refused("no-route", "no route has this host and path", 404)
