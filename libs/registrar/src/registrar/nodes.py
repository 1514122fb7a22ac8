"""The control node, put together from its parts: a voter with its disk, the owner of keys, founding
and the steward's duty, the feed, and its neighbours.
"""

import json
from typing import Any

from config_feed import ConfigFeed, candidates
from control_store import Founding, Owner, ReadBarrier, Roll, Tree, Voter, WorkerList
from loans import LOANS_KEY, NodeLoans
from membership import Neighbours
from messaging import Env, Node
from readingroom.keys import CONTROL_KEY, PROFILES_KEY, open_or_set_aside
from storage import Disk

from registrar.retirement import Retirement
from registrar.tree_changes import TreeChanges

__all__ = ["ControlNode"]


class ControlNode(Node):
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

    def __init__(self, env: Env, params: Any, disk: Disk) -> None:
        self.disk = disk
        self.voter = open_or_set_aside(env, disk, lambda: Voter(disk, env.token))
        identity = self.voter.identity
        self.neighbours = Neighbours(identity)
        self.config_feed = ConfigFeed(
            identity,
            lambda: [card.address for card in self.neighbours.view()],
            lambda: self.voter.voters.values(),
            sure=self.quorate,
        )
        self.neighbours.wanted = lambda: (
            self.voter.voters.values() or (() if params.control_count else params.seeds)
        )
        self.config_feed.votes = self._is_voter
        self.config_feed.candidates = lambda: candidates(
            self._list(), self.neighbours, params.gone_ms
        )
        self.neighbours.ready = lambda: not self.why_unready()
        self.neighbours.deaf = lambda: (
            identity in self.voter.voters and not self._hears(params.cut_ms)
        )
        self.owner = Owner(self.voter, self.neighbours, self.config_feed)
        self.read_barrier = ReadBarrier(
            self.owner, self.config_feed, lambda: self._is_voter() and self._hears(params.cut_ms)
        )
        self.config_feed.hands_out = lambda: (
            self.quorate() if self._is_voter() else self.hears_majority()
        )
        self.founding = Founding(self.voter, self.owner, self.neighbours, self.config_feed)
        self.roll = Roll(
            self.owner,
            self.config_feed,
            lambda: self.quorate() and self.founding.steward() == identity,
        )
        self.worker_list = WorkerList(
            self.voter, self.owner, self.config_feed, sure=self.hears_majority
        )
        self.tree_changes = TreeChanges(self.owner, sure=self.hears_majority)
        self.retirement = Retirement(
            self.owner, self.neighbours, self.config_feed, sure=self.hears_majority
        )
        self._tree = (0, Tree({}))
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
            params,
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
        """The voters as this node's disk has them."""
        return json.loads(self.voter.meta.list_body) if self.voter.meta.list_body else None

    def hears_majority(self) -> bool:
        """Whether a majority of the voters are live to this node, which need not be one itself."""
        voters = self.voter.voters
        return bool(voters) and self._hears(self.params.dead_ms)

    def quorate(self) -> bool:
        """Whether this node is a voter that hears a majority of the voters and whose copy of the
        configuration has been read anew from a majority since it last heard none.
        """
        return (
            self._is_voter()
            and self._hears(self.params.cut_ms)
            and self.config_feed.number(CONTROL_KEY) > 0
            and self.read_barrier.passed()
            and self.config_feed.behind_ms() <= self.params.dead_ms
        )

    def _is_voter(self) -> bool:
        return self.voter.identity in self.voter.voters

    def _hears(self, within_ms: int) -> bool:
        voters = self.voter.voters
        return 2 * sum(1 for name in voters if self.neighbours.heard_itself(name, within_ms)) > len(
            voters
        )

    def why_unready(self) -> str:
        voters = self.voter.voters
        if not voters:
            return "not founded"
        if self.voter.identity not in voters:
            return "spare: not a voter"
        return "" if self.quorate() else "hears no majority of the voters"

    def tree(self) -> Tree:
        number = self.config_feed.number(PROFILES_KEY)
        if number != self._tree[0]:
            self._tree = (number, Tree.of_body(self.config_feed.body(PROFILES_KEY)))
        return self._tree[1]
