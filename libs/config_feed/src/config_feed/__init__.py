"""Config feed: the numbered feed of changes that control publishes and neighbours relay."""

from config_feed.contacts import candidates
from config_feed.feed import ConfigFeed
from config_feed.messages import Digest, News, NewsItem

__all__ = ["Digest", "ConfigFeed", "News", "NewsItem", "candidates"]
