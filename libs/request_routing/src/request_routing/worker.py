"""An edge's state of one worker.

It is built from the worker's own updates (heartbeats and a leave), the load that the worker reports
in responses, and the requests that this edge has in flight there.
"""

import math

from messaging import Message

from request_routing.response_head import WorkerLoad

__all__ = ["NEVER_MS", "Worker", "WorkerUpdate"]

NEVER_MS = -1 << 40
"""A time in milliseconds that is earlier than any time of the node's clock."""

# Time constant of the exponential decay of the load that a worker reported of other callers.
_LOAD_DECAY_MS = 1000.0


class WorkerUpdate(Message, wire_name="WorkerNews"):
    """A heartbeat or leave of a worker, which edges flood to each other.

    `cache_use` is the used fraction of the worker's cache, from 0 to 1.
    """

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
    """The state and load of one incarnation of a worker.

    Times are milliseconds of the node's clock, NEVER_MS if the event has not happened.

    Attributes
    ----------
    listed
        True if the worker comes from the list that the control service keeps, false if it is known
        by its own heartbeats.
    beat
        Number of the last heartbeat.
    running, waiting, slots
        Requests that run and that are queued at the worker, and its slots, as last reported.
    in_flight
        This edge's requests that are in flight at the worker, rollout samples included.
    in_flight_at_report
        `in_flight` when the worker last reported its load.
    other_load, load_reported_ms
        Requests of other callers at the worker when it last reported its load in a response to
        this edge, and when that was.
    borrowed, borrowed_elsewhere
        Slots in which this edge runs rollout samples, and in which other edges do by their last
        reports. Samples are preempted by any other request, so they are not counted as load.
    prefilling, prefilling_items
        This edge's streams whose prompt the worker is still processing, and how many of them are
        batch items. Of other requests nothing tells when their prompt was processed.
    failures
        Number of consecutive connection failures, stalls included; those during a backoff count as
        one.
    down_ms, down_heartbeat
        Time of the last such failure, and `beat` at that time.
    retry_at_ms
        When the backoff after these failures ends.
    full_until_ms
        Until when the worker counts as full after it rejected a request as busy.
    heard_ms
        When the last heartbeat was received or the worker was last listed.
    answered_ms, sent_ms
        When the worker last sent a part of a response, and when a request was last sent to it.
    oldest_unanswered_ms
        When the first request was sent after the worker's last response, or when the only request
        in flight was sent.
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
        "retry_at_ms",
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
        self.down_ms = self.retry_at_ms = self.full_until_ms = NEVER_MS
        self.load_reported_ms = self.answered_ms = NEVER_MS
        self.oldest_unanswered_ms = self.sent_ms = NEVER_MS
        self.apply_update(update, now_ms)

    def apply_update(self, update: WorkerUpdate, now_ms: int) -> None:
        """Apply an update of the worker that was received at `now_ms`; a leave is final."""
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
    def heartbeat_load(self) -> int:
        """The estimated load in requests, for workers known by their heartbeats.

        It is the last reported load plus the change of this edge's requests since then, but at
        least the latter's number. Rollout samples are not counted.
        """
        reported = self.running + self.waiting - self.borrowed_elsewhere
        corrected = reported + self.in_flight - self.in_flight_at_report
        return max(self.in_flight, corrected) - self.borrowed

    @property
    def instance_id(self) -> str:
        """The identity that requests name: with the incarnation, unless the worker is listed."""
        return self.identity if self.listed else f"{self.identity}/{self.incarnation}"

    def report_load(self, load: WorkerLoad, now_ms: int) -> None:
        """Record the load that the worker reported in a response to this edge."""
        self.running, self.waiting, self.slots = load.running, load.waiting, max(1, load.slots)
        self.in_flight_at_report = self.in_flight
        self.other_load = float(max(0, load.running + load.waiting - self.in_flight))
        self.load_reported_ms = now_ms

    def load(self, now_ms: int) -> float:
        """Return the estimated load in requests at `now_ms`, without rollout samples.

        Requests of other callers count less the older the worker's report is. Requests whose prompt
        is being processed count twice, since all other requests at the worker wait meanwhile.
        """
        others = max(0.0, self.other_load_now(now_ms) - self.borrowed_elsewhere)
        return self.in_flight + self.prefilling - self.borrowed + others

    def other_load_now(self, now_ms: int) -> float:
        """Return the estimated requests of other callers, which decay with the report's age."""
        age_ms = max(0, now_ms - self.load_reported_ms)
        return self.other_load * math.exp(-age_ms / _LOAD_DECAY_MS)

    def request_sent(self, now_ms: int) -> None:
        """Record that a request was sent at `now_ms`; it has to be in `in_flight` already."""
        self.sent_ms = now_ms
        if self.oldest_unanswered_ms <= self.answered_ms or self.in_flight == 1:
            self.oldest_unanswered_ms = now_ms

    def is_tested(self, now_ms: int, timeout_ms: int) -> bool:
        """Whether a request that was sent after the last failure may still show that it serves.

        A test counts for `timeout_ms`; after that another one may be made.
        """
        return self.in_flight > 0 and self.down_ms <= self.sent_ms > now_ms - timeout_ms

    def silent_ms(self, now_ms: int) -> int:
        """Return for how many milliseconds the worker has been silent.

        It counts from the worker's last data for any request of this edge, or from
        `oldest_unanswered_ms` if that is later. It is 0 if no request is in flight.
        """
        if not self.in_flight:
            return 0
        return now_ms - max(self.oldest_unanswered_ms, self.answered_ms)
