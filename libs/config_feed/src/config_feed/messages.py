"""Messages of the feed: new versions of control keys, and digests of the versions held.

The versions of each key are numbered separately, in rising order. The position of a node in the
feed is the sum of the versions that it holds.
"""

from messaging import Message

__all__ = ["KeyUpdate", "KeyUpdates", "VersionDigest"]


class KeyUpdate(Message, wire_name="NewsItem"):
    """One version of a key.

    `body` is the whole JSON body if `base_version` is 0, otherwise a JSON merge patch to apply to
    `base_version`.
    """

    key: str
    version: int
    base_version: int
    body: str


class KeyUpdates(Message, wire_name="News"):
    """A batch of encoded `KeyUpdate`s."""

    updates: list[bytes]


class VersionDigest(Message, wire_name="Digest"):
    """The versions that a node holds; also serves as the node's heartbeat in the feed.

    Attributes
    ----------
    is_current
        Whether the sender knows its versions to be the newest.
    keys, versions
        The keys held and, in the same order, their versions.
    low_keys, low_versions
        The confirmed keys and, in the same order, the lowest version of each among the nodes that
        report to the sender.
    rank
        How the sender ranks the receiver as a target of its digests: 1 for the voter that has to
        relay updates to it at once, 2 for any other target, 0 for all other nodes.
    edge_count
        In a digest to another voter, how many live edges report to the sender with rank 1; in a
        voter's digest to any other node, how many edges are live in all; otherwise 0.
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
