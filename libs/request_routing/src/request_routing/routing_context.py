"""The interfaces between the request router and the modules that choose workers for it.

`RoutingContext` is the state of the router that worker choice and attempts may read; `SlotLender`
is the component that lends workers' slots to rollouts.
"""

from collections.abc import Callable
from typing import Any, Protocol

from request_routing.header_names import WorkerHeaderNames
from request_routing.prefill_tracker import PrefillTracker
from request_routing.prefix_affinity import PrefixAffinity
from request_routing.worker import Worker

__all__ = ["RoutingContext", "SlotLender"]


class SlotLender(Protocol):
    """Lends slots to rollouts and reclaims them for live requests and batch items."""

    def reclaim_slots(self, workers: list[Worker]) -> None:
        """Reclaim the lent slots of these workers, as a live request found no free slot."""
        ...

    def reclaim_slot(self, worker: Worker, call: Any) -> None:
        """Reclaim a lent slot, if needed, for a call that is about to be sent to this worker."""
        ...

    def choose(self, lifecycle: Any, weights: str, workers: list[Worker]) -> Worker | None:
        """Return the worker for a rollout sample that needs these weights, or None."""
        ...


class RoutingContext(Protocol):
    """The state of a request router that routing decisions depend on.

    Attributes
    ----------
    node
        The node, which has the settings and the clock.
    edge_count
        Returns the number of edges that share the workers, this one included.
    header_names
        Header names of the workers of forwarded calls, or None if there are none.
    slot_lender
        Lends slots to rollouts, or None.
    prefill
        Estimates of the prompt tokens that workers have still to process, or None.
    prefix_affinity
        Estimates of the workers' prompt caches.
    prefilling_items
        Number of batch items that this edge sent and whose prompts are being processed.
    by_prefix
        Whether completions are placed by the prefix of their prompt.
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
        """Return how many batch items (`job`) or live requests are in flight."""
        ...

    def seems_stalled(self, worker: Worker, route: str) -> bool:
        """Whether a worker has been silent for unusually long on this route."""
        ...
