"""The client of the log's leader: finds the leader, sends it requests, and retries them.

The configuration feed names the leader; a store that is not the leader responds with the leader
that it knows, which may be a newer one. Once a leader of a higher epoch is known, all requests in
flight are sent again at once.

A request that causes work later is stamped with the leader's epoch and its time as last heard, so
that the leader can reject it if it arrives too late. For those in `_WAITED_FOR` the response is
waited for, after the time for retries, for as long as a stamp is valid: if there is none, the
outcome is unknown, but no copy of the request that is still in flight can be accepted any more.
"""

import json
from collections.abc import Callable
from typing import Any

from batch_state import messages
from messaging import Component, Message

__all__ = ["LeaderClient", "LeaderRequest"]

_NEVER_MS = -1 << 40
_STAMPED = (
    messages.SubmitJob,
    messages.OpenKey,
    messages.SubmitForwardJob,
    messages.SubmitRollout,
)
_WAITED_FOR = (messages.SubmitJob, messages.OpenKey, messages.SubmitRollout)
# Outcomes after which a request is sent again.
_RETRIED = ("stale", "unknown")
# Outcomes that refuse a request.
_REFUSED = ("full", "no_path", "no_room")


class LeaderRequest:
    """A request to the leader that is waiting for its response.

    Parameters
    ----------
    message
        The request.
    now_ms
        Current time of the node's clock.
    wait_ms
        How long the request may be sent, in milliseconds.
    final_wait_ms
        How long its response is still waited for after that, in milliseconds.
    done
        Called with the response, or with None if there was none in time.

    Attributes
    ----------
    due_ms, last_send_ms, next_send_ms
        When the request fails, after which time it is not sent again, and when it is sent next, in
        milliseconds of the node's clock.
    attempts
        How many times it was sent.
    epoch
        The leader epoch that was known when it was last sent.
    """

    __slots__ = (
        "attempts",
        "done",
        "due_ms",
        "epoch",
        "last_send_ms",
        "message",
        "next_send_ms",
    )

    def __init__(
        self,
        message: Message,
        now_ms: int,
        wait_ms: int,
        final_wait_ms: int,
        done: Callable[[Any], None],
    ) -> None:
        self.message = message
        self.due_ms = now_ms + wait_ms + final_wait_ms
        self.last_send_ms = now_ms + wait_ms
        self.next_send_ms = now_ms
        self.done: Callable[[Any], None] | None = done
        self.attempts = 0
        self.epoch = 0

    def limit_deadline(self, due_ms: int) -> None:
        """Wait for the response until `due_ms` at the latest."""
        self.due_ms = min(self.due_ms, due_ms)
        self.last_send_ms = min(self.last_send_ms, due_ms)


