"""Config feed: dissemination of the newest version of each control key to all nodes.

Control nodes publish numbered versions of each key. Nodes relay new versions and exchange digests
of the versions that they hold, by which missed versions are found.

- `messages`: updates and digests.
- `feed`: the component that relays updates and exchanges digests.
- `versioned_keys`: the versions held by a node, their watchers, and the updates made from them.
- `version_tracker`: which versions other nodes hold, according to their digests.
- `digest_targets`: which control nodes a node sends its digests to with the setting `fan_out`.
- `patches`: the JSON merge patches by which changes of large bodies are sent.

Invariants: the version of a key never decreases while a node runs; a patch is applied only to the
version that it was made from; a control node without contact with a majority of the voters sends no
updates to edges and stores. This package imports `messaging` and `membership`. The keys whose
versions the nodes have to confirm are listed in `version_tracker`.
"""

from config_feed.digest_targets import digest_target_candidates
from config_feed.feed import ConfigFeed
from config_feed.messages import KeyUpdate, KeyUpdates, VersionDigest

__all__ = ["ConfigFeed", "KeyUpdate", "KeyUpdates", "VersionDigest", "digest_target_candidates"]
