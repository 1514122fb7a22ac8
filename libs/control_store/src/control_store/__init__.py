"""Replicated control state: a small versioned key-value store that is decided by quorum.

Each key is a register that the voters replicate on their disks and that one node, its owner,
changes by ballots. The package also has the values that these keys hold: the tree of profiles, the
list of workers, the list of voters and the roster of edges and stores.
"""

from runtime.lazy_exports import lazy_exports

__all__ = [
    "Change",
    "ChangeResult",
    "ControlClient",
    "FindChange",
    "NO_BASE",
    "Outcome",
    "KeyOwner",
    "Profile",
    "ReadBarrier",
    "ReadKey",
    "Register",
    "ServingSet",
    "ProfileTree",
    "Acceptor",
    "VoterListManager",
    "WorkerList",
    "WorkerRecords",
    "WorkerReport",
    "WorkerState",
    "apply_reports",
    "check_tree",
    "explain",
    "profiles_digest",
]

__getattr__ = lazy_exports(
    __name__,
    {
        "client": ("ControlClient",),
        "voter_list_manager": ("VoterListManager",),
        "messages": ("Change", "ChangeResult", "FindChange", "NO_BASE", "Outcome", "ReadKey"),
        "key_owner": ("KeyOwner",),
        "read_barrier": ("ReadBarrier",),
        "profile": ("Profile",),
        "profile_tree": ("ProfileTree", "explain", "profiles_digest"),
        "serving_set": ("ServingSet",),
        "profile_validation": ("check_tree",),
        "acceptor": ("Acceptor",),
        "register": ("Register",),
        "worker_list": ("WorkerList",),
        "worker_messages": ("WorkerReport", "WorkerState"),
        "worker_records": ("WorkerRecords", "apply_reports"),
    },
)
