"""Routes forwarded requests and starts them with their deadline; it opens no socket.

An edge refuses requests while its profiles may not be those in force. A draining edge still serves
those that are sure to have their final answer before it ends.
"""

from collections.abc import Callable
from typing import Any

from control_store import ProfileTree
from messaging import Component
from request_routing import ForwardCall, ForwardLifecycle, InFlightRequest, RequestRouter, Step
from runtime import Refusal, refused

from data_plane.drain_schedule import DrainSchedule

__all__ = ["ForwardService"]

_DEFAULT_CLIENT_MS = 600_000
_DRAINING_RETRY_MS = 1


class ForwardService(Component):
    """Finds the route of forwarded requests and starts them.

    `drain` is the schedule of the edge while it drains, else None.

    Parameters
    ----------
    router
        Sends the requests to workers.
    profile_tree
        Returns the edge's profiles.
    why_profiles_uncertain
        Returns why these may not be the profiles in force, or an empty string if they are.
    """

    __slots__ = ("_profile_tree", "_router", "_why_profiles_uncertain", "drain")

    def __init__(
        self,
        router: RequestRouter,
        profile_tree: Callable[[], ProfileTree],
        why_profiles_uncertain: Callable[[], str],
    ) -> None:
        self._router = router
        self._profile_tree = profile_tree
        self._why_profiles_uncertain = why_profiles_uncertain
        self.drain: DrainSchedule | None = None

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

    def allowed_ms(self, profile: Any, client_ms: int | None) -> int:
        """Return how long a request may take, in milliseconds; the parameters are `forward`'s."""
        allowed_ms: int = min(
            profile.give_up_ms, _DEFAULT_CLIENT_MS if client_ms is None else client_ms
        )
        return allowed_ms

    def draining_refusal(self, profile: Any, client_ms: int | None) -> Refusal | None:
        """Return the refusal of a request that a draining edge may be unable to finish, or None.

        The client can send it to another edge at once. The parameters are those of `forward`.
        """
        now_ms = self.node.env.now()
        due_ms = now_ms + self.allowed_ms(profile, client_ms)
        if self.drain is None or self.drain.takes(now_ms, due_ms):
            return None
        return refused("draining", "this edge is about to stop", 503, _DRAINING_RETRY_MS)

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
        due_ms = now_ms + self.allowed_ms(profile, client_ms)
        lifecycle = ForwardLifecycle(
            self.node.env.token(), profile, now_ms, due_ms, resumable=call.resumable
        )

        def on_last_step(step: Step) -> None:
            if step.kind != "gone":
                on_end(step)

        return self._router.start(lifecycle, call, on_data, on_last_step)


def _no_route() -> Refusal:
    return refused("no-route", "no route has this host and path", 404)
