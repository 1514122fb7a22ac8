"""A process's metrics, in the standard text format of Prometheus.

They are the numbers that its role gives, with their type and a line of help, and histograms of how
long clients' calls took by route.
"""

from collections.abc import Callable, Iterator
from typing import Any

__all__ = ["CONTENT_TYPE", "HELP", "Metrics"]

CONTENT_TYPE = "text/plain; version=0.0.4"
_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0)
HELP = {
    "edge_sends": "sends to workers by kind, and those that failed",
    "edge_steps": "last steps of transactions by name",
    "edge_ready": "1 while this edge takes visitors",
    "edge_live_now": "live calls under way",
    "edge_told": "what an edge itself told the clients of forwarded requests, by code",
    "edge_connections_opened": "connections made to workers",
    "edge_waiting_now": "live calls that wait for a slot",
    "edge_items_now": "items of lots under way",
    "edge_items_finished": "items of lots that ran here",
    "edge_samples_now": "slots in which samples of rollouts run",
    "edge_samples_finished": "samples that ran here to their end",
    "edge_samples_given_up": "samples given up for something else",
    "edge_loans_recalled": "times that all samples were given up since a lot might have come late",
    "edge_workers_lent": "workers that get nothing since they are lent whole",
    "control_loans": "loans of whole workers by what became of them",
    "edge_workers": "workers that may be used now",
    "store_asked": "what edges asked of the holder, by kind",
    "store_last_seq": "the log's last record here",
    "store_settled_seq": "up to where the log is on enough disks",
    "store_flushed_seq": "up to where this disk has the log",
    "store_epoch": "the highest epoch that this store has fenced",
    "store_holds": "1 while this store holds the log",
    "store_members_level": "members that have all that is settled on disk, as the holder knows",
    "store_copies_at_risk": "copies of the log that are lacking until every member is level",
    "store_open_lots": "lots that are open",
    "store_shelves": "files with the results of lots that are over",
    "control_epoch": "the epoch under which a control key was last owned here",
    "control_quorate": "1 while a majority of voters is heard",
    "control_voters_number": "the number of the present list of voters",
    "feed_place": "this node's place in the feed",
    "feed_sent_bytes": "news sent by this node",
    "worst_tick_ms": "the longest that the node's own work held up its loop",
}


def _help(name: str) -> str:
    found = max((prefix for prefix in HELP if name.startswith(prefix)), key=len, default="")
    return HELP.get(found, name.replace("_", " "))


class Metrics:
    """Collects the numbers that `read` gives and the times of calls.

    The collecting library is imported when it is first needed, not at a process's start.
    """

    __slots__ = ("_read", "_registry", "_took")

    def __init__(self, read: Callable[[], dict[str, float]]) -> None:
        self._read = read
        self._registry: Any = None
        self._took: Any = None

    def _begin(self) -> None:
        if self._registry is None:
            from prometheus_client import CollectorRegistry, Histogram

            self._registry = CollectorRegistry()
            self._registry.register(self)
            self._took = Histogram(
                "vaneledge_live_seconds",
                "how long visitors' live calls took, by path and verdict",
                ["path", "verdict"],
                registry=self._registry,
                buckets=_BUCKETS_S,
            )

    def collect(self) -> Iterator[Any]:
        """Yield the metric families, as the library's registry asks; `_total` marks a counter."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        for name, value in sorted(self._read().items()):
            family = CounterMetricFamily if name.endswith("_total") else GaugeMetricFamily
            yield family(
                f"vaneledge_{name.removesuffix('_total')}",
                _help(name.removesuffix("_total")),
                value=value,
            )

    def took(self, path: str, verdict: str, seconds: float) -> None:
        """Record that a live call of this route took so many seconds."""
        self._begin()
        self._took.labels(path, verdict).observe(seconds)

    def text(self) -> str:
        """Return all metrics as text."""
        from prometheus_client import generate_latest

        self._begin()
        return generate_latest(self._registry).decode()
