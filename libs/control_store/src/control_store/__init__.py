"""Replicated control state: a small, versioned key-value store in which majorities decide.

Each key is a register, replicated on the disks of the voters. One node at a time, the owner of the
key, changes the register by proposals (single-decree Paxos for each key; each owner has a new
epoch). The package also defines the values of some keys: profiles, workers, the voter list and the
serving set.

The package may import `messaging`, `storage`, `membership`, `config_feed` and `runtime`.

Invariants:

- A vote is on the voter's disk before it is sent, and a promise or an accepted version is never
  undone.
- A change is acknowledged only after a majority of the voters has it on disk and, for profiles,
  after the serving nodes have it in force.
- A read or a change gets a definite result only after a majority has confirmed the owner's epoch
  since the call arrived.
- Two consecutive voter lists differ by one step, and every key is on the disks of a majority of the
  first list before the second is proposed.

The modules:

- votes and files of a voter: `acceptor`, `register`, `register_store`, `metadata_file`
- rounds of the proposer: `proposer`, `quorum_round`
- operations on a key: `key_owner`, `key_state`, `operations`, `change_memory`
- forwarding to the owner of a key: `forwarding`, `client`
- acknowledgement of changes: `pending_acknowledgements`
- reading the keys again after lost contact with a majority: `read_barrier`
- the voter list: `voter_list`, `bootstrap`, `coordinator`, `voter_succession` and `key_sweep`, with
  the component `voter_list_manager`
- profiles: `profile_schema`, `profile_validation`, `profile_defaults`, `profile_inheritance`,
  `profile`, `profile_tree`, `routes`
- workers: `worker_messages`, `worker_records`, `worker_list`, `worker_changes`
- the edges and stores that count towards a majority: `serving_set`
- messages, whose wire names and order of fields never change: `messages`, `worker_messages`
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
