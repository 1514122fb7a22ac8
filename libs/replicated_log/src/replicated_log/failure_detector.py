"""Failure detection of the log's leader by one member.

The leader's silence is counted in ticks of this store, so a store that was frozen doesn't suspect
the leader. After `leader_suspicion_ms` of silence the other members are polled. The store claims
the next epoch only if n-f members, itself included, have answered and fewer than f others still
hear the leader, so a member that is only cut off from the leader claims nothing. Members that are
earlier in the list claim first.
"""

from collections.abc import Callable

from runtime.settings import Settings

from replicated_log.messages import LeaderPollResponse

__all__ = ["LeaderFailureDetector"]

_LONG_AGO_MS = -1 << 40
_NOT_ELIGIBLE = -1


class _PollAnswer:
    """A member's response to a poll, received at `at_ms` of this store's clock."""

    __slots__ = ("at_ms", "response")

    def __init__(self, at_ms: int, response: LeaderPollResponse) -> None:
        self.at_ms = at_ms
        self.response = response


class LeaderFailureDetector:
    """One member's view of the leader: its silence, and the other members' poll responses.

    `silent_ms` is the counted silence of the leader.

    Parameters
    ----------
    own_identity
        The identity of this member.
    settings
        The settings of the process.
    now
        Returns this store's clock in milliseconds.
    """

    __slots__ = (
        "_answers",
        "_eligible_since_ms",
        "_last_tick_ms",
        "_now",
        "_own_identity",
        "_polled_ms",
        "_settings",
        "silent_ms",
    )

    def __init__(self, own_identity: str, settings: Settings, now: Callable[[], int]) -> None:
        self._own_identity, self._settings, self._now = own_identity, settings, now
        self._answers: dict[str, _PollAnswer] = {}
        self._polled_ms = _LONG_AGO_MS
        self._eligible_since_ms = _NOT_ELIGIBLE
        self._last_tick_ms = now()
        self.silent_ms = 0

    def reset(self) -> None:
        """Forget the leader's silence and all poll responses.

        Called when the leader or the epoch has changed or this store was frozen.
        """
        self._answers.clear()
        self._eligible_since_ms = _NOT_ELIGIBLE
        self._last_tick_ms = self._now()
        self.silent_ms = 0

    def handle_heartbeat(self) -> None:
        """Record that the leader was heard."""
        self.silent_ms = 0
        self._eligible_since_ms = _NOT_ELIGIBLE

    def process_ended(self) -> None:
        """Record that the leader isn't active: a silence of at least `leader_failure_ms`."""
        self.silent_ms = max(self.silent_ms, self._settings.leader_failure_ms)

    @property
    def hears_leader(self) -> bool:
        """Whether the leader has been heard within `leader_suspicion_ms`."""
        return bool(self.silent_ms < self._settings.leader_suspicion_ms)

    def tick(self) -> None:
        """Add the time since the last tick to the silence.

        A tick adds at most half of `leader_heartbeat_ms`, so a freeze of this store hardly counts.
        """
        now_ms = self._now()
        self.silent_ms += min(now_ms - self._last_tick_ms, self._settings.leader_heartbeat_ms // 2)
        self._last_tick_ms = now_ms

    def should_poll(self, is_named: bool) -> bool:
        """Whether to poll the other members now, at most every `leader_heartbeat_ms`.

        `is_named` means that the control key names this store as the leader; it then polls without
        waiting for silence.
        """
        due = is_named or self.silent_ms >= self._settings.leader_suspicion_ms
        if not due or self._now() - self._polled_ms < self._settings.leader_heartbeat_ms:
            return False
        self._polled_ms = self._now()
        return True

    def handle_poll_response(self, response: LeaderPollResponse, leader: str) -> None:
        """Record a member's response; that of the active leader counts as a heartbeat."""
        self._answers[response.identity] = _PollAnswer(self._now(), response)
        if response.identity == leader and response.is_leader:
            self.handle_heartbeat()

    def unanswered(self, names: list[str]) -> list[str]:
        """Return the other members without a poll response within 2 `failure_timeout_ms`."""
        answered = self._answers_since(self._now() - 2 * self._settings.failure_timeout_ms)
        return [name for name in names if name != self._own_identity and name not in answered]

    def _answers_since(self, floor_ms: int) -> dict[str, LeaderPollResponse]:
        return {
            name: answer.response
            for name, answer in self._answers.items()
            if answer.at_ms >= floor_ms
        }

    def should_claim(self, names: list[str], leader: str, epoch: int, retired: list[str]) -> bool:
        """Whether this store should claim the next epoch now.

        Only poll responses of the last 2 `leader_heartbeat_ms` count. Each candidate waits
        `leader_heartbeat_ms` longer than the one before it.

        Parameters
        ----------
        names
            The identities of the members, in their configured order.
        leader, epoch
            The leader and the epoch that the control key names.
        retired
            The stores that are being retired; they claim only if no other member can.
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
        if self._own_identity not in candidates:
            return False
        return bool(
            now_ms - self._eligible_since_ms
            >= candidates.index(self._own_identity) * leader_heartbeat_ms
        )

    def _candidates(
        self, answers: dict[str, LeaderPollResponse], names: list[str], retired: list[str]
    ) -> list[str]:
        """Return the members that may claim, in the order in which they claim."""
        able = [
            name
            for name in names
            if name == self._own_identity or (name in answers and not answers[name].leaving)
        ]
        return [name for name in able if name not in retired] or able

    def _is_vacant(
        self, answers: dict[str, LeaderPollResponse], names: list[str], leader: str, epoch: int
    ) -> bool:
        """Whether enough members agree that the leader is no longer active.

        The leader has to be silent for `leader_failure_ms`, unless it is this store or it has
        answered, knowing the epoch, that it isn't active.
        """
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
        given_up = leader == self._own_identity or (
            from_leader is not None and from_leader.epoch >= epoch
        )
        return bool(given_up or self.silent_ms >= self._settings.leader_failure_ms)
