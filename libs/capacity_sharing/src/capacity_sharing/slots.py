"""The slots of workers that an edge may fill with samples now.

A sample may start at a worker if all of these hold:

- No request is queued at the worker, and it does not count as full after rejecting one as busy.
- It cannot be processing the prompt of a request of this edge.
- The slots in use are fewer than those outside the share kept free for live calls.
- This edge runs fewer samples there than its entitlement. All edges are entitled together to the
  share of the slots that the profile lends, but not to slots that the recent peak of live calls at
  the worker needs.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from control_store import Profile, ProfileTree
from request_routing import RequestLifecycle, RequestRouter, Worker, WorkerRegistry

from capacity_sharing.entitlement import Entitlements
from capacity_sharing.sampling import may_be_prefilling

__all__ = ["LendableSlots"]


class _LendingProfiles(NamedTuple):
    """The usable profiles of a profile tree that lend slots, cached for this tree."""

    tree: ProfileTree | None
    profiles: list[Profile]


class LendableSlots:
    """The slots that the profiles in force lend, less those that other requests or edges need.

    Parameters
    ----------
    edge
        Identity of this edge.
    router
        The requests that this edge has in flight.
    registry
        The known workers.
    profiles
        Returns the profiles in force.
    edges
        Returns the identity and the address of each other live edge.
    live_peak
        Returns the recent peak of live calls at a worker, or None if it is unknown; then no slot of
        the worker is lent.
    """

    __slots__ = (
        "_edge",
        "_edges",
        "_entitlements",
        "_lending",
        "_live_peak",
        "_other_weights_until_ms",
        "_profiles",
        "_registry",
        "_router",
    )

    def __init__(
        self,
        edge: str,
        router: RequestRouter,
        registry: WorkerRegistry,
        profiles: Callable[[], ProfileTree],
        edges: Callable[[], list[tuple[str, str]]],
        live_peak: Callable[[str], int | None],
    ) -> None:
        self._edge = edge
        self._router = router
        self._registry = registry
        self._profiles = profiles
        self._edges = edges
        self._live_peak = live_peak
        self._entitlements = Entitlements()
        self._lending = _LendingProfiles(None, [])
        self._other_weights_until_ms: dict[tuple[str, str], int] = {}

    def lending_profiles(self) -> list[Profile]:
        """Return the usable profiles that lend slots, cached until the profiles change."""
        tree = self._profiles()
        if self._lending.tree is not tree:
            lends = any(row.get("loan_share") for row in tree.rows.values())
            usable = [tree.usable(name) for name in tree.rows] if lends else []
            self._lending = _LendingProfiles(
                tree,
                [profile for profile in usable if profile is not None and profile.loan_share > 0],
            )
        return self._lending.profiles

    def capacity(self) -> tuple[int, frozenset[str]]:
        """Return how many workers may take a sample now, and on which paths."""
        prefilling = self._prefilling_instances()
        capacity = 0
        paths: set[str] = set()
        for worker in self._registry.workers():
            open_paths = [
                profile.name
                for profile in self.lending_profiles()
                if profile.allows(worker.identity, worker.labels)
                and self._takes_sample(worker, profile, prefilling)
            ]
            capacity += bool(open_paths)
            paths.update(open_paths)
        return capacity, frozenset(paths)

    def _prefilling_instances(self) -> set[str]:
        """Return the instance ids of workers that may be processing a prompt of this edge."""
        node = self._router.node
        now_ms, prefill_ms = node.env.now(), node.settings.heartbeat_ms
        return {
            attempt.worker.instance_id
            for attempt in self._router.attempts()
            if may_be_prefilling(attempt, now_ms, prefill_ms)
        }

    def used(self, worker: Worker) -> float:
        """Return the estimated number of slots in use at a worker, including all samples."""
        requests = (
            worker.load(self._router.node.env.now()) if worker.listed else worker.heartbeat_load
        )
        used: float = worker.borrowed + worker.borrowed_elsewhere + requests
        return used

    def usable(self, worker: Worker) -> int:
        """Return the number of a worker's slots without the `live_share` kept for live calls."""
        live_slots = math.ceil(worker.slots * self._router.node.settings.live_share)
        usable: int = worker.slots - live_slots
        return usable

    def _takes_sample(self, worker: Worker, profile: Profile, prefilling: set[str]) -> bool:
        """Whether a sample of a profile may start at a worker; see the module's conditions."""
        return (
            not worker.waiting
            and worker.full_until_ms <= self._router.node.env.now()
            and worker.instance_id not in prefilling
            and self.used(worker) < self.usable(worker)
            and worker.borrowed < self.entitlement(worker, profile.loan_share)
        )

    def entitlement(self, worker: Worker, share: float) -> int:
        """Return how many slots of a worker this edge may fill with samples.

        The slots lent by all edges together are the `share` of the worker's slots, but at most the
        usable slots less the recent peak of live calls. None is lent while the peak is unknown.
        """
        peak = self._live_peak(worker.identity)
        if peak is None:
            return 0
        edges = [self._edge, *(identity for identity, _ in self._edges())]
        lendable = min(math.floor(worker.slots * share), self.usable(worker) - peak)
        return self._entitlements.slots(self._edge, edges, worker.identity, max(0, lendable))

    def record_other_weights(self, instance_id: str, weights: str) -> None:
        """Choose the worker for no sample that requires these weights for the next `force_ms`."""
        node = self._router.node
        self._other_weights_until_ms[instance_id, weights] = node.env.now() + node.settings.force_ms

    def choose(
        self, lifecycle: RequestLifecycle, weights: str, workers: list[Worker]
    ) -> Worker | None:
        """Return the least loaded worker that may take a sample of these weights, or None.

        Load is the share of the worker's slots that are in use.
        """
        now_ms, prefilling = self._router.node.env.now(), self._prefilling_instances()
        candidates = [
            worker
            for worker in workers
            if worker.instance_id not in lifecycle.avoid
            and self._takes_sample(worker, lifecycle.profile, prefilling)
            and self._other_weights_until_ms.get((worker.instance_id, weights), -1) < now_ms
        ]
        return min(
            candidates,
            key=lambda worker: (self.used(worker) / worker.slots, worker.identity),
            default=None,
        )
