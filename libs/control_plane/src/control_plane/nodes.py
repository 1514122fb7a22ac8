"""The control node, assembled from its components.

The components are the membership with its failure detector, the config feed, an acceptor with its
disk, the owner of control keys and its read barrier, the managers of the voter list and of the
serving set, and the components for the list of workers, the configuration, the retirement of stores
and the loans.
"""

import json
from typing import Any

from capacity_sharing import LOANS_KEY, LoanManager
from config_feed import ConfigFeed, digest_target_candidates
from control_store import (
    Acceptor,
    KeyOwner,
    ProfileTree,
    ReadBarrier,
    ServingSet,
    VoterListManager,
    WorkerList,
)
from data_plane.control_keys import CONTROL_KEY, PROFILES_KEY
from data_plane.data_folder import open_or_quarantine
from membership import Membership
from messaging import Component, Environment, Node
from runtime.settings import Settings
from storage import Disk

from control_plane.configuration_changes import ConfigurationChanges
from control_plane.retirement import Retirement

__all__ = ["ControlNode"]


class ControlNode(Node):
    """A control node.

    If its files are damaged, they are quarantined and the node starts with a new identity.
    """

    __slots__ = (
        "_profiles",
        "_profiles_version",
        "acceptor",
        "config_feed",
        "configuration_changes",
        "disk",
        "loans",
        "membership",
        "owner",
        "read_barrier",
        "retirement",
        "serving_set",
        "voter_list_manager",
        "worker_list",
    )

    def __init__(self, env: Environment, settings: Settings, disk: Disk) -> None:
        self.disk = disk
        self.acceptor: Acceptor = open_or_quarantine(env, disk, lambda: Acceptor(disk, env.token))
        self._profiles_version = 0
        self._profiles = ProfileTree({})
        self._make_membership(settings)
        self._make_control_store(settings)
        self._make_services()
        super().__init__(env, settings, self._components())

    def _make_membership(self, settings: Settings) -> None:
        """Create the membership and the config feed, and connect them with the voter list."""
        identity = self.acceptor.identity
        self.membership = Membership(identity)
        self.config_feed = ConfigFeed(
            identity,
            lambda: [info.address for info in self.membership.view()],
            lambda: self.acceptor.voters.values(),
            is_current=self.has_quorum,
        )
        self.membership.extra_addresses = lambda: (
            self.acceptor.voters.values() or (() if settings.control_count else settings.seeds)
        )
        self.membership.is_ready = lambda: not self.why_unready()
        self.membership.is_isolated = lambda: (
            self._is_voter() and not self._is_in_contact(settings.contact_timeout_ms)
        )
        self.config_feed.is_voter = self._is_voter
        self.config_feed.target_candidates = lambda: digest_target_candidates(
            self._voter_list(), self.membership, settings.removal_timeout_ms
        )
        self.config_feed.serves_updates = lambda: (
            self.has_quorum() if self._is_voter() else self.has_majority_contact()
        )

    def _make_control_store(self, settings: Settings) -> None:
        """Create the components for the control keys, the voter list and the serving set."""
        self.owner = KeyOwner(self.acceptor, self.membership, self.config_feed)
        self.read_barrier = ReadBarrier(
            self.owner,
            self.config_feed,
            lambda: self._is_voter() and self._is_in_contact(settings.contact_timeout_ms),
        )
        self.voter_list_manager = VoterListManager(
            self.acceptor, self.owner, self.membership, self.config_feed
        )
        self.serving_set = ServingSet(self.owner, self.config_feed, self._is_coordinator)

    def _make_services(self) -> None:
        """Create the components that change the values of control keys for callers."""
        self.worker_list = WorkerList(
            self.acceptor, self.owner, self.config_feed, in_contact=self.has_majority_contact
        )
        self.configuration_changes = ConfigurationChanges(
            self.owner, in_contact=self.has_majority_contact
        )
        self.retirement = Retirement(
            self.owner, self.membership, self.config_feed, in_contact=self.has_majority_contact
        )
        self.loans = LoanManager(
            self.owner,
            self.membership,
            self.config_feed,
            self.profiles,
            in_contact=self.has_majority_contact,
            is_owner=self._owns_loans,
        )

    def _components(self) -> list[Component]:
        """Return the components in the order in which they are ticked and notified."""
        return [
            self.membership,
            self.config_feed,
            self.acceptor,
            self.owner,
            self.read_barrier,
            self.voter_list_manager,
            self.serving_set,
            self.worker_list,
            self.configuration_changes,
            self.retirement,
            self.loans,
        ]

    def _voter_list(self) -> dict[str, Any] | None:
        """Return the voter list on this node's disk, or None if there is none."""
        body = self.acceptor.metadata.list_body
        return json.loads(body) if body else None

    def _is_voter(self) -> bool:
        return self.acceptor.identity in self.acceptor.voters

    def _is_coordinator(self) -> bool:
        """Whether this node coordinates changes of the voter list and the serving set."""
        return self.has_quorum() and self.voter_list_manager.coordinator() == self.acceptor.identity

    def _owns_loans(self) -> bool:
        has_voters = bool(self.acceptor.voters)
        return has_voters and self.owner.owner_of(LOANS_KEY) == self.acceptor.identity

    def _is_in_contact(self, within_ms: int) -> bool:
        """Whether a majority of the voters sent this node messages within the time."""
        voters = self.acceptor.voters
        heard = sum(1 for name in voters if self.membership.is_heard_directly(name, within_ms))
        return 2 * heard > len(voters)

    def has_majority_contact(self) -> bool:
        """Whether a majority of the voters sent this node messages within `failure_timeout_ms`.

        This node need not be a voter itself. False while there is no voter list.
        """
        return bool(self.acceptor.voters) and self._is_in_contact(self.settings.failure_timeout_ms)

    def has_quorum(self) -> bool:
        """Whether this node is a voter in contact with a majority, with a current configuration.

        The configuration is current if it was read anew through a majority since contact was last
        regained, and if no newer version has been known for longer than `failure_timeout_ms`.
        """
        return (
            self._is_voter()
            and self._is_in_contact(self.settings.contact_timeout_ms)
            and self.config_feed.version(CONTROL_KEY) > 0
            and self.read_barrier.passed()
            and self.config_feed.behind_ms() <= self.settings.failure_timeout_ms
        )

    def why_unready(self) -> str:
        """Return the reason for operators why this node is not ready; empty if it is ready."""
        if not self.acceptor.voters:
            return "not founded"
        if not self._is_voter():
            return "spare: not a voter"
        return "" if self.has_quorum() else "hears no majority of the voters"

    def profiles(self) -> ProfileTree:
        """Return the newest profiles that this node holds."""
        version = self.config_feed.version(PROFILES_KEY)
        if version != self._profiles_version:
            self._profiles_version = version
            self._profiles = ProfileTree.from_body(self.config_feed.body(PROFILES_KEY))
        return self._profiles
