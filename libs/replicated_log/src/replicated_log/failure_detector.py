"""Failure detection of the log's holder by one member.

Silence is counted in this store's own ticks, so a store that stood still itself suspects nobody.
After some silence the other members are polled. The store claims the next epoch only if n-f members
answer and fewer than f still hear the holder, so a member that is merely cut off from the holder
claims nothing. Members that come earlier in the list claim first.
"""

from typing import Any

from replicated_log.messages import LeaderPollResponse

__all__ = ["LeaderFailureDetector"]


class LeaderFailureDetector:
    """What one member knows of the holder: how long it has been silent, and what the others say.

    `own` is the member's identity, `silent_ms` the holder's silence in milliseconds.
    """

    __slots__ = (
        "_answers",
        "_last_ms",
        "_now",
        "_own",
        "_settings",
        "_polled_ms",
        "_eligible_since_ms",
        "silent_ms",
    )

    def __init__(self, own: str, settings: Any, now: Any) -> None:
        self._own, self._settings, self._now = own, settings, now
        self._answers: dict[str, tuple[int, LeaderPollResponse]] = {}
        self._polled_ms = -1 << 40
        self._eligible_since_ms = -1
        self._last_ms = now()
        self.silent_ms = 0

    def reset(self) -> None:
        """Start anew: the holder or the epoch has changed, or this store has just woken."""
        self._answers.clear()
        self._eligible_since_ms = -1
        self._last_ms = self._now()
        self.silent_ms = 0

    def handle_heartbeat(self) -> None:
        """Record a heartbeat of the holder."""
        self.silent_ms = 0
        self._eligible_since_ms = -1

    def process_ended(self) -> None:
        """Record that the holder's machine says that its process isn't running."""
        self.silent_ms = max(self.silent_ms, self._settings.leader_failure_ms)

    @property
    def hears_leader(self) -> bool:
        """Whether the holder has been heard within `leader_suspicion_ms`."""
        return self.silent_ms < self._settings.leader_suspicion_ms

    def tick(self) -> None:
        """Count the time since the last tick as silence.

        At most half of `leader_heartbeat_ms` is counted a tick.
        """
        now_ms = self._now()
        self.silent_ms += min(now_ms - self._last_ms, self._settings.leader_heartbeat_ms // 2)
        self._last_ms = now_ms

    def should_poll(self, orphaned: bool) -> bool:
        """Whether to poll the other members now; at most once in `leader_heartbeat_ms`.

        `orphaned` says that this very store is named as the holder but isn't at work.
        """
        due = orphaned or self.silent_ms >= self._settings.leader_suspicion_ms
        if not due or self._now() - self._polled_ms < self._settings.leader_heartbeat_ms:
            return False
        self._polled_ms = self._now()
        return True

    def handle_poll_response(self, answer: LeaderPollResponse, leader: str) -> None:
        """Take in a member's answer; that of a holder at work counts as a heartbeat."""
        self._answers[answer.identity] = (self._now(), answer)
        if answer.identity == leader and answer.is_leader:
            self.handle_heartbeat()

    def unanswered(self, names: list[str]) -> list[str]:
        """Return the members that haven't answered within twice `failure_timeout_ms`."""
        floor_ms = self._now() - 2 * self._settings.failure_timeout_ms
        return [
            name
            for name in names
            if name != self._own and self._answers.get(name, (floor_ms - 1,))[0] < floor_ms
        ]

    def should_claim(self, names: list[str], leader: str, epoch: int, retired: list[str]) -> bool:
        """Whether this store should claim the next epoch now.

        `names` are the members in order, `leader` and `epoch` those of the control key. Members
        that are being retired (`retired`) claim only if nobody else can.
        """
        settings, now_ms = self._settings, self._now()
        floor_ms = now_ms - 2 * settings.leader_heartbeat_ms
        answers = {
            name: answer
            for name, (at_ms, answer) in self._answers.items()
            if at_ms >= floor_ms and name in names
        }
        if not self._is_free(answers, names, leader, epoch):
            self._eligible_since_ms = -1
            return False
        if self._eligible_since_ms < 0:
            self._eligible_since_ms = now_ms
        able = [
            name
            for name in names
            if name == self._own or (name in answers and not answers[name].leaving)
        ]
        willing = [name for name in able if name not in retired] or able
        if self._own not in willing:
            return False
        return (
            now_ms - self._eligible_since_ms
            >= willing.index(self._own) * settings.leader_heartbeat_ms
        )

    def _is_free(
        self, answers: dict[str, LeaderPollResponse], names: list[str], leader: str, epoch: int
    ) -> bool:
        """Whether enough members agree that the holder is no longer at work."""
        f = self._settings.store_faults
        if 1 + len(answers) < len(names) - f or any(
            answer.epoch > epoch for answer in answers.values()
        ):
            return False
        held = answers.get(leader)
        if held is not None and held.is_leader:
            return False
        if sum(answer.hears_leader for name, answer in answers.items() if name != leader) >= f:
            return False
        disowned = leader == self._own or (held is not None and held.epoch >= epoch)
        return disowned or self.silent_ms >= self._settings.leader_failure_ms
