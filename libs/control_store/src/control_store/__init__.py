"""Control store: the control state. Keys that are each decided by ballots over the voters' disks and
owned by one node at a time; the profiles and the members that these keys hold.
"""

from colophon.lazy import lazy

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
