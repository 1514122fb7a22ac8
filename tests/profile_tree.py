"""The tree of profiles that the tests of fleets of real processes share.

Requests of `moves` are not safe to repeat; the backlog limit of `summaries` is four jobs.
"""

TREE = {
    "profiles": {
        "base": {"abstract": True, "workers": {"labels": ["gpu"]}},
        "rulings": {"parent": "base", "deadline_ms": 2000},
        "moves": {"parent": "base", "repeatable": False},
        "summaries": {"parent": "base", "waiting_room": 4},
    }
}
