"""The storage node: a replica of the log and, on the log's leader, the batch service.

The same code runs in a process and in the simulator, which pass in the environment and the disk.
"""

import json
from typing import Any

from batch_state import BatchService
from capacity_sharing import JobDeadlineForecast
from control_store import ControlClient
from membership import rendezvous_order
from messaging import Environment
from replicated_log import ArchiveRepair, LocalLog, LogReplica
from runtime.settings import Settings
from storage import Disk

from data_plane.control_keys import (
    CONTROL_KEY,
    LOG_KEY,
    PROFILES_KEY,
    RETIRED_KEY,
)
from data_plane.data_folder import open_or_quarantine
from data_plane.data_node import DataNode

__all__ = ["StoreNode"]


class StoreNode(DataNode):
    """A storage node: it keeps the replicated log and, as the log's leader, assigns batch items.

    It is the log's view of the fleet (`replicated_log.interfaces.FleetView`). A damaged disk is
    quarantined, and the node then starts as a new, empty store.
    """

    __slots__ = ("archive_repair", "batch_service", "control", "disk", "log")

    def __init__(self, env: Environment, settings: Settings, disk: Disk) -> None:
        self.disk = disk
        local = open_or_quarantine(env, disk, lambda: LocalLog(disk, settings, env.now, env.token))
        self._make_shared_components(env, settings, local.identity)
        self.control = ControlClient(self._control_addresses, self._key_owners)
        self.batch_service = BatchService(
            lambda: (self.config_feed.version(PROFILES_KEY), self.profile_tree()),
            self._leader,
            lambda: self.log.log.state,
        )
        self.log: LogReplica = LogReplica(local, self.control, self, self.batch_service.set_leader)
        self.archive_repair = ArchiveRepair(local, self._other_members)
        self.batch_service.make_forecast = lambda: JobDeadlineForecast(settings.failure_timeout_ms)
        self.batch_service.archive = local.archive
        self.batch_service.request_repair = self.archive_repair.repair
        local.archive.on_archived = self._release_archived
        super().__init__(
            env,
            settings,
            [
                self.membership,
                self.config_feed,
                self.control,
                self.log,
                self.batch_service,
                self.archive_repair,
            ],
        )

    def _key_owners(self, key: str) -> list[str]:
        """Return the addresses of the live voters, the most likely owner of the key first."""
        value = self.config_feed.value(CONTROL_KEY) or {"voters": []}
        voters = {row["identity"]: row["address"] for row in value["voters"]}
        return [
            voters[name] for name in rendezvous_order(key, voters) if self.membership.is_live(name)
        ]

    def log_key(self) -> tuple[int, str]:
        """Return the latest version and body of the log's control key that the feed has."""
        return self.config_feed.version(LOG_KEY), self.config_feed.body(LOG_KEY)

    def _other_members(self) -> list[str]:
        """Return the addresses of the other members of the log."""
        return [
            row["address"]
            for row in (self.config_feed.value(LOG_KEY) or {"members": []})["members"]
            if row["address"] != self.address
        ]

    def _release_archived(self, entries: list[Any]) -> None:
        """Drop jobs and keys from the leader's state once they are in the archive.

        Does nothing on a store that is not the leader.
        """
        if self.log.leader is not None:
            for entry in entries:
                self.log.leader.drop_archived(entry)

    def live_stores(self) -> dict[str, str]:
        """Return the addresses of the other live stores, by identity."""
        return {
            card.identity: card.address
            for card in self.membership.nodes_in_role("store", self.settings.failure_timeout_ms)
        }

    def store_rows(self) -> list[dict[str, str]]:
        """Return the live stores, including this one, ordered by identity."""
        cards = [
            self.membership.own_info(),
            *self.membership.nodes_in_role("store", self.settings.failure_timeout_ms),
        ]
        return sorted(
            (
                {"identity": card.identity, "address": card.address, "zone": card.zone}
                for card in cards
            ),
            key=lambda row: row["identity"],
        )

    def live_store(self, identity: str) -> bool:
        """Whether the store with this identity is live, as far as this node knows."""
        return self.membership.is_live(identity)

    def retired_stores(self) -> list[str]:
        """Return the identities of the stores that are being retired."""
        value = self.config_feed.value(RETIRED_KEY) or {}
        identities: list[str] = value.get("identities", [])
        return identities

    def knows_fleet(self) -> bool:
        """Whether the list of live stores is reliable.

        This node has then run for longer than `failure_timeout_ms`, and within that time it has
        heard from a control node that is in contact with a majority.
        """
        now_ms, timeout_ms = self.env.now(), int(self.settings.failure_timeout_ms)
        return (
            now_ms - self._started_ms > timeout_ms
            and now_ms - self.config_feed.control_quorum_heard_ms < timeout_ms
        )

    def record_log_key(self, version: int, body: str) -> None:
        """Record a version of the log's control key that a control node returned directly.

        It is published in the feed, which may not have it yet.
        """
        self.config_feed.publish(LOG_KEY, version, body)

    def _leader(self) -> tuple[int, str]:
        """Return the log's epoch and the address of its leader, empty if there is none known."""
        configuration = self.log.configuration
        return configuration.epoch, configuration.leader_address

    def why_unready(self) -> str:
        """Return why the store is not ready, or an empty string."""
        if not self.config_feed.version(LOG_KEY):
            return "the log is not founded yet"
        names = [row["identity"] for row in json.loads(self.config_feed.body(LOG_KEY))["members"]]
        if self.log.log.identity not in names:
            return "spare: not a member of the log"
        return ""
