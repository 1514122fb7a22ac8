"""Messages of the feed: new versions of control keys, and digests of the numbers held.

Each key has its own rising numbers. A node's place in the feed is the sum of its numbers.
"""

from messaging import Message

__all__ = ["VersionDigest", "KeyUpdates", "KeyUpdate"]


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

    items: list[bytes]


class VersionDigest(Message, wire_name="Digest"):
    """The numbers that a node holds, which is also its heartbeat in the feed.

    `keys` and `numbers` are parallel, as are `low_keys` and `lows`: of each confirmed key the
    lowest number among the nodes that report to the sender. `sure` is whether the sender knows its
    numbers to be the newest. `rank` is 1 to the voter that is to relay news at once, 2 to a further
    voter that the sender reports to, and 0 to all others. `edges` is how many edges report to the
    sender first; in a digest to a node that reports, how many edges there are in all.
    """

    identity: str
    role: str
    sure: bool
    keys: list[str]
    numbers: list[int]
    low_keys: list[str]
    lows: list[int]
    rank: int
    edges: int
