"""News of control keys, each under its own rising number, and digests that say from which numbers a
node wants to follow. The place of a node in the feed is the sum of its numbers.
"""

from messaging import Blob, Flag, Long, Message, Text, array_of

__all__ = ["Digest", "News", "NewsItem"]


class NewsItem(Message):
    key: Text
    number: Long
    base_number: Long
    body: Text


class News(Message):
    items: array_of(Blob)


class Digest(Message):
    """`low_keys` and `lows`: of each confirmed key the lowest number among the nodes that report to the
    sender. `rank` is 1 to the voter that is to pass on news at once, 2 to a further one that the sender
    reports to, 0 to all others. `edges` is how many
    edges report to the sender first; said to one who reports, how many there are in all.
    """

    identity: Text
    role: Text
    sure: Flag
    keys: array_of(Text)
    numbers: array_of(Long)
    low_keys: array_of(Text)
    lows: array_of(Long)
    rank: Long
    edges: Long
