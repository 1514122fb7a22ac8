"""Config feed: gossip of the control keys' newest versions to all nodes.

Control publishes numbered versions of each key; nodes relay them and compare digests.
"""

from config_feed.digest_targets import candidates
from config_feed.feed import ConfigFeed
from config_feed.messages import KeyUpdate, KeyUpdates, VersionDigest

__all__ = ["VersionDigest", "ConfigFeed", "KeyUpdates", "KeyUpdate", "candidates"]
