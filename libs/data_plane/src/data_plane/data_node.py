"""Base class of edges and storage nodes: membership, configuration feed, profiles in force."""

from config_feed import ConfigFeed, digest_target_candidates
from control_store import ProfileTree, profiles_digest
from membership import Membership
from messaging import Environment, Node
from runtime.settings import Settings

from data_plane.control_keys import CONTROL_KEY, PROFILES_KEY

__all__ = ["DataNode"]


class DataNode(Node):
    """A node of the data plane, with the components that edges and storage nodes share.

    `profile_tree_digest` is the digest of the profiles that the last call of `profile_tree`
    returned; it is empty before the feed has any.
    """

    __slots__ = (
        "_profile_tree",
        "_profile_tree_version",
        "_started_ms",
        "config_feed",
        "membership",
        "profile_tree_digest",
    )

    def _make_shared_components(self, env: Environment, settings: Settings, identity: str) -> None:
        """Create the shared components.

        A subclass calls it in `__init__` before it creates its own components.
        """
        self.env, self.settings = env, settings
        self._started_ms = env.now()
        self.membership = Membership(identity)
        self.config_feed = ConfigFeed(
            identity,
            lambda: [card.address for card in self.membership.view()],
            self._control_addresses,
        )
        self.membership.extra_addresses = self._control_addresses
        self.config_feed.target_candidates = lambda: digest_target_candidates(
            self.config_feed.value(CONTROL_KEY), self.membership, self.settings.removal_timeout_ms
        )
        self._profile_tree = ProfileTree({})
        self._profile_tree_version = 0
        self.profile_tree_digest = ""

    def _control_addresses(self) -> list[str]:
        """Return the addresses of the voters.

        While the feed has no list of voters, these are the addresses of the known control nodes.
        """
        value = self.config_feed.value(CONTROL_KEY)
        if value:
            return [row["address"] for row in value["voters"]]
        return [
            card.address
            for card in self.membership.nodes_in_role("control", self.settings.removal_timeout_ms)
        ]

    def profile_tree(self) -> ProfileTree:
        """Return the profiles in force; parses them again when the feed has a new version."""
        version = self.config_feed.version(PROFILES_KEY)
        if version != self._profile_tree_version:
            self._profile_tree = ProfileTree.from_body(self.config_feed.body(PROFILES_KEY))
            self._profile_tree_version = version
            self.profile_tree_digest = profiles_digest(self.config_feed.body(PROFILES_KEY))
        return self._profile_tree
