"""Assignment of duties: the first live node in an order that every node computes alike.

The order for a control key is by rendezvous hashing, which spreads keys over nodes. Whoever acts on
a duty does so under an epoch that others check.
"""

import hashlib
from collections.abc import Callable, Iterable

__all__ = ["duty_order", "first_live", "score"]


def score(name: str, salt: str) -> int:
    """Return the rendezvous weight of `name` for `salt`, an integer of 64 bits."""
    return int.from_bytes(
        hashlib.blake2b(f"{salt}\0{name}".encode(), digest_size=8).digest(), "big"
    )


def duty_order(concern: str, names: Iterable[str]) -> list[str]:
    """Return `names` in the order in which they take the duty for `concern`; ties go by name."""
    return sorted(names, key=lambda name: (-score(name, concern), name))


def first_live(order: Iterable[str], live: Callable[[str], bool]) -> str | None:
    """Return the first name in `order` for which `live` holds, or None."""
    return next((name for name in order if live(name)), None)
