"""Config feed: gossip of the control keys' newest versions to all nodes.

Control publishes numbered versions of each key; nodes relay them and compare digests.
"""

from config_feed.contacts import candidates
from config_feed.feed import ConfigFeed
from config_feed.messages import Digest, News, NewsItem

__all__ = ["Digest", "ConfigFeed", "News", "NewsItem", "candidates"]
