"""The control node, assembled from its parts.

These are a voter with its disk, the owner of keys, the bootstrap and the coordination of membership
changes, the config feed, the failure detector of its neighbours, and the parts that keep the
workers, the loans, the profiles and the retired stores.
"""

import json
from typing import Any

from capacity_sharing import LOANS_KEY, NodeLoans
from config_feed import ConfigFeed, candidates
from control_store import (
    Acceptor,
    Bootstrap,
    KeyOwner,
    ProfileTree,
    ReadBarrier,
    ServingSet,
    WorkerList,
)
from data_plane.control_keys import CONTROL_KEY, PROFILES_KEY, open_or_set_aside
from membership import Membership
from messaging import Environment, Node
from storage import Disk

from control_plane.configuration_changes import ConfigurationChanges
from control_plane.retirement import Retirement

__all__ = ["ControlNode"]


class ControlNode(Node):
    """A control node; a damaged disk is set aside, and the node starts with a new identity."""

    __slots__ = (
        "_tree",
        "disk",
        "founding",
        "config_feed",
        "loans",
        "neighbours",
        "owner",
        "read_barrier",
        "retirement",
        "roll",
        "tree_changes",
        "voter",
        "worker_list",
    )

    def __init__(self, env: Environment, settings: Any, disk: Disk) -> None:
        self.disk = disk
        self.voter = open_or_set_aside(env, disk, lambda: Acceptor(disk, env.token))
        identity = self.voter.identity
        self.neighbours = Membership(identity)
        self.config_feed = ConfigFeed(
            identity,
            lambda: [card.address for card in self.neighbours.view()],
            lambda: self.voter.voters.values(),
            sure=self.quorate,
        )
        self.neighbours.wanted = lambda: (
            self.voter.voters.values() or (() if settings.control_count else settings.seeds)
        )
        self.config_feed.votes = self._is_voter
        self.config_feed.candidates = lambda: candidates(
            self._list(), self.neighbours, settings.gone_ms
        )
        self.neighbours.ready = lambda: not self.why_unready()
        self.neighbours.deaf = lambda: (
            identity in self.voter.voters and not self._hears(settings.cut_ms)
        )
        self.owner = KeyOwner(self.voter, self.neighbours, self.config_feed)
        self.read_barrier = ReadBarrier(
            self.owner, self.config_feed, lambda: self._is_voter() and self._hears(settings.cut_ms)
        )
        self.config_feed.hands_out = lambda: (
            self.quorate() if self._is_voter() else self.hears_majority()
        )
        self.founding = Bootstrap(self.voter, self.owner, self.neighbours, self.config_feed)
        self.roll = ServingSet(
            self.owner,
            self.config_feed,
            lambda: self.quorate() and self.founding.steward() == identity,
        )
        self.worker_list = WorkerList(
            self.voter, self.owner, self.config_feed, sure=self.hears_majority
        )
        self.tree_changes = ConfigurationChanges(self.owner, sure=self.hears_majority)
        self.retirement = Retirement(
            self.owner, self.neighbours, self.config_feed, sure=self.hears_majority
        )
        self._tree = (0, ProfileTree({}))
        self.loans = NodeLoans(
            self.owner,
            self.neighbours,
            self.config_feed,
            self.tree,
            sure=self.hears_majority,
            mine=lambda: bool(self.voter.voters) and self.owner.owner_of(LOANS_KEY) == identity,
        )
        super().__init__(
            env,
            settings,
            [
                self.neighbours,
                self.config_feed,
                self.voter,
                self.owner,
                self.read_barrier,
                self.founding,
                self.roll,
                self.worker_list,
                self.tree_changes,
                self.retirement,
                self.loans,
            ],
        )

    def _list(self) -> dict[str, Any] | None:
        """Return the list of voters as this node's disk has it, or None."""
        return json.loads(self.voter.metadata.list_body) if self.voter.metadata.list_body else None

    def hears_majority(self) -> bool:
        """Whether a majority of the voters sent this node heartbeats within dead_ms.

        This node need not be a voter itself.
        """
        voters = self.voter.voters
        return bool(voters) and self._hears(self.settings.dead_ms)

    def quorate(self) -> bool:
        """Whether this node is a voter in contact with a majority and its configuration is fresh.

        It has to have re-read the configuration from a majority since contact was last regained,
        and must not have known of a newer version for longer than dead_ms.
        """
        return (
            self._is_voter()
            and self._hears(self.settings.cut_ms)
            and self.config_feed.number(CONTROL_KEY) > 0
            and self.read_barrier.passed()
            and self.config_feed.behind_ms() <= self.settings.dead_ms
        )

    def _is_voter(self) -> bool:
        return self.voter.identity in self.voter.voters

    def _hears(self, within_ms: int) -> bool:
        voters = self.voter.voters
        return 2 * sum(1 for name in voters if self.neighbours.heard_itself(name, within_ms)) > len(
            voters
        )

    def why_unready(self) -> str:
        """Return why this node is not ready, for operators; empty if it is."""
        voters = self.voter.voters
        if not voters:
            return "not founded"
        if self.voter.identity not in voters:
            return "spare: not a voter"
        return "" if self.quorate() else "hears no majority of the voters"

    def tree(self) -> ProfileTree:
        """Return the tree of profiles in force at this node."""
        number = self.config_feed.number(PROFILES_KEY)
        if number != self._tree[0]:
            self._tree = (number, ProfileTree.of_body(self.config_feed.body(PROFILES_KEY)))
        return self._tree[1]
