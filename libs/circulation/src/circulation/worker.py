"""One worker as an edge knows it: its own news (a heartbeat or a leave), the load that it last told, and
what this edge has under way there.
"""

import math

from messaging import Flag, Long, Message, Real, Text, array_of

__all__ = ["Worker", "WorkerNews"]

_LOAD_MS = 1000.0


class WorkerNews(Message):
    identity: Text
    incarnation: Long
    address: Text
    zone: Text
    labels: array_of(Text)
    beat: Long
    running: Long
    waiting: Long
    slots: Long
    cache_use: Real
    leaving: Flag


class Worker:
    """`others` is what callers elsewhere had at it when it last told its load; `borrowed` are its slots in which this
    edge runs samples of rollouts, `borrowed_elsewhere` those of other edges as they last told: they give way to anything
    else, and so count for nothing in what it has to do.
    """

    __slots__ = (
        "address",
        "answered_ms",
        "asked_ms",
        "beat",
        "borrowed",
        "borrowed_elsewhere",
        "cache_use",
        "down_beat",
        "down_ms",
        "failures",
        "full_until_ms",
        "heard_ms",
        "identity",
        "incarnation",
        "labels",
        "leaving",
        "listed",
        "others",
        "reading",
        "reading_items",
        "running",
        "sending",
        "sending_then",
        "sent_ms",
        "slots",
        "told_ms",
        "waiting",
        "zone",
    )

    def __init__(self, news: WorkerNews) -> None:
        self.identity = news.identity
        self.incarnation = news.incarnation
        self.leaving = False
        self.sending = self.borrowed = self.borrowed_elsewhere = 0
        self.down_beat = -1
        self.down_ms = -1 << 40
        self.beat = -1
        self.listed = False
        self.failures = self.reading = self.reading_items = 0
        self.others = 0.0
        self.told_ms = self.answered_ms = self.asked_ms = self.sent_ms = self.full_until_ms = (
            -1 << 40
        )

    def take(self, news: WorkerNews, now_ms: int) -> None:
        self.address = news.address
        self.zone = news.zone
        self.labels = frozenset(news.labels)
        self.beat = news.beat
        self.running, self.waiting, self.slots = news.running, news.waiting, max(1, news.slots)
        self.cache_use = news.cache_use
        self.sending_then = self.sending
        self.heard_ms = now_ms
        self.leaving = self.leaving or news.leaving

    @property
    def weight(self) -> int:
        """What it probably has to do: its own report, moved by what this edge began or ended since."""
        return (
            max(
                self.sending,
                self.running
                + self.waiting
                + self.sending
                - self.sending_then
                - self.borrowed_elsewhere,
            )
            - self.borrowed
        )

    @property
    def stamp(self) -> str:
        return self.identity if self.listed else f"{self.identity}/{self.incarnation}"

    def told_load(self, running: int, waiting: int, slots: int, now_ms: int) -> None:
        """Its own word of its load, as it stood when it answered one of ours."""
        self.running, self.waiting, self.slots, self.sending_then = (
            running,
            waiting,
            max(1, slots),
            self.sending,
        )
        self.others = float(max(0, running + waiting - self.sending))
        self.told_ms = now_ms

    def load(self, now_ms: int) -> float:
        """What it probably has now: what is under way from here, and what others had there, which is the less
        sure the older it is. Prompts that are still read count twice, since all else waits for them.
        """
        return (
            self.sending
            + self.reading
            - self.borrowed
            + max(0.0, self.others_now(now_ms) - self.borrowed_elsewhere)
        )

    def others_now(self, now_ms: int) -> float:
        return self.others * math.exp(-max(0, now_ms - self.told_ms) / _LOAD_MS)

    def asked(self, now_ms: int) -> None:
        self.sent_ms = now_ms
        if self.asked_ms <= self.answered_ms or self.sending == 1:
            self.asked_ms = now_ms

    def silent_ms(self, now_ms: int) -> int:
        """For how long it has said nothing to anybody here, though something is under way."""
        return now_ms - max(self.asked_ms, self.answered_ms) if self.sending else 0
