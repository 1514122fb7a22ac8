"""The first profile tree of a fleet under traffic, and the capacity of its waiting rooms."""

from typing import Any

__all__ = ["TREE", "WAITING_ROOM_JOBS"]

WAITING_ROOM_JOBS = 6
"""The setting `waiting_room` of the profiles that take jobs."""
TREE: dict[str, Any] = {
    "profiles": {
        "base": {"abstract": True, "workers": {"labels": ["gpu"]}},
        "rulings": {"parent": "base", "deadline_ms": 2000},
        "flags": {"parent": "base", "deadline_ms": 2000},
        "narrations": {"parent": "base", "deadline_ms": 5000},
        "reasons": {"parent": "base", "deadline_ms": 5000},
        "moves": {"parent": "base", "repeatable": False, "deadline_ms": 5000},
        "summaries": {"parent": "base", "waiting_room": WAITING_ROOM_JOBS},
        "claims": {"parent": "base", "repeatable": False, "waiting_room": WAITING_ROOM_JOBS},
    }
}
