"""Messages of the feed: new versions of control keys, and digests of the numbers held.

Each key has its own rising numbers. A node's position in the feed is the sum of its numbers.
"""

from messaging import Message

__all__ = ["KeyUpdate", "KeyUpdates", "VersionDigest"]


class KeyUpdate(Message, wire_name="NewsItem"):
    """One version of a key.

    `body` is the whole JSON body if `base_number` is 0, otherwise a merge patch on that number.
    """

    key: str
    number: int
    base_number: int
    body: str


class KeyUpdates(Message, wire_name="News"):
    """A batch of encoded `KeyUpdate`s."""

    updates: list[bytes]


class VersionDigest(Message, wire_name="Digest"):
    """The numbers that a node holds, which is also its heartbeat in the feed.

    `keys` and `numbers` are parallel, as are `low_keys` and `low_numbers`: of each confirmed key
    the lowest number among the nodes that report to the sender. `is_current` is whether the sender
    knows its numbers to be the newest. `rank` is 1 to the voter that is to relay updates at once, 2
    to a further voter that the sender reports to, and 0 to all others. `edge_count` is how many
    edges report to the sender first; in a digest to a node that reports, how many there are in all.
    """

    identity: str
    role: str
    is_current: bool
    keys: list[str]
    numbers: list[int]
    low_keys: list[str]
    low_numbers: list[int]
    rank: int
    edge_count: int
