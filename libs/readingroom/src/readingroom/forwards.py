"""The counter's side for requests that are forwarded: which route one falls to, how long it has, and the
transaction that carries it. It has no socket; what it gives back is a carriage, or what is told at once.
An edge that is stopping goes on serving what still comes: only who may no longer know the profiles refuses.
"""

from collections.abc import Callable
from typing import Any

from circulation import Carriage, Carrier, ForwardCall, ForwardTransaction, Step
from colophon import refused
from messaging import Part

__all__ = ["ForwardCounter"]

_MOST_MS = 600_000


class ForwardCounter(Part):
    __slots__ = ("_carrier", "_tree", "_why_unready")

    def __init__(
        self, carrier: Carrier, tree: Callable[[], Any], why_unready: Callable[[], str]
    ) -> None:
        self._carrier, self._tree, self._why_unready = carrier, tree, why_unready

    def about(self) -> dict[str, Any]:
        """What was sent beside the profiles, such as limits for clients."""
        return self._tree().about

    def route(self, host: str, target: str) -> Any:
        """The profile, or the refusal. Without any profiles nobody can know that there is no route."""
        tree = self._tree()
        if reason := self._why_unready():
            return refused("not-ready", reason, 503, self.node.params.dead_ms)
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
    ) -> Carriage:
        """`client_ms` is how long the client says it waits; `told` gets the last step, unless it is gone."""
        now_ms = self.node.env.now()
        allowed_ms = min(profile.give_up_ms, client_ms if client_ms is not None else _MOST_MS)
        tx = ForwardTransaction(
            self.node.env.token(), profile, now_ms, now_ms + allowed_ms, resumable=call.resumable
        )

        def done(step: Step) -> None:
            if step.name != "gone":
                told(step)

        return self._carrier.carry(tx, call, sink, done)
