"""Failure detection of the log's leader by one member.

Silence is counted in this store's own ticks, so a store that stood still itself suspects nobody.
After some silence the other members are polled. The store claims the next epoch only if n-f members
answer and fewer than f still hear the leader, so a member that is merely cut off from the leader
claims nothing. Members that come earlier in the list claim first.
"""

from collections.abc import Callable

from runtime.settings import Settings

from replicated_log.messages import LeaderPollResponse

__all__ = ["LeaderFailureDetector"]

_LONG_AGO_MS = -1 << 40
_NOT_ELIGIBLE = -1


class _PollAnswer:
    """A member's answer to a poll, and when it came, in milliseconds of this store's clock."""

    __slots__ = ("at_ms", "response")

    def __init__(self, at_ms: int, response: LeaderPollResponse) -> None:
        self.at_ms = at_ms
        self.response = response


class LeaderFailureDetector:
    """What one member knows of the leader: how long it has been silent, and what the others say.

    `own` is the member's identity, `silent_ms` the leader's silence in milliseconds.
    """

    __slots__ = (
        "_answers",
        "_eligible_since_ms",
        "_last_tick_ms",
        "_now",
        "_own",
        "_polled_ms",
        "_settings",
        "silent_ms",
    )

    def __init__(self, own: str, settings: Settings, now: Callable[[], int]) -> None:
        self._own, self._settings, self._now = own, settings, now
        self._answers: dict[str, _PollAnswer] = {}
        self._polled_ms = _LONG_AGO_MS
        self._eligible_since_ms = _NOT_ELIGIBLE
        self._last_tick_ms = now()
        self.silent_ms = 0

    def reset(self) -> None:
        """Start anew: the leader or the epoch has changed, or this store has just woken."""
        self._answers.clear()
        self._eligible_since_ms = _NOT_ELIGIBLE
        self._last_tick_ms = self._now()
        self.silent_ms = 0

    # -- the leader ----------------------------------------------------------------------------

    def handle_heartbeat(self) -> None:
        """Record a heartbeat of the leader."""
        self.silent_ms = 0
        self._eligible_since_ms = _NOT_ELIGIBLE

    def process_ended(self) -> None:
        """Record that the leader's machine says that its process isn't running."""
        self.silent_ms = max(self.silent_ms, self._settings.leader_failure_ms)

    @property
    def hears_leader(self) -> bool:
        """Whether the leader has been heard within `leader_suspicion_ms`."""
        return bool(self.silent_ms < self._settings.leader_suspicion_ms)

    def tick(self) -> None:
        """Count the time since the last tick as silence.

        At most half of `leader_heartbeat_ms` is counted a tick.
        """
        now_ms = self._now()
        self.silent_ms += min(now_ms - self._last_tick_ms, self._settings.leader_heartbeat_ms // 2)
        self._last_tick_ms = now_ms

    # -- the other members ---------------------------------------------------------------------

    def should_poll(self, is_named: bool) -> bool:
        """Whether to poll the other members now; at most once in `leader_heartbeat_ms`.

        `is_named` says that this very store is named as the leader but isn't at work.
        """
        due = is_named or self.silent_ms >= self._settings.leader_suspicion_ms
        if not due or self._now() - self._polled_ms < self._settings.leader_heartbeat_ms:
            return False
        self._polled_ms = self._now()
        return True

    def handle_poll_response(self, response: LeaderPollResponse, leader: str) -> None:
        """Take in a member's answer; that of a leader at work counts as a heartbeat."""
        self._answers[response.identity] = _PollAnswer(self._now(), response)
        if response.identity == leader and response.is_leader:
            self.handle_heartbeat()

    def unanswered(self, names: list[str]) -> list[str]:
        """Return the members that haven't answered within twice `failure_timeout_ms`."""
        answered = self._answers_since(self._now() - 2 * self._settings.failure_timeout_ms)
        return [name for name in names if name != self._own and name not in answered]

    def _answers_since(self, floor_ms: int) -> dict[str, LeaderPollResponse]:
        return {
            name: answer.response
            for name, answer in self._answers.items()
            if answer.at_ms >= floor_ms
        }

    # -- claiming ------------------------------------------------------------------------------

    def should_claim(self, names: list[str], leader: str, epoch: int, retired: list[str]) -> bool:
        """Whether this store should claim the next epoch now.

        `names` are the members in order, `leader` and `epoch` those of the control key. Members
        that are being retired (`retired`) claim only if nobody else can.
        """
        now_ms, leader_heartbeat_ms = self._now(), self._settings.leader_heartbeat_ms
        answers = {
            name: response
            for name, response in self._answers_since(now_ms - 2 * leader_heartbeat_ms).items()
            if name in names
        }
        if not self._is_vacant(answers, names, leader, epoch):
            self._eligible_since_ms = _NOT_ELIGIBLE
            return False
        if self._eligible_since_ms == _NOT_ELIGIBLE:
            self._eligible_since_ms = now_ms
        candidates = self._candidates(answers, names, retired)
        if self._own not in candidates:
            return False
        return bool(
            now_ms - self._eligible_since_ms >= candidates.index(self._own) * leader_heartbeat_ms
        )

    def _candidates(
        self, answers: dict[str, LeaderPollResponse], names: list[str], retired: list[str]
    ) -> list[str]:
        """Return the members that may claim, in the order in which they do."""
        able = [
            name
            for name in names
            if name == self._own or (name in answers and not answers[name].leaving)
        ]
        return [name for name in able if name not in retired] or able

    def _is_vacant(
        self, answers: dict[str, LeaderPollResponse], names: list[str], leader: str, epoch: int
    ) -> bool:
        """Whether enough members agree that the leader is no longer at work."""
        faults = self._settings.store_faults
        if 1 + len(answers) < len(names) - faults:
            return False
        if any(answer.epoch > epoch for answer in answers.values()):
            return False
        from_leader = answers.get(leader)
        if from_leader is not None and from_leader.is_leader:
            return False
        hearing = sum(answer.hears_leader for name, answer in answers.items() if name != leader)
        if hearing >= faults:
            return False
        given_up = leader == self._own or (from_leader is not None and from_leader.epoch >= epoch)
        return bool(given_up or self.silent_ms >= self._settings.leader_failure_ms)
