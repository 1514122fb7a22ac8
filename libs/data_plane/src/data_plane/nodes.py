"""The two kinds of data-plane node, put together from their parts.

They run alike in a process and in the simulator; only the environment, the disk and the transport
of requests are passed in.
"""

import json
from typing import Any

from batch_state import BatchService
from batch_state import messages as m
from capacity_sharing import Borrowing, JobOutlook, LentWorkers
from config_feed import ConfigFeed, candidates
from control_store import ControlClient, ProfileTree, profiles_digest
from membership import Membership, duty_order
from messaging import Environment, Node
from replicated_log import ArchiveRepair, LocalLog, LogReplica
from request_routing import (
    ItemExecutor,
    JobRunner,
    LeaderClient,
    PrefillTracker,
    RequestRouter,
    WorkerRegistry,
)
from storage import Disk

from data_plane.control_keys import (
    CONTROL_KEY,
    LOG_KEY,
    PROFILES_KEY,
    RETIRED_KEY,
    WORKERS_KEY,
    open_or_set_aside,
)
from data_plane.edge_service import EdgeService
from data_plane.forward_job_service import ForwardJobService
from data_plane.forward_service import ForwardService
from data_plane.rollouts import RolloutCounter

_FEW_EDGES = 12

__all__ = ["EdgeNode", "StoreNode"]


class _DataNode(Node):
    """What stores and edges share: neighbours, the configuration feed, the profiles in force."""

    __slots__ = ("_tree", "_tree_number", "config_feed", "neighbours", "tree_digest")

    def _common(self, identity: str) -> None:
        self.neighbours = Membership(identity)
        self.config_feed = ConfigFeed(
            identity,
            lambda: [card.address for card in self.neighbours.view()],
            self._control_addresses,
        )
        self.neighbours.wanted = self._wanted
        self.config_feed.candidates = lambda: candidates(
            self.config_feed.value(CONTROL_KEY), self.neighbours, self.settings.gone_ms
        )
        self._tree = ProfileTree({})
        self._tree_number = 0
        self.tree_digest = ""

    def _control_addresses(self) -> list[str]:
        value = self.config_feed.value(CONTROL_KEY)
        if value:
            return [row["address"] for row in value["voters"]]
        return [card.address for card in self.neighbours.of_role("control", self.settings.gone_ms)]

    def _wanted(self) -> list[str]:
        return self._control_addresses()

    def tree(self) -> ProfileTree:
        """Return the profiles in force, parsed again when the feed has newer ones."""
        number = self.config_feed.number(PROFILES_KEY)
        if number != self._tree_number:
            self._tree = ProfileTree.of_body(self.config_feed.body(PROFILES_KEY))
            self._tree_number = number
            self.tree_digest = profiles_digest(self.config_feed.body(PROFILES_KEY))
        return self._tree


