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
    "edge_sends": "requests sent to workers, by kind, and those that failed",
    "edge_steps": "requests that ended, by the kind of their last step",
    "edge_ready": "1 while this edge is ready to serve clients, else 0",
    "edge_live_now": "live completions in progress",
    "edge_told": "responses to forwarded requests that the edge made itself, by code",
    "edge_connections_opened": "connections opened to workers",
    "edge_waiting_now": "live requests queued for a slot",
    "edge_items_now": "batch items in progress",
    "edge_items_finished": "batch items that ran here successfully",
    "edge_samples_now": "rollout samples in progress, each in a slot of a worker",
    "edge_samples_finished": "rollout samples that ran here to their end",
    "edge_samples_given_up": "rollout samples preempted in favour of other work",
    "edge_loans_recalled": "times that all samples were stopped because a job might have been late",
    "edge_workers_lent": "workers that get no requests because they are leased to training",
    "control_loans": "loans of whole workers, by the state that they came into",
    "edge_workers": "usable workers that a profile in force allows",
    "store_asked": "requests from edges to the log's leader, by kind",
    "store_last_seq": "sequence number of the last record of the log on this store",
    "store_settled_seq": "sequence number of the last committed record: flushed on enough disks",
    "store_flushed_seq": "sequence number of the last record flushed to this store's disk",
    "store_epoch": "highest epoch that this store has been fenced with",
    "store_holds": "1 while this store leads the log, else 0",
    "store_members_level": "caught-up members: all committed records on disk, as the leader knows",
    "store_copies_at_risk": "members not caught up: replicas that the log lacks until they are",
    "store_open_lots": "open batch jobs",
    "store_shelves": "archive files, which hold the results of ended jobs",
    "control_epoch": "epoch under which this control node last owned a control key",
    "control_quorate": "1 while this voter hears a majority and is up to date, else 0",
    "control_voters_number": "version of the list of voters",
    "feed_place": "this node's position in the configuration feed: the sum of its versions",
    "feed_sent_bytes": "bytes of configuration updates that this node sent",
    "worst_tick_ms": "longest tick of the node since its start, in milliseconds",
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
                "durations of live completions in seconds, by path and verdict",
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
