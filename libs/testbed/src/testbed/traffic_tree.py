"""The first tree of profiles of a fleet under traffic, and the size of its waiting rooms."""

from typing import Any

__all__ = ["ROOM", "TREE"]

ROOM = 6
TREE: dict[str, Any] = {
    "profiles": {
        "base": {"abstract": True, "workers": {"labels": ["gpu"]}},
        "rulings": {"parent": "base", "deadline_ms": 2000},
        "flags": {"parent": "base", "deadline_ms": 2000},
        "narrations": {"parent": "base", "deadline_ms": 5000},
        "reasons": {"parent": "base", "deadline_ms": 5000},
        "moves": {"parent": "base", "repeatable": False, "deadline_ms": 5000},
        "summaries": {"parent": "base", "waiting_room": ROOM},
        "claims": {"parent": "base", "repeatable": False, "waiting_room": ROOM},
    }
}
