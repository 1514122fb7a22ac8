"""A process's metrics in the Prometheus text format.

They are the counters and gauges of the process's role, each with a line of help, and a histogram of
the durations of live completions by path and verdict.
"""

from collections.abc import Callable, Iterator
from typing import Any

__all__ = ["CONTENT_TYPE", "HELP", "Metrics"]

CONTENT_TYPE = "text/plain; version=0.0.4"
_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0)
HELP = {
    "edge_sends": "sends to workers by kind, and those that failed",
    "edge_steps": "last steps of requests by name",
    "edge_ready": "1 while this edge takes clients",
    "edge_live_now": "live calls in progress",
    "edge_told": "responses that an edge itself gave clients of forwarded requests, by code",
    "edge_connections_opened": "connections made to workers",
    "edge_waiting_now": "live calls that wait for a slot",
    "edge_items_now": "items of jobs in progress",
    "edge_items_finished": "items of jobs that ran here",
    "edge_samples_now": "slots in which samples of rollouts run",
    "edge_samples_finished": "samples that ran here to their end",
    "edge_samples_given_up": "samples cancelled in favour of something else",
    "edge_loans_recalled": "times that all samples were cancelled since a job might have been late",
    "edge_workers_lent": "workers that get no requests since they are leased to training",
    "control_loans": "loans of whole workers by outcome",
    "edge_workers": "workers that may be used now",
    "store_asked": "requests of edges to the leader, by kind",
    "store_last_seq": "the log's last record here",
    "store_settled_seq": "the last record that is committed: flushed on enough disks",
    "store_flushed_seq": "the last record that is flushed to this disk",
    "store_epoch": "the highest epoch that this store has been fenced with",
    "store_holds": "1 while this store leads the log",
    "store_members_level": "members that have all committed records on disk, as the leader knows",
    "store_copies_at_risk": "replicas of the log that are lacking until every member has caught up",
    "store_open_lots": "jobs that are open",
    "store_shelves": "archive files, with the results of jobs that have ended",
    "control_epoch": "the epoch under which a control key was last owned here",
    "control_quorate": "1 while a majority of voters is heard",
    "control_voters_number": "the version of the list of voters",
    "feed_place": "this node's position in the feed",
    "feed_sent_bytes": "updates sent by this node",
    "request_memory_used_bytes": "memory that clients' requests and connections hold now",
    "request_memory_limit_bytes": "memory that they may hold together",
    "request_memory_refused": "requests and connections given up since there was none for them",
    "worst_tick_ms": "the longest that the node's own work held up its loop",
}


def _help_text(name: str) -> str:
    longest = max((prefix for prefix in HELP if name.startswith(prefix)), key=len, default="")
    return HELP.get(longest, name.replace("_", " "))


class Metrics:
    """Collects a process's metrics and the durations of its live completions.

    `prometheus_client` is imported at the first use, not at a process's start.

    Parameters
    ----------
    read
        Returns the present values by name, without the prefix `vaneledge_`. Names that end in
        `_total` are counters, all others are gauges.
    """

    __slots__ = ("_durations", "_read", "_registry")

    def __init__(self, read: Callable[[], dict[str, float]]) -> None:
        self._read = read
        self._registry: Any = None
        self._durations: Any = None

    def _ensure_registry(self) -> None:
        if self._registry is None:
            from prometheus_client import CollectorRegistry, Histogram

            self._registry = CollectorRegistry()
            self._registry.register(self)
            self._durations = Histogram(
                "vaneledge_live_seconds",
                "how long clients' live calls took, by path and verdict",
                ["path", "verdict"],
                registry=self._registry,
                buckets=_BUCKETS_S,
            )

    def collect(self) -> Iterator[Any]:
        """Yield the metric families; called by the registry of `prometheus_client`."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        for name, value in sorted(self._read().items()):
            family = CounterMetricFamily if name.endswith("_total") else GaugeMetricFamily
            yield family(
                f"vaneledge_{name.removesuffix('_total')}",
                _help_text(name.removesuffix("_total")),
                value=value,
            )

    def observe_completion(self, path: str, verdict: str, seconds: float) -> None:
        """Record the duration of a live completion of this path."""
        self._ensure_registry()
        self._durations.labels(path, verdict).observe(seconds)

    def text(self) -> str:
        """Return all metrics in the text format."""
        from prometheus_client import generate_latest

        self._ensure_registry()
        return bytes(generate_latest(self._registry)).decode()
