"""The control node, assembled from its components.

These are an acceptor with its disk, the owner of keys, the bootstrap and the coordination of
membership changes, the config feed, the failure detector of its peers, and the components that keep
the workers, the loans, the profiles and the retired stores.
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
    """A control node; a damaged disk is set aside, and the node starts with a new identity."""

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

    # -- assembly ------------------------------------------------------------------------------

    def _make_membership(self, settings: Settings) -> None:
        """Make the failure detector and the config feed, which know of each other's nodes."""
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
            self._is_voter() and not self._hears(settings.contact_timeout_ms)
        )
        self.config_feed.is_voter = self._is_voter
        self.config_feed.target_candidates = lambda: digest_target_candidates(
            self._voter_list(), self.membership, settings.removal_timeout_ms
        )
        self.config_feed.serves_updates = lambda: (
            self.has_quorum() if self._is_voter() else self.hears_majority()
        )

    def _make_control_store(self, settings: Settings) -> None:
        """Make the components that decide the control keys, their voters and the serving set."""
        self.owner = KeyOwner(self.acceptor, self.membership, self.config_feed)
        self.read_barrier = ReadBarrier(
            self.owner,
            self.config_feed,
            lambda: self._is_voter() and self._hears(settings.contact_timeout_ms),
        )
        self.voter_list_manager = VoterListManager(
            self.acceptor, self.owner, self.membership, self.config_feed
        )
        self.serving_set = ServingSet(self.owner, self.config_feed, self._is_steward)

    def _make_services(self) -> None:
        """Make the components that change the values of control keys for callers."""
        self.worker_list = WorkerList(
            self.acceptor, self.owner, self.config_feed, in_contact=self.hears_majority
        )
        self.configuration_changes = ConfigurationChanges(
            self.owner, in_contact=self.hears_majority
        )
        self.retirement = Retirement(
            self.owner, self.membership, self.config_feed, in_contact=self.hears_majority
        )
        self.loans = LoanManager(
            self.owner,
            self.membership,
            self.config_feed,
            self.profiles,
            in_contact=self.hears_majority,
            is_owner=self._owns_loans,
        )

    def _components(self) -> list[Component]:
        """Return the components in the order in which they get messages and ticks."""
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

    # -- contact with the voters ---------------------------------------------------------------

    def _voter_list(self) -> dict[str, Any] | None:
        """Return the list of voters as this node's disk has it, or None."""
        body = self.acceptor.metadata.list_body
        return json.loads(body) if body else None

    def _is_voter(self) -> bool:
        return self.acceptor.identity in self.acceptor.voters

    def _is_steward(self) -> bool:
        """Whether this node coordinates the changes of the voters and the serving set."""
        return self.has_quorum() and self.voter_list_manager.steward() == self.acceptor.identity

    def _owns_loans(self) -> bool:
        has_voters = bool(self.acceptor.voters)
        return has_voters and self.owner.owner_of(LOANS_KEY) == self.acceptor.identity

    def _hears(self, within_ms: int) -> bool:
        """Whether a majority of the voters sent this node heartbeats within the time."""
        voters = self.acceptor.voters
        heard = sum(1 for name in voters if self.membership.is_heard_directly(name, within_ms))
        return 2 * heard > len(voters)

    def hears_majority(self) -> bool:
        """Whether a majority of the voters sent this node heartbeats within `failure_timeout_ms`.

        This node need not be a voter itself.
        """
        return bool(self.acceptor.voters) and self._hears(self.settings.failure_timeout_ms)

    def has_quorum(self) -> bool:
        """Whether this node is a voter in contact with a majority and its configuration is fresh.

        It has to have re-read the configuration from a majority since contact was last regained,
        and must not have known of a newer version for longer than `failure_timeout_ms`.
        """
        return (
            self._is_voter()
            and self._hears(self.settings.contact_timeout_ms)
            and self.config_feed.version(CONTROL_KEY) > 0
            and self.read_barrier.passed()
            and self.config_feed.behind_ms() <= self.settings.failure_timeout_ms
        )

    def why_unready(self) -> str:
        """Return why this node is not ready, for operators; empty if it is."""
        if not self.acceptor.voters:
            return "not founded"
        if not self._is_voter():
            return "spare: not a voter"
        return "" if self.has_quorum() else "hears no majority of the voters"

    # -- configuration -------------------------------------------------------------------------

    def profiles(self) -> ProfileTree:
        """Return the profiles in force at this node."""
        version = self.config_feed.version(PROFILES_KEY)
        if version != self._profiles_version:
            self._profiles_version = version
            self._profiles = ProfileTree.from_body(self.config_feed.body(PROFILES_KEY))
        return self._profiles
