"""Messages of the feed: new versions of control keys, and digests of the versions held.

Each key has its own rising versions. A node's position in the feed is the sum of its versions.
"""

from messaging import Message

__all__ = ["KeyUpdate", "KeyUpdates", "VersionDigest"]


class KeyUpdate(Message, wire_name="NewsItem"):
    """One version of a key.

    `body` is the whole JSON body if `base_version` is 0, otherwise a merge patch on that version.
    """

    key: str
    version: int
    base_version: int
    body: str


class KeyUpdates(Message, wire_name="News"):
    """A batch of encoded `KeyUpdate`s."""

    updates: list[bytes]


class VersionDigest(Message, wire_name="Digest"):
    """The versions that a node holds, which is also its heartbeat in the feed.

    `keys` and `versions` are parallel, as are `low_keys` and `low_versions`: of each confirmed key
    the lowest version among the nodes that report to the sender. `is_current` is whether the sender
    knows its versions to be the newest. `rank` is 1 to the voter that is to relay updates at once,
    2 to a further voter that the sender reports to, and 0 to all others. `edge_count` is how many
    edges report to the sender first; in a digest to a node that reports, how many there are in all.
    """

    identity: str
    role: str
    is_current: bool
    keys: list[str]
    versions: list[int]
    low_keys: list[str]
    low_versions: list[int]
    rank: int
    edge_count: int
