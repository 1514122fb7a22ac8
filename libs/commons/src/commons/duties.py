"""Who has a duty: the first live node in an order on which all agree. The order for a control key is
by rendezvous, so that keys are spread; whoever acts does so under an epoch that others check.
"""

import hashlib
from collections.abc import Callable, Iterable

__all__ = ["duty_order", "first_live", "score"]


def score(name: str, salt: str) -> int:
    return int.from_bytes(
        hashlib.blake2b(f"{salt}\0{name}".encode(), digest_size=8).digest(), "big"
    )


def duty_order(concern: str, names: Iterable[str]) -> list[str]:
    return sorted(names, key=lambda name: (-score(name, concern), name))


def first_live(order: Iterable[str], live: Callable[[str], bool]) -> str | None:
    return next((name for name in order if live(name)), None)