class StoreNode(_DataNode):
    """A store: it keeps the replicated log and, as the log's leader, assigns batches."""

    __slots__ = ("_started_ms", "control", "desk", "disk", "log", "mending")

    def __init__(self, env: Environment, settings: Any, disk: Disk) -> None:
        self.env, self.settings, self.disk = env, settings, disk
        local = open_or_set_aside(env, disk, lambda: LocalLog(disk, settings, env.now, env.token))
        self._common(local.identity)
        self._started_ms = env.now()
        self.control = ControlClient(self._control_addresses, self._key_owners)
        self.desk = BatchService(
            lambda: (self.config_feed.number(PROFILES_KEY), self.tree()),
            self._who_holds,
            lambda: self.log.log.state,
        )
        self.log = LogReplica(local, self.control, self, self.desk.take_holder)
        self.mending = ArchiveRepair(local, self._other_members)
        self.desk.make_forecast = lambda: JobOutlook(settings.dead_ms)
        self.desk.shelves, self.desk.mend = local.archive, self.mending.repair
        local.archive.on_archived = self._shelved
        super().__init__(
            env,
            settings,
            [self.neighbours, self.config_feed, self.control, self.log, self.desk, self.mending],
        )

    def _key_owners(self, key: str) -> list[str]:
        """Return the voters that live, as far as is heard, in the order of the key's ownership."""
        voters = {
            row["identity"]: row["address"]
            for row in (self.config_feed.value(CONTROL_KEY) or {"voters": []})["voters"]
        }
        return [voters[name] for name in duty_order(key, voters) if self.neighbours.live(name)]

    # -- what the log asks about the fleet -----------------------------------------------------

    def log_key(self) -> tuple[int, str]:
        """Return the number and the body of the log's control key, as the feed has it."""
        return self.config_feed.number(LOG_KEY), self.config_feed.body(LOG_KEY)

    def _other_members(self) -> list[str]:
        return [
            row["address"]
            for row in (self.config_feed.value(LOG_KEY) or {"members": []})["members"]
            if row["address"] != self.address
        ]

    def _shelved(self, entries: list[Any]) -> None:
        """Have the leader's own, logged ledger release what was archived here."""
        if self.log.leader is not None:
            for entry in entries:
                self.log.leader.drop_archived(entry)

    def live_stores(self) -> dict[str, str]:
        """Return the addresses of the other live stores by identity."""
        return {
            card.identity: card.address
            for card in self.neighbours.of_role("store", self.settings.dead_ms)
        }

    def store_rows(self) -> list[dict[str, str]]:
        """Return the live stores, this one among them, ordered by identity."""
        cards = [self.neighbours.card(), *self.neighbours.of_role("store", self.settings.dead_ms)]
        return sorted(
            (
                {"identity": card.identity, "address": card.address, "zone": card.zone}
                for card in cards
            ),
            key=lambda row: row["identity"],
        )

    def live_store(self, identity: str) -> bool:
        """Whether this store is known to live."""
        return self.neighbours.live(identity)

    def retired_stores(self) -> list[str]:
        """Return the identities of the stores that control has retired."""
        return (self.config_feed.value(RETIRED_KEY) or {}).get("identities", [])

    def settled_in(self) -> bool:
        """Whether it is up long enough to know who lives, and in touch with a control majority."""
        now_ms = self.env.now()
        return (
            now_ms - self._started_ms > self.settings.dead_ms
            and now_ms - self.config_feed.quorate_ms < self.settings.dead_ms
        )

    def learned(self, number: int, body: str) -> None:
        """Take a log key that control has told this store itself, ahead of the feed."""
        self.config_feed.publish(LOG_KEY, number, body)

    def _who_holds(self) -> tuple[int, str]:
        value = self.log.value
        address = next(
            (
                row["address"]
                for row in value.get("members", [])
                if row["identity"] == value.get("holder")
            ),
            "",
        )
        return value.get("epoch", 0), address

    def why_unready(self) -> str:
        """Return why it is not ready, or an empty string."""
        if not self.config_feed.number(LOG_KEY):
            return "the log is not founded yet"
        names = [row["identity"] for row in json.loads(self.config_feed.body(LOG_KEY))["members"]]
        if self.log.log.identity not in names:
            return "spare: not a member of the log"
        return ""


