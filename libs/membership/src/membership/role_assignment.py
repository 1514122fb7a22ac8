"""Assignment of singleton roles: the first live node in an order that every node computes alike.

The order is by rendezvous hashing (highest random weight), which spreads keys evenly over nodes and
moves only the keys of a node that comes or goes. Nodes may disagree about who is live, so whoever
acts in a role does so under an epoch that others check.

Source: Thaler and Ravishankar, "A name-based mapping scheme for rendezvous", 1996.
"""

import hashlib
from collections.abc import Callable, Iterable

__all__ = ["first_live", "rendezvous_order", "rendezvous_weight"]

_WEIGHT_BYTES = 8


def rendezvous_weight(name: str, key: str) -> int:
    """Return the weight of a node's name for a key, an integer of 64 bits."""
    digest = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=_WEIGHT_BYTES).digest()
    return int.from_bytes(digest, "big")


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return `names` in the order in which they take the role for `key`; ties go by name."""
    return sorted(names, key=lambda name: (-rendezvous_weight(name, key), name))


def first_live(order: Iterable[str], is_live: Callable[[str], bool]) -> str | None:
    """Return the first name in `order` for which `is_live` holds, or None."""
    return next((name for name in order if is_live(name)), None)
