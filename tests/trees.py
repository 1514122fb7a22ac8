"""A small tree of profiles that the tests share."""

TREE = {
    "profiles": {
        "base": {"abstract": True, "workers": {"labels": ["gpu"]}},
        "rulings": {"parent": "base", "deadline_ms": 2000},
        "moves": {"parent": "base", "repeatable": False},
        "summaries": {"parent": "base", "waiting_room": 4},
    }
}
