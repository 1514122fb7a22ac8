"""News of control keys, each under its own rising number, and digests that say from which numbers a
node wants to follow. The place of a node in the feed is the sum of its numbers."""

from vellum import Arr, Blob, Flag, Long, Message, Text

__all__ = ["Digest", "KeyNumber", "News", "NewsItem"]


class KeyNumber(Message):
    key: Text
    number: Long


class NewsItem(Message):
    key: Text
    number: Long
    base_number: Long
    body: Text


class News(Message):
    items: Arr(Blob)


class Digest(Message):
    identity: Text
    role: Text
    numbers: Arr(Blob)
    sure: Flag
