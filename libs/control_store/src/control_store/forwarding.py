"""Forwarding of operations to the owners of their keys, with retries after silence."""

from collections.abc import Callable
from typing import Any

from membership import Membership, duty_order, first_live

from control_store.acceptor import Acceptor
from control_store.key_states import Done
from control_store.messages import Change, ChangeResult, FindChange, Outcome, ReadKey

__all__ = ["OperationForwarder"]

_RELAY_HOPS = 2


class OperationForwarder:
    """Routes operations to the owners of their keys.

    `enqueue` queues an operation at this node until a time in ms of the node's clock.
    """

    __slots__ = ("_again", "_enqueue", "_neighbours", "_node", "_voter")

    def __init__(
        self,
        voter: Acceptor,
        neighbours: Membership,
        enqueue: Callable[[Any, int, Done], None],
    ) -> None:
        self._voter = voter
        self._neighbours = neighbours
        self._enqueue = enqueue
        self._node: Any = None
        self._again: list[tuple[Change | FindChange | ReadKey, int, Done]] = []

    def attach(self, node: Any) -> None:
        """Set the node, which gives the clock, the settings and the messages."""
        self._node = node

    def submit(self, message: Any, done: Done) -> None:
        """Work on an operation here, or forward it to the key's owner; `done` gets the reply.

        The node that first submits it retries after silence, since ownership may have moved; a
        change is recognized by its identifier. The outcome is DOUBT if no reply comes at all.
        """
        if not self._voter.voters:
            done(ChangeResult(outcome=Outcome.REFUSED, version=0, body="", reason="not founded"))
            return
        settings = self._node.settings
        self._try(
            message,
            message.hops,
            self._node.env.now()
            + settings.confirmation_timeout_ms
            + 3 * settings.request_timeout_ms,
            done,
        )

    def _try(self, message: Any, hops: int, due_ms: int, done: Done) -> None:
        settings, now_ms = self._node.settings, self._node.env.now()

        def answered(receipt: ChangeResult | None) -> None:
            unheard = receipt is None or (
                receipt.outcome == Outcome.DOUBT and settings.cut_off == "serve"
            )
            if unheard and hops == 0 and self._node.env.now() < due_ms:
                self._again.append((message, due_ms, done))
            else:
                done(
                    receipt
                    or ChangeResult(
                        outcome=Outcome.DOUBT,
                        version=0,
                        body="",
                        reason="the key's owner did not answer",
                    )
                )

        message.hops = hops
        duty = self.owner_of(message.key)
        if duty in (None, self._voter.identity) or hops >= _RELAY_HOPS:
            self._enqueue(
                message,
                min(now_ms + settings.request_timeout_ms * 2, due_ms)
                if hops == 0
                else now_ms + settings.request_timeout_ms * 2,
                answered,
            )
            return
        message.hops += 1
        wait_ms = due_ms - now_ms
        self._node.request(
            self._voter.voters[duty],
            message,
            min(wait_ms, settings.failure_timeout_ms) if hops == 0 else wait_ms,
            answered,
        )

    def owner_of(self, concern: str) -> str | None:
        """Return the identity of the node responsible for `concern`, or None if no voter is live.

        It is the first live voter that is itself in contact with a majority, or the first live one.
        Voters with direct heartbeats come first: one that only others report as live may be
        unreachable from here.
        """
        neighbours = self._neighbours
        order = [name for name in duty_order(concern, self._voter.voters) if neighbours.live(name)]
        failure_timeout_ms = self._node.settings.failure_timeout_ms
        direct = [name for name in order if neighbours.heard_itself(name, failure_timeout_ms)]
        return (
            first_live(direct, neighbours.hears)
            or first_live(order, neighbours.hears)
            or next(iter(order), None)
        )

    def tick(self) -> None:
        """Retry the operations whose owner did not reply."""
        again, self._again = self._again, []
        for message, due_ms, done in again:
            self._try(message, 0, due_ms, done)
