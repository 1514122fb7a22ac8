"""Config feed: gossip of the control keys' newest versions to all nodes.

Control publishes numbered versions of each key; nodes relay them and compare digests.

- `messages`: updates and digests.
- `feed`: the component that relays and compares versions.
- `versioned_keys`: the versions that a node has, their watchers, and the updates made from them.
- `version_tracker`: which nodes have which version in force, by their digests.
- `digest_targets`: which control nodes a node reports to, where the setting `fan_out` is on.
- `patches`: JSON merge patches, in which changes of large bodies travel.

Invariants: the version of a key never goes back at a node; a patch is applied only to the
version it was made for; a node without contact to a majority hands out no updates. This package
imports `messaging` and `membership`. A key whose versions nodes confirm is added in
`version_tracker`.
"""

from config_feed.digest_targets import candidates
from config_feed.feed import ConfigFeed
from config_feed.messages import KeyUpdate, KeyUpdates, VersionDigest

__all__ = ["ConfigFeed", "KeyUpdate", "KeyUpdates", "VersionDigest", "candidates"]
