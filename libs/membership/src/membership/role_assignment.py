"""Assignment of singleton roles: the first live node in an order that all nodes compute alike.

The order is by rendezvous hashing (highest random weight), which spreads keys evenly over the nodes
and moves only the keys of a node that joins or leaves. Nodes may disagree about which of them are
live, so a node that acts in a role has to do so under an epoch that other nodes check.

Source: Thaler and Ravishankar, "A name-based mapping scheme for rendezvous", 1996.
"""

import hashlib
from collections.abc import Callable, Iterable

__all__ = ["first_live", "rendezvous_order", "rendezvous_weight"]

_WEIGHT_BYTES = 8


def rendezvous_weight(name: str, key: str) -> int:
    """Return the weight of a node name for a key, an unsigned 64-bit integer."""
    digest = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=_WEIGHT_BYTES).digest()
    return int.from_bytes(digest, "big")


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return `names` by decreasing preference for the role `key`; ties are broken by name."""
    return sorted(names, key=lambda name: (-rendezvous_weight(name, key), name))


def first_live(order: Iterable[str], is_live: Callable[[str], bool]) -> str | None:
    """Return the first name in `order` for which `is_live` returns True, or None."""
    return next((name for name in order if is_live(name)), None)
