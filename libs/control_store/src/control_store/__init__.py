"""Replicated control state: a small versioned key-value store that is decided by quorum.

Each key is a register that the voters replicate on their disks and that one node at a time, its
owner, changes by proposals (single-decree Paxos for each key, with a new epoch for each owner). The
package also has the values of these keys: profiles, workers, voters and the serving set.

It may import `messaging`, `storage`, `membership`, `config_feed` and `runtime`.

Invariants:

- A vote is on the voter's disk before it is sent, and a promise or an accepted version is never
  undone.
- A change is acknowledged only once a majority of the voters has it on disk; for profiles, only
  once the nodes that serve have it in force too.
- A read or a change is answered as certain only after a majority confirmed the owner's epoch since
  the call arrived.
- Two consecutive lists of voters differ by one step, and every key is on a majority of the first
  before the second is proposed.

Where a change goes:

- votes and files of a voter: `acceptor`, `register`, `register_store`, `metadata_file`
- the proposer's rounds: `proposer`, `quorum_round`; operations on a key: `key_owner`, `key_state`,
  `operations`, `change_memory`; the way to the owner: `forwarding`, `client`
- when a change is acknowledged: `pending_acknowledgements`; fresh reads: `read_barrier`
- the voters: `voter_list`, `bootstrap`, `coordinator`, `voter_succession`, `key_sweep`, with
  `voter_list_manager` as their component
- profiles: `profile_schema`, `profile_validation`, `profile_defaults`, `profile_inheritance`,
  `profile`, `profile_tree`, `routes`
- workers: `worker_messages`, `worker_records`, `worker_list`, `worker_changes`
- the edges and stores that are counted: `serving_set`
- messages, whose wire names and fields' order never change: `messages`, `worker_messages`
"""

from typing import TYPE_CHECKING

from runtime.lazy_exports import lazy_exports

if TYPE_CHECKING:  # for type checkers; at run time each name is imported on first access
    from control_store.acceptor import Acceptor
    from control_store.client import ControlClient
    from control_store.key_owner import KeyOwner
    from control_store.messages import (
        NO_BASE,
        Change,
        ChangeResult,
        FindChange,
        Outcome,
        ReadKey,
    )
    from control_store.profile import Profile
    from control_store.profile_tree import (
        ProfileTree,
        explain,
        profiles_digest,
    )
    from control_store.profile_validation import check_tree
    from control_store.read_barrier import ReadBarrier
    from control_store.register import Register
    from control_store.serving_set import ServingSet
    from control_store.voter_list_manager import VoterListManager
    from control_store.worker_list import WorkerList
    from control_store.worker_messages import (
        WorkerReport,
        WorkerState,
    )
    from control_store.worker_records import (
        WorkerRecords,
        apply_reports,
    )

__all__ = [
    "NO_BASE",
    "Acceptor",
    "Change",
    "ChangeResult",
    "ControlClient",
    "FindChange",
    "KeyOwner",
    "Outcome",
    "Profile",
    "ProfileTree",
    "ReadBarrier",
    "ReadKey",
    "Register",
    "ServingSet",
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
