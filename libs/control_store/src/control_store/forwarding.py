"""Forwarding of operations to the owners of their keys, with retries if an owner is silent."""

from collections.abc import Callable
from typing import cast

from membership import Membership, first_live, rendezvous_order
from messaging import Node

from control_store.acceptor import Acceptor
from control_store.messages import ChangeResult, Outcome
from control_store.operations import ClientOperation, KeyOperation, ResultCallback

__all__ = ["OperationForwarder"]

MAX_HOPS = 2  # an operation that was forwarded this often is executed where it arrives


class _Retry:
    """An operation without a conclusive result, retried until `due_ms` on the node's clock."""

    __slots__ = ("done", "due_ms", "operation")

    def __init__(self, operation: ClientOperation, due_ms: int, done: ResultCallback) -> None:
        self.operation = operation
        self.due_ms = due_ms
        self.done = done


class OperationForwarder:
    """Routes operations to the owners of their keys.

    Parameters
    ----------
    enqueue
        Queues an operation at this node. Its arguments are the operation, the time at which it is
        given up (ms on the node's clock) and the callback for the result.
    """

    __slots__ = ("_acceptor", "_enqueue", "_membership", "_node", "_retries")
    _node: Node

    def __init__(
        self,
        acceptor: Acceptor,
        membership: Membership,
        enqueue: Callable[[KeyOperation, int, ResultCallback], None],
    ) -> None:
        self._acceptor = acceptor
        self._membership = membership
        self._enqueue = enqueue
        self._retries: list[_Retry] = []

    def attach(self, node: Node) -> None:
        """Set the node that provides the clock, the settings and messaging."""
        self._node = node

    def submit(self, operation: ClientOperation, done: ResultCallback) -> None:
        """Execute an operation here, or forward it to the key's owner; `done` gets the result.

        If the owner does not reply, the node where the operation was first submitted retries, since
        ownership may have moved; a change is recognized by its identifier. The outcome is DOUBT if
        there is no reply at all, and REFUSED if this node has no voter list yet.
        """
        if not self._acceptor.voters:
            done(ChangeResult.without_value(Outcome.REFUSED, "not founded"))
            return
        settings = self._node.settings
        due_ms = (
            self._node.env.now()
            + settings.confirmation_timeout_ms
            + 3 * settings.request_timeout_ms
        )
        self._attempt(operation, operation.hops, due_ms, done)

    def _attempt(
        self, operation: ClientOperation, hops: int, due_ms: int, done: ResultCallback
    ) -> None:
        def replied(result: ChangeResult | None) -> None:
            if hops == 0 and self._node.env.now() < due_ms and self._should_retry(result):
                self._retries.append(_Retry(operation, due_ms, done))
            else:
                done(result or _no_reply())

        operation.hops = hops
        owner = self.owner_of(operation.key)
        if owner is None or owner == self._acceptor.identity or hops >= MAX_HOPS:
            self._enqueue(operation, self._queue_due_ms(hops, due_ms), replied)
        else:
            self._forward(operation, self._acceptor.voters[owner], due_ms, replied)

    def _should_retry(self, result: ChangeResult | None) -> bool:
        """Whether to repeat an attempt: there was no reply, or it was DOUBT and cut_off is "serve".

        With cut_off = "serve" another owner may still give a conclusive reply in time.
        """
        if result is None:
            return True
        return result.outcome == Outcome.DOUBT and bool(self._node.settings.cut_off == "serve")

    def _queue_due_ms(self, hops: int, due_ms: int) -> int:
        """Return when an operation in this node's own queue is given up, in ms."""
        queue_due_ms: int = self._node.env.now() + self._node.settings.request_timeout_ms * 2
        return min(queue_due_ms, due_ms) if hops == 0 else queue_due_ms

    def _forward(
        self,
        operation: ClientOperation,
        address: str,
        due_ms: int,
        replied: Callable[[ChangeResult | None], None],
    ) -> None:
        first_hop = operation.hops == 0
        operation.hops += 1
        timeout_ms = due_ms - self._node.env.now()
        self._node.request(
            address,
            operation,
            min(timeout_ms, self._node.settings.failure_timeout_ms) if first_hop else timeout_ms,
            lambda message: replied(cast(ChangeResult | None, message)),
        )

    def owner_of(self, key: str) -> str | None:
        """Return the identity of the node responsible for a key, or None if no voter is live.

        It is the first live voter, in the key's rendezvous order, that is not reported as cut off
        from a majority; if all are, the first live voter. Voters whose heartbeats reach this node
        directly are preferred: one that only others report as live may be unreachable from here.
        """
        membership = self._membership
        order = [
            name
            for name in rendezvous_order(key, self._acceptor.voters)
            if membership.is_live(name)
        ]
        failure_timeout_ms = self._node.settings.failure_timeout_ms
        direct = [name for name in order if membership.is_heard_directly(name, failure_timeout_ms)]
        return (
            first_live(direct, membership.has_majority_contact)
            or first_live(order, membership.has_majority_contact)
            or next(iter(order), None)
        )

    def tick(self) -> None:
        """Retry the operations that have no conclusive result yet."""
        retries, self._retries = self._retries, []
        for retry in retries:
            self._attempt(retry.operation, 0, retry.due_ms, retry.done)


def _no_reply() -> ChangeResult:
    return ChangeResult.without_value(Outcome.DOUBT, "the key's owner did not answer")
