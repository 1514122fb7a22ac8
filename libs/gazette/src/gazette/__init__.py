"""Gazette: the numbered feed of changes that control publishes and neighbours relay."""

from gazette.contacts import candidates
from gazette.feed import Gazette
from gazette.messages import Digest, News, NewsItem

__all__ = ["Digest", "Gazette", "News", "NewsItem", "candidates"]