class LeaderClient(Component):
    """Sends requests to the log's leader.

    Parameters
    ----------
    log_key
        Returns the value of the feed's key that names the leader, as JSON, or an empty string.
    stores
        Returns the addresses of the stores, one of which is asked while the leader is unknown.

    Attributes
    ----------
    heartbeat_answered_ms
        When the last answered heartbeat was sent, in milliseconds of this node's clock.
    leader_ms
        The leader's time as last heard, in milliseconds of the leader's clock.
    """

    __slots__ = (
        "_address",
        "_epoch",
        "_log_key",
        "_log_value",
        "_requests",
        "_stores",
        "heartbeat_answered_ms",
        "leader_ms",
    )

    def __init__(self, log_key: Callable[[], str], stores: Callable[[], list[str]]) -> None:
        self._log_key = log_key
        self._stores = stores
        self._address = ""
        self._epoch = 0
        self._log_value = ""
        self._requests: list[LeaderRequest] = []
        self.heartbeat_answered_ms = _NEVER_MS
        self.leader_ms = 0

    @property
    def epoch(self) -> int:
        """The highest known leader epoch."""
        return self._epoch

    def address(self) -> str:
        """Return the leader's address, or a random store's, or an empty string if none is known."""
        self._read_key()
        if self._address:
            return self._address
        stores = self._stores()
        return str(self.node.env.rng.choice(stores)) if stores else ""

    def _read_key(self) -> None:
        body = self._log_key()
        if body == self._log_value:
            return
        self._log_value = body
        value = json.loads(body) if body else {}
        if value and self._is_newer(value["epoch"]):
            self._epoch = value["epoch"]
            self._address = next(
                (row["address"] for row in value["members"] if row["identity"] == value["holder"]),
                "",
            )

    def _is_newer(self, epoch: int) -> bool:
        return epoch > self._epoch or (epoch == self._epoch and not self._address)

    def heartbeat_answered(
        self,
        response: messages.EdgeHeartbeatResponse | messages.RolloutHeartbeatResponse,
        sent_ms: int,
    ) -> None:
        """Handle the leader's response to a heartbeat, which renews the lease from `sent_ms` on.

        A response of an earlier epoch is ignored.
        """
        if response.epoch >= self._epoch:
            self._epoch = response.epoch
            self.heartbeat_answered_ms = sent_ms
            self.leader_ms = response.leader_ms

    def redirected(self, response: messages.NotLeader) -> bool:
        """Handle the response of a store that is not the leader.

        Returns true if it names a leader of a higher epoch, or the address that was not known yet.
        """
        newer = bool(response.address) and self._is_newer(response.epoch)
        if newer:
            self._epoch, self._address = response.epoch, response.address
        return newer

    def request(self, message: Message, wait_ms: int, done: Callable[[Any], None]) -> LeaderRequest:
        """Send a request to the leader, with retries, for at most `wait_ms` milliseconds.

        A request in `_WAITED_FOR` is not sent again after that, but its response is waited for
        `max_submission_age_ms` longer, which is how long its stamp is valid.

        Returns
        -------
        LeaderRequest
            The request; while its `attempts` is 0, nothing has been sent.
        """
        final_wait_ms = (
            self.node.settings.max_submission_age_ms if isinstance(message, _WAITED_FOR) else 0
        )
        request = LeaderRequest(message, self.node.env.now(), wait_ms, final_wait_ms, done)
        self._requests.append(request)
        self._send(request)
        return request

    def _send(self, request: LeaderRequest) -> None:
        now_ms, settings = self.node.env.now(), self.node.settings
        held_ms = getattr(request.message, "wait_ms", 0)
        request.next_send_ms = now_ms + held_ms + settings.request_timeout_ms
        address = self.address()
        if not address:
            request.next_send_ms = now_ms + settings.heartbeat_ms // 2
            return
        if isinstance(request.message, _STAMPED):
            request.message = self._stamped(request.message)
        request.attempts += 1
        request.epoch = self._epoch
        number = request.attempts
        self.node.request(
            address,
            request.message,
            held_ms + settings.request_timeout_ms * 2,
            lambda response: self._answered(request, number, response),
        )

    def _stamped(self, message: Message) -> Message:
        """Return the message stamped with the leader's epoch and its time as last heard."""
        stamp = {"epoch": self._epoch, "leader_ms": self.leader_ms}
        return type(message)(**{**message.as_dict(), **stamp})

    def _answered(self, request: LeaderRequest, number: int, response: Message | None) -> None:
        """Handle the response to attempt `number` of a request.

        A refusal is final only if it responds to the last attempt, as a later attempt may have been
        accepted.
        """
        if request.done is None or response is None:
            return
        now_ms = self.node.env.now()
        pause_ms = self.node.settings.heartbeat_ms // 2
        outcome = getattr(response, "outcome", "")
        if isinstance(response, messages.NotLeader):
            self._retry(request, now_ms + (0 if self.redirected(response) else pause_ms))
        elif isinstance(response, messages.StaleRequest):
            if response.epoch >= self._epoch:
                self._epoch, self.leader_ms = response.epoch, response.leader_ms
                self._retry(request, now_ms)
        elif outcome in _RETRIED:
            self._retry(request, now_ms + pause_ms)
        elif outcome not in _REFUSED or number == request.attempts:
            self._finish(request, response)

    def _retry(self, request: LeaderRequest, at_ms: int) -> None:
        """Send the request again at `at_ms` or earlier, and at once if that time has come."""
        request.next_send_ms = min(request.next_send_ms, at_ms)
        now_ms = self.node.env.now()
        if request.next_send_ms <= now_ms < request.last_send_ms:
            self._send(request)

    def _finish(self, request: LeaderRequest, response: Message | None) -> None:
        done, request.done = request.done, None
        if request in self._requests:
            self._requests.remove(request)
        if done is not None:
            done(response)

    def tick(self) -> None:
        """Send the requests that are due again, and fail those that are past their deadline."""
        now_ms = self.node.env.now()
        if self._requests:
            self._read_key()
        for request in list(self._requests):
            if request.attempts > 0 and request.epoch < self._epoch:
                request.next_send_ms = now_ms
            if now_ms >= request.due_ms:
                self._finish(request, None)
            elif request.next_send_ms <= now_ms < request.last_send_ms:
                self._send(request)
