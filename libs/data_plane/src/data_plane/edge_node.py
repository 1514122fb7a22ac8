"""The edge node: assembles the components that serve clients and route requests to workers.

The same code runs in a process and in the simulator, which pass in the environment and the
transport of requests. Each component is made after those that it depends on.
"""

from collections.abc import Callable
from typing import Any

from batch_state.messages import RolloutAssignment
from capacity_sharing import LentWorkers, SampleRunner
from messaging import Environment
from request_routing import (
    ItemExecutor,
    JobRunner,
    LeaderClient,
    PrefillTracker,
    RequestRouter,
    WorkerRegistry,
)
from runtime.settings import Settings

from data_plane.control_keys import LOG_KEY, PROFILES_KEY, WORKERS_KEY
from data_plane.data_node import DataNode
from data_plane.drain_schedule import DrainSchedule
from data_plane.edge_readiness import EdgeReadiness
from data_plane.edge_service import EdgeService
from data_plane.forward_job_service import ForwardJobService
from data_plane.forward_service import ForwardService
from data_plane.rollout_service import RolloutService

__all__ = ["EdgeNode"]

# Up to this many other edges, prefill updates go to all of them; above, to those of the zone.
_SMALL_FLEET_EDGES = 12


class EdgeNode(DataNode):
    """An edge: serves clients, and routes their requests to workers.

    `stopping` is set when the process drains; the edge is then not ready.

    Parameters
    ----------
    env
        The clock, random numbers, network and log.
    settings
        The node's settings.
    sender
        The transport of requests to workers, such as `data_plane.sender.HttpSender`.
    """

    __slots__ = (
        "_readiness",
        "edge_service",
        "forward_job_service",
        "forward_service",
        "item_executor",
        "job_runner",
        "leader_client",
        "lent_workers",
        "prefill_tracker",
        "registry",
        "rollout_service",
        "router",
        "sample_runner",
        "stopping",
    )

    def __init__(self, env: Environment, settings: Settings, sender: Any) -> None:
        identity = f"edge-{env.token()}"
        self._make_shared_components(env, settings, identity)
        self._readiness = EdgeReadiness(self)
        self.stopping = False
        self.membership.is_ready = self.config_feed.is_current = lambda: not self.why_unready()
        self._make_routing(identity, sender)
        self._make_batch_work(identity)
        self._make_capacity_sharing(identity)
        self._make_services()
        super().__init__(
            env,
            settings,
            [
                self.membership,
                self.config_feed,
                self.leader_client,
                self.registry,
                self.router,
                self.prefill_tracker,
                self.item_executor,
                self.job_runner,
                self.edge_service,
                self.forward_service,
                self.forward_job_service,
                self.rollout_service,
                self.sample_runner,
                self.lent_workers,
            ],
        )

    def _make_routing(self, identity: str, sender: Any) -> None:
        """Make the components that send requests to workers."""
        self.leader_client = LeaderClient(
            lambda: self.config_feed.body(LOG_KEY),
            lambda: [
                card.address
                for card in self.membership.nodes_in_role("store", self.settings.removal_timeout_ms)
            ],
        )
        self.registry = WorkerRegistry(
            lambda: [card.address for card in self.membership.view() if card.role == "edge"],
            lambda identity, labels: self.profile_tree().allows_worker(identity, labels),
            self._worker_list,
        )
        self.router = RequestRouter(
            identity, self.leader_client, self.registry, self.profile_tree, sender, self._edge_count
        )
        self.prefill_tracker = self.router.prefill = PrefillTracker(self._prefill_peers)

    def _make_batch_work(self, identity: str) -> None:
        """Make the components that run items of batch jobs and samples of rollouts."""
        self.item_executor = ItemExecutor(
            self.router, self.registry, self.profile_tree, self.why_unready, self._edge_count
        )
        self.sample_runner = SampleRunner(
            identity,
            self.router,
            self.registry,
            self.profile_tree,
            self.why_unready,
            self._live_edges,
        )
        self.job_runner = JobRunner(
            identity, self.leader_client, self.item_executor.capacity, self._start_assignment
        )
        self.job_runner.samples = self.sample_runner

    def _make_capacity_sharing(self, identity: str) -> None:
        """Make the component that lends whole workers to training."""
        self.lent_workers = LentWorkers(
            identity,
            self.config_feed,
            self.registry,
            self.router,
            self.sample_runner.lends,
            lambda: self.sample_runner.recalled,
            lambda: [*self._control_addresses(), *(address for _, address in self._live_edges())],
        )
        self.sample_runner.live_peak = self.lent_workers.live_peak

    def _make_services(self) -> None:
        """Make the services that the HTTP servers call."""
        self.edge_service = EdgeService(
            self.router, self.leader_client, self.job_runner, self.profile_tree, self.why_unready
        )
        self.rollout_service = RolloutService(
            self.edge_service, self.leader_client, self.profile_tree
        )
        self.forward_service = ForwardService(
            self.router, self.profile_tree, self._readiness.why_profiles_uncertain
        )
        self.forward_job_service = ForwardJobService(
            self.leader_client,
            self.job_runner,
            lambda: (self.config_feed.version(PROFILES_KEY), self.profile_tree()),
        )

    def _start_assignment(self, assignment: Any, done: Callable[..., None]) -> Any:
        """Start a batch item or a rollout sample that the leader has assigned to this edge."""
        is_rollout = isinstance(assignment, RolloutAssignment)
        executor = self.sample_runner if is_rollout else self.item_executor
        return executor.start(assignment, done)

    def _worker_list(self) -> tuple[int, str]:
        """Return the version and the body of the control plane's worker list in the feed."""
        return self.config_feed.version(WORKERS_KEY), self.config_feed.body(WORKERS_KEY)

    def _live_edges(self) -> list[tuple[str, str]]:
        """Return the identity and the address of each other live edge."""
        return [
            (card.identity, card.address)
            for card in self.membership.nodes_in_role("edge", self.settings.failure_timeout_ms)
        ]

    def _prefill_peers(self) -> list[str]:
        """Return the addresses of the edges that receive prefill updates.

        In a small fleet those are all other edges, else only those of this zone, as edges prefer
        workers of their own zone.
        """
        cards = self.membership.nodes_in_role("edge", self.settings.removal_timeout_ms)
        if len(cards) > _SMALL_FLEET_EDGES:
            return [card.address for card in cards if card.zone == self.settings.zone]
        return [card.address for card in cards]

    def _edge_count(self) -> int:
        """Return the number of live edges.

        It is the number that the configuration feed's digests report. Where they report none, it is
        the number of edges heard of within `failure_timeout_ms`, plus this one.
        """
        return self.config_feed.edge_count() or 1 + len(
            self.membership.nodes_in_role("edge", self.settings.failure_timeout_ms)
        )

    def start_draining(self, schedule: DrainSchedule) -> None:
        """Become unready, accept no more batch items, and limit the time of all requests."""
        self.stopping = True
        self.job_runner.paused = True
        self.router.limit_deadlines(schedule.answer_by_ms)
        self.forward_service.drain = schedule
        self.forward_job_service.limit_deadlines(schedule.answer_by_ms)

    def why_unready(self) -> str:
        """Return why the edge is not ready, or an empty string."""
        return "stopping" if self.stopping else self._readiness.why_profiles_uncertain()