class EdgeNode(_DataNode):
    """An edge: it serves clients, and knows the workers."""

    __slots__ = (
        "_caught_up",
        "_started_ms",
        "_was_quorate",
        "borrowing",
        "carrier",
        "counter",
        "forwards",
        "holder",
        "items",
        "lent",
        "job_service",
        "jobs",
        "readings",
        "rollouts",
        "roster",
        "stopping",
    )

    def __init__(self, env: Environment, settings: Any, sender: Any) -> None:
        self.env, self.settings = env, settings
        identity = f"edge-{env.token()}"
        self._common(identity)
        self._started_ms = env.now()
        self._caught_up = False
        self._was_quorate = False
        self.stopping = False
        self.holder = LeaderClient(
            lambda: self.config_feed.body(LOG_KEY),
            lambda: [card.address for card in self.neighbours.of_role("store", settings.gone_ms)],
        )
        self.roster = WorkerRegistry(
            lambda: [card.address for card in self.neighbours.view() if card.role == "edge"],
            lambda identity, labels: self.tree().allows_worker(identity, labels),
            self._listed,
        )
        self.carrier = RequestRouter(
            identity, self.holder, self.roster, self.tree, sender, self._edges
        )
        self.readings = self.carrier.readings = PrefillTracker(self._sharing)
        self.items = ItemExecutor(
            self.carrier, self.roster, self.tree, self.why_unready, self._edges
        )
        self.borrowing = Borrowing(
            identity, self.carrier, self.roster, self.tree, self.why_unready, self._fellow_edges
        )
        self.jobs = JobRunner(
            identity,
            self.holder,
            self.items.room,
            lambda work, done: (
                self.borrowing if isinstance(work, m.RolloutAssignment) else self.items
            ).start(work, done),
        )
        self.jobs.samples = self.borrowing
        self.lent = LentWorkers(
            identity,
            self.config_feed,
            self.roster,
            self.carrier,
            self.borrowing.lends,
            lambda: self.borrowing.recalled,
            lambda: [*self._control_addresses(), *(address for _, address in self._fellow_edges())],
        )
        self.borrowing.live_peak = self.lent.live_peak
        self.counter = EdgeService(
            self.carrier, self.holder, self.jobs, self.tree, self.why_unready
        )
        self.rollouts = RolloutCounter(self.counter, self.holder, self.jobs, self.tree)
        self.forwards = ForwardService(self.carrier, self.tree, self._why_unsure)
        self.job_service = ForwardJobService(
            self.holder, self.jobs, lambda: (self.config_feed.number(PROFILES_KEY), self.tree())
        )
        self.neighbours.ready = self.config_feed.sure = lambda: not self.why_unready()
        super().__init__(
            env,
            settings,
            [
                self.neighbours,
                self.config_feed,
                self.holder,
                self.roster,
                self.carrier,
                self.readings,
                self.items,
                self.jobs,
                self.counter,
                self.forwards,
                self.job_service,
                self.rollouts,
                self.borrowing,
                self.lent,
            ],
        )

    def _listed(self) -> tuple[int, str]:
        return self.config_feed.number(WORKERS_KEY), self.config_feed.body(WORKERS_KEY)

    def _fellow_edges(self) -> list[tuple[str, str]]:
        return [
            (card.identity, card.address)
            for card in self.neighbours.of_role("edge", self.settings.dead_ms)
        ]

    def _sharing(self) -> list[str]:
        """Return the edges that are told of each prompt.

        Those are all of a small fleet, else those of this zone, which chooses workers near it
        first.
        """
        cards = self.neighbours.of_role("edge", self.settings.gone_ms)
        near = [card.address for card in cards if card.zone == self.settings.zone]
        return near if len(cards) > _FEW_EDGES else [card.address for card in cards]

    def _edges(self) -> int:
        return self.config_feed.edge_count() or 1 + len(
            self.neighbours.of_role("edge", self.settings.dead_ms)
        )

    def why_unready(self) -> str:
        """Return why it is not ready, or an empty string.

        An edge serves while it hears of a control majority, or, with control gone, from most of the
        nodes it knows; without either it can't know whether its profiles are still in force.
        """
        return "stopping" if self.stopping else self._why_unsure()

    def _why_unsure(self) -> str:
        """Return why it can't know that its profiles are in force."""
        now_ms = self.env.now()
        if self.settings.cut_off == "serve":
            return self._why_not_begun(now_ms)
        if not (self._hears_control(now_ms) or self._hears_most(now_ms)):
            return "cut off from control and most neighbours"
        if not self._caught_up:
            self._caught_up = self.config_feed.number(PROFILES_KEY) > 0 and self._level(
                now_ms - self.settings.cut_ms
            )
            if not self._caught_up:
                return "has not caught up with the feed"
        return ""

    def _why_not_begun(self, now_ms: int) -> str:
        """Return why it can't begin, where an edge that is cut off goes on serving.

        It begins when it has profiles and knows of no newer ones, by control's word or, if no
        control node can be heard, by that of its neighbours; from then on it serves by what it
        knows. A control node that is heard but has no majority is cut off, and so may the
        neighbours be.
        """
        if not self._caught_up:
            settings = self.settings
            heard = (
                now_ms - self.config_feed.quorate_ms <= settings.dead_ms
                or now_ms - self._started_ms > settings.dead_ms
                and not self._hears_some_control()
            )
            self._caught_up = (
                heard
                and self.config_feed.number(PROFILES_KEY) > 0
                and self._level(now_ms - settings.dead_ms)
            )
        return "" if self._caught_up else "has not caught up with the feed"

    def _hears_some_control(self) -> bool:
        """Whether any control node speaks to this one, even if without a majority."""
        heard = self.neighbours.heard_directly(self.settings.dead_ms)
        return any(card.role == "control" for card in heard)

    def _hears_control(self, now_ms: int) -> bool:
        if now_ms - self.config_feed.quorate_ms <= self.settings.cut_ms:
            self._was_quorate = True
            return True
        return False

    def _hears_most(self, now_ms: int) -> bool:
        """Whether this edge is most likely not on the smaller side of a partition.

        Most of those on the feed's list that spoke to it lately still do, most of the whole list
        are known to live, and either it or an edge that is sure has once been told by control.
        """
        settings, roll = self.settings, self.config_feed.roll()
        contacts = self.config_feed.contacts_ms
        direct = [
            contacts[identity]
            for identity, row in self.config_feed.confirmed.items()
            if identity in contacts and row[3] in roll
        ]
        near = sum(1 for at_ms in direct if now_ms - at_ms <= settings.cut_ms)
        alive = {
            card.address
            for role in ("edge", "store")
            for card in self.neighbours.of_role(role, 2 * settings.dead_ms)
        }
        vouched = self.config_feed.binding and (
            self._was_quorate or now_ms - self.config_feed.sure_edge_ms <= settings.cut_ms
        )
        return (
            vouched
            and near > 0
            and 2 * near > len(direct)
            and 2 * len(roll & {*alive, self.address}) > len(roll)
        )

    def _level(self, floor_ms: int) -> bool:
        return all(
            self.config_feed.number(key) >= number
            for _, at_ms, numbers, _ in self.config_feed.confirmed.values()
            if at_ms >= floor_ms
            for key, number in numbers.items()
        )
