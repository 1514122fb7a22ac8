"""Which slots of which workers an edge may fill with samples now, beside calls and items."""

import math
from collections.abc import Callable
from typing import Any

from request_routing import RequestLifecycle, RequestRouter, Worker, WorkerRegistry

from capacity_sharing.entitlement import Entitlements
from capacity_sharing.sampling import unstarted

__all__ = ["LendableSlots"]


class LendableSlots:
    """The slots that the profiles in force lend, less what calls, items and other edges need.

    `tree` gives the profiles in force, `edges` identity and address of the other live edges.
    `live_peak` gives how many live calls a worker lately had at once, None while unknown.
    """

    __slots__ = (
        "_edge",
        "_edges",
        "_entitled",
        "_lending",
        "_live_peak",
        "_other_weights",
        "_registry",
        "_router",
        "_tree",
    )

    def __init__(
        self,
        edge: str,
        router: RequestRouter,
        registry: WorkerRegistry,
        tree: Callable[[], Any],
        edges: Callable[[], list[tuple[str, str]]],
        live_peak: Callable[[str], int | None],
    ) -> None:
        self._edge, self._router, self._registry, self._tree = edge, router, registry, tree
        self._edges, self._live_peak = edges, live_peak
        self._entitled = Entitlements()
        self._lending: tuple[Any, list[Any]] = (None, [])
        self._other_weights: dict[tuple[str, str], int] = {}

    def profiles(self) -> list[Any]:
        """Return the usable profiles that lend slots, cached until the profiles change."""
        tree = self._tree()
        if self._lending[0] is not tree:
            lends = any(row.get("loan_share") for row in tree.rows.values())
            found = [tree.usable(name) for name in tree.rows] if lends else []
            self._lending = (
                tree,
                [profile for profile in found if profile is not None and profile.loan_share > 0],
            )
        return self._lending[1]

    def room(self) -> tuple[int, frozenset[str]]:
        """Return how many workers take a sample now, and the paths on which they do."""
        reading = self._reading()
        room, paths = 0, set()
        for worker in self._registry.workers():
            open_paths = [
                profile.name
                for profile in self.profiles()
                if profile.allows(worker.identity, worker.labels)
                and self._takes(worker, profile, reading)
            ]
            room += bool(open_paths)
            paths.update(open_paths)
        return room, frozenset(paths)

    def _reading(self) -> set[str]:
        """Stamps of the workers that may still be reading a prompt of this edge's calls."""
        node = self._router.node
        now_ms, reading_ms = node.env.now(), node.settings.heartbeat_ms
        return {
            send.worker.instance_id
            for send in self._router.attempts()
            if unstarted(send, now_ms, reading_ms)
        }

    def used(self, worker: Worker) -> float:
        """Return the slots in use at a worker, samples included."""
        requests = worker.load(self._router.node.env.now()) if worker.listed else worker.weight
        used: float = worker.borrowed + worker.borrowed_elsewhere + requests
        return used

    def usable(self, worker: Worker) -> int:
        """Return how many slots of a worker may be used before the share kept for live calls."""
        kept = math.ceil(worker.slots * self._router.node.settings.live_share)
        usable: int = worker.slots - kept
        return usable

    def _takes(self, worker: Worker, profile: Any, reading: set[str]) -> bool:
        return (
            not worker.waiting
            and worker.full_until_ms <= self._router.node.env.now()
            and worker.instance_id not in reading
            and self.used(worker) < self.usable(worker)
            and worker.borrowed < self.entitlement(worker, profile.loan_share)
        )

    def entitlement(self, worker: Worker, share: float) -> int:
        """Return how many slots of a worker this edge may fill with samples.

        That is its part of the share lent, less what live calls lately needed.
        """
        peak = self._live_peak(worker.identity)
        if peak is None:
            return 0
        edges = [self._edge, *(identity for identity, _ in self._edges())]
        lendable = min(math.floor(worker.slots * share), self.usable(worker) - peak)
        return self._entitled.slots(self._edge, edges, worker.identity, max(0, lendable))

    def has_other_weights(self, stamp: str, weights: str) -> None:
        """Offer the worker no sample that wants these weights until `force_ms` has passed."""
        node = self._router.node
        self._other_weights[stamp, weights] = node.env.now() + node.settings.force_ms

    def choose(
        self, lifecycle: RequestLifecycle, weights: str, workers: list[Worker]
    ) -> Worker | None:
        """Return the least loaded worker that takes a sample of these weights, or None."""
        now_ms, reading = self._router.node.env.now(), self._reading()
        fit = [
            worker
            for worker in workers
            if worker.instance_id not in lifecycle.avoid
            and self._takes(worker, lifecycle.profile, reading)
            and self._other_weights.get((worker.instance_id, weights), -1) < now_ms
        ]
        return min(
            fit,
            key=lambda worker: (self.used(worker) / worker.slots, worker.identity),
            default=None,
        )
