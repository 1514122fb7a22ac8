"""Replicated control state: a small versioned key-value store that is decided by quorum.

Each key is a register that the voters replicate on their disks and that one node, its owner,
changes by ballots. The package also has the values that these keys hold: the tree of profiles, the
list of workers, the list of voters and the roster of edges and stores.
"""

from runtime.lazy import lazy

__all__ = [
    "Change",
    "Changed",
    "ControlClient",
    "FindChange",
    "Founding",
    "NO_BASE",
    "Outcome",
    "Owner",
    "Profile",
    "ReadBarrier",
    "ReadKey",
    "Register",
    "Roll",
    "Tree",
    "Voter",
    "WorkerList",
    "WorkerReport",
    "apply_reports",
    "check_tree",
    "empty_list",
    "explain",
    "profiles_digest",
]

__getattr__ = lazy(
    __name__,
    {
        "client": ("ControlClient",),
        "founding": ("Founding",),
        "messages": ("Change", "Changed", "FindChange", "NO_BASE", "Outcome", "ReadKey"),
        "owner": ("Owner",),
        "read_barrier": ("ReadBarrier",),
        "profiles": ("Profile", "Tree", "explain", "profiles_digest"),
        "roll": ("Roll",),
        "rows": ("check_tree",),
        "voter": ("Register", "Voter"),
        "worker_list": ("WorkerList",),
        "worker_rows": ("WorkerReport", "apply_reports", "empty_list"),
    },
)
