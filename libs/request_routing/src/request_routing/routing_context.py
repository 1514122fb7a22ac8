"""What the parts that choose workers and build attempts may use of an edge's request router."""

from collections.abc import Callable
from typing import Any, Protocol

from request_routing.header_names import WorkerHeaderNames
from request_routing.prefill_tracker import PrefillTracker
from request_routing.prefix_affinity import PrefixAffinity
from request_routing.worker import Worker

__all__ = ["RoutingContext", "SlotLender"]


class SlotLender(Protocol):
    """Whoever lends slots to rollouts and takes them back for live requests and batch items."""

    def reclaim_slots(self, workers: list[Worker]) -> None:
        """Give back slots of these workers: a live request found none free."""
        ...

    def reclaim_slot(self, worker: Worker, call: Any) -> None:
        """Give a slot back for a call that is about to be sent to this worker."""
        ...

    def choose(self, lifecycle: Any, weights: str, workers: list[Worker]) -> Worker | None:
        """Return the worker for a sample of a rollout, or None."""
        ...


class RoutingContext(Protocol):
    """The state of a request router that decisions depend on.

    `edge_count` gives how many edges share the workers, this one included; `header_names` are those
    of the workers of forwarded calls; `prefilling_items` counts the batch items whose prompts are
    being read.
    """

    node: Any
    edge_count: Callable[[], int]
    header_names: WorkerHeaderNames | None
    slot_lender: SlotLender | None
    prefill: PrefillTracker | None
    prefix_affinity: PrefixAffinity
    prefilling_items: int
    by_prefix: bool

    def count_in_flight(self, job: bool) -> int:
        """Return how many batch items or live requests are in flight."""
        ...

    def seems_stalled(self, worker: Worker, route: str) -> bool:
        """Whether a worker is silent for unusually long."""
        ...
