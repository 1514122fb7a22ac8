"""The client of the log's leader: finds it, asks it, and retries until a response comes.

The configuration feed tells where the leader is, and a store that is not the leader may know newer.
A request that may run something later is stamped with the leader's own time as last heard. For our
own interface the last stretch of the time is only waited for, so that a doubtful answer is given
when nothing of the request can be in flight any more. An update that another store leads has all
requests in flight sent again at once.
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
_RETRIED = ("stale", "unknown")
_REFUSED = ("full", "no_path", "no_room")


class LeaderRequest:
    """A request to the leader until its response comes; `attempts` counts how often it was sent.

    `due_ms` is when it is given up, `last_send_ms` after when it is not sent again, and
    `next_send_ms` when it is sent next, by the node's clock. `epoch` is the leader epoch at which
    it was sent last.
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
        quiet_ms: int,
        done: Callable[[Any], None],
    ) -> None:
        self.message = message
        self.due_ms = now_ms + wait_ms + quiet_ms
        self.last_send_ms = now_ms + wait_ms
        self.next_send_ms = now_ms
        self.done: Callable[[Any], None] | None = done
        self.attempts = 0
        self.epoch = 0


class LeaderClient(Component):
    """Asks the leader of the log; `log_key` gives the feed's body, `stores` addresses to try first.

    `heartbeat_answered_ms` is when the last answered heartbeat was sent, by this node's clock;
    `leader_ms` the leader's own time as last heard; both in milliseconds.
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

    # -- where the leader is -------------------------------------------------------------------

    @property
    def epoch(self) -> int:
        """The highest leader epoch heard of."""
        return self._epoch

    def address(self) -> str:
        """Return the leader's address, else that of any store, else an empty string."""
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
        """Take the leader's response to a heartbeat; the lease runs from `sent_ms`."""
        if response.epoch >= self._epoch:
            self._epoch = response.epoch
            self.heartbeat_answered_ms = sent_ms
            self.leader_ms = response.leader_ms

    def redirected(self, response: messages.NotLeader) -> bool:
        """Take a store's response that another one leads; true if that is newer than known."""
        newer = bool(response.address) and self._is_newer(response.epoch)
        if newer:
            self._epoch, self._address = response.epoch, response.address
        return newer

    # -- requests ------------------------------------------------------------------------------

    def request(self, message: Message, wait_ms: int, done: Callable[[Any], None]) -> LeaderRequest:
        """Ask the leader, with retries, for at most `wait_ms` milliseconds.

        `done` gets the response, or None if there was none in time; while the returned request's
        `attempts` is 0 nothing of it was sent. A stamped request of our own interface is waited for
        longer, by as long as its stamp may live, and is not sent again in that time.
        """
        quiet_ms = (
            self.node.settings.max_submission_age_ms if isinstance(message, _WAITED_FOR) else 0
        )
        request = LeaderRequest(message, self.node.env.now(), wait_ms, quiet_ms, done)
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
        """Return the message with the leader's epoch and its own time as last heard."""
        stamp = {"epoch": self._epoch, "leader_ms": self.leader_ms}
        return type(message)(**{**message.as_dict(), **stamp})

    def _answered(self, request: LeaderRequest, number: int, response: Message | None) -> None:
        """Take a response to one attempt of a request.

        A refusal counts only of the last attempt, as a later one may have been taken meanwhile.
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
        """Send again at `at_ms`, or at once if that has come."""
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
        """Send again what is due, and end what is out of time."""
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
