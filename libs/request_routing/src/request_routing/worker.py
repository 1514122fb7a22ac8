"""One worker as an edge knows it.

It has the worker's own updates (a heartbeat or a leave), the load that it last reported, and what
this edge has in flight there.
"""

import math

from messaging import Message

from request_routing.response_head import WorkerLoad

__all__ = ["NEVER_MS", "Worker", "WorkerUpdate"]

NEVER_MS = -1 << 40
"""A time of the node's clock before anything happened, in milliseconds."""

_LOAD_DECAY_MS = 1000.0


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

    `other_load` is what callers elsewhere had there when it last reported its load. `borrowed` are
    slots in which this edge runs samples of rollouts, `borrowed_elsewhere` those of other edges as
    they last reported: samples give way to anything else, and so are not counted as load.
    `prefilling` are this edge's prompts that the worker has not read yet, `prefilling_items` those
    of them that are batch items'.
    """

    __slots__ = (
        "address",
        "answered_ms",
        "beat",
        "borrowed",
        "borrowed_elsewhere",
        "cache_use",
        "down_heartbeat",
        "down_ms",
        "failures",
        "full_until_ms",
        "heard_ms",
        "identity",
        "in_flight",
        "in_flight_at_report",
        "incarnation",
        "labels",
        "leaving",
        "listed",
        "load_reported_ms",
        "oldest_unanswered_ms",
        "other_load",
        "prefilling",
        "prefilling_items",
        "running",
        "sent_ms",
        "slots",
        "waiting",
        "zone",
    )

    def __init__(self, update: WorkerUpdate, now_ms: int) -> None:
        self.identity = update.identity
        self.incarnation = update.incarnation
        self.leaving = False
        self.listed = False
        self.in_flight = self.borrowed = self.borrowed_elsewhere = 0
        self.prefilling = self.prefilling_items = 0
        self.failures = 0
        self.other_load = 0.0
        self.down_heartbeat = -1
        self.down_ms = self.full_until_ms = NEVER_MS
        self.load_reported_ms = self.answered_ms = NEVER_MS
        self.oldest_unanswered_ms = self.sent_ms = NEVER_MS
        self.apply_update(update, now_ms)

    def apply_update(self, update: WorkerUpdate, now_ms: int) -> None:
        """Take the worker's update, heard at `now_ms`."""
        self.address = update.address
        self.zone = update.zone
        self.labels = frozenset(update.labels)
        self.beat = update.beat
        self.running, self.waiting = update.running, update.waiting
        self.slots = max(1, update.slots)
        self.cache_use = update.cache_use
        self.in_flight_at_report = self.in_flight
        self.heard_ms = now_ms
        self.leaving = self.leaving or update.leaving

    @property
    def weight(self) -> int:
        """The estimated load: its own report, corrected by what this edge began or ended since."""
        reported = self.running + self.waiting - self.borrowed_elsewhere
        corrected = reported + self.in_flight - self.in_flight_at_report
        return max(self.in_flight, corrected) - self.borrowed

    @property
    def instance_id(self) -> str:
        """The identity that a request carries, with the incarnation unless control lists it."""
        return self.identity if self.listed else f"{self.identity}/{self.incarnation}"

    def report_load(self, load: WorkerLoad, now_ms: int) -> None:
        """Take the load that the worker reported in an answer to this edge."""
        self.running, self.waiting, self.slots = load.running, load.waiting, max(1, load.slots)
        self.in_flight_at_report = self.in_flight
        self.other_load = float(max(0, load.running + load.waiting - self.in_flight))
        self.load_reported_ms = now_ms

    def load(self, now_ms: int) -> float:
        """Return the estimated load now: this edge's requests and those of others.

        Those of others count less the older the report is. Prompts that are still read count twice,
        since all else waits for them.
        """
        others = max(0.0, self.other_load_now(now_ms) - self.borrowed_elsewhere)
        return self.in_flight + self.prefilling - self.borrowed + others

    def other_load_now(self, now_ms: int) -> float:
        """Return the estimated load by other callers, which decays with the report's age."""
        age_ms = max(0, now_ms - self.load_reported_ms)
        return self.other_load * math.exp(-age_ms / _LOAD_DECAY_MS)

    def request_sent(self, now_ms: int) -> None:
        """Record that a request was sent now, and is counted in `in_flight`."""
        self.sent_ms = now_ms
        if self.oldest_unanswered_ms <= self.answered_ms or self.in_flight == 1:
            self.oldest_unanswered_ms = now_ms

    def silent_ms(self, now_ms: int) -> int:
        """Return for how long it has said nothing to anybody here though requests are in flight."""
        if not self.in_flight:
            return 0
        return now_ms - max(self.oldest_unanswered_ms, self.answered_ms)
