"""One worker as an edge knows it.

It has the worker's own news (a heartbeat or a leave), the load that it last reported, and what this
edge has in flight there.
"""

import math

from messaging import Message

__all__ = ["Worker", "WorkerUpdate"]

_LOAD_MS = 1000.0


class WorkerUpdate(Message, wire_name="WorkerNews"):
    """A worker's heartbeat or leave, as edges flood it; `cache_use` is a share from 0 to 1."""

    identity: str
    incarnation: int
    address: str
    zone: str
    labels: list[str]
    beat: int
    running: int
    waiting: int
    slots: int
    cache_use: float
    leaving: bool


class Worker:
    """A worker's state and load; times are milliseconds of the node's clock.

    `others` is what callers elsewhere had there when it last reported its load. `borrowed` are
    slots in which this edge runs samples of rollouts, `borrowed_elsewhere` those of other edges as
    they last reported: samples give way to anything else, and so are not counted as load.
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

    def __init__(self, news: WorkerUpdate) -> None:
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

    def take(self, news: WorkerUpdate, now_ms: int) -> None:
        """Take the worker's news, heard at `now_ms`."""
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
        """The estimated load: its own report, corrected by what this edge began or ended since."""
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
        """The identity that a request carries, with the incarnation unless control lists it."""
        return self.identity if self.listed else f"{self.identity}/{self.incarnation}"

    def told_load(self, running: int, waiting: int, slots: int, now_ms: int) -> None:
        """Take the load that the worker reported in an answer to this edge."""
        self.running, self.waiting, self.slots, self.sending_then = (
            running,
            waiting,
            max(1, slots),
            self.sending,
        )
        self.others = float(max(0, running + waiting - self.sending))
        self.told_ms = now_ms

    def load(self, now_ms: int) -> float:
        """Return the estimated load now: this edge's requests and those of others.

        Those of others count less the older the report is. Prompts that are still read count twice,
        since all else waits for them.
        """
        return (
            self.sending
            + self.reading
            - self.borrowed
            + max(0.0, self.others_now(now_ms) - self.borrowed_elsewhere)
        )

    def others_now(self, now_ms: int) -> float:
        """Return the estimated load by other callers, which decays with the report's age."""
        return self.others * math.exp(-max(0, now_ms - self.told_ms) / _LOAD_MS)

    def asked(self, now_ms: int) -> None:
        """Record that a request was sent now."""
        self.sent_ms = now_ms
        if self.asked_ms <= self.answered_ms or self.sending == 1:
            self.asked_ms = now_ms

    def silent_ms(self, now_ms: int) -> int:
        """Return for how long it has said nothing to anybody here though requests are in flight."""
        return now_ms - max(self.asked_ms, self.answered_ms) if self.sending else 0
