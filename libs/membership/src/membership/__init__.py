"""Membership: the nodes of the fleet, failure detection, and the assignment of singleton roles.

- `messages`: node descriptions, heartbeats and the messages of view exchanges.
- `partial_view`: the component that gossips node descriptions and detects failures.
- `known_nodes`: the records of other nodes, which `partial_view` updates.
- `role_assignment`: rendezvous hashing of keys to live nodes.

Invariants: only a node itself increments its heartbeat counter; a forwarded description never
counts as direct contact with the node that it describes. This package imports `messaging` and reads
the settings of its node. Any further criterion of liveness belongs in `partial_view`, not in its
callers.
"""

from membership.messages import NodeInfo
from membership.partial_view import Membership
from membership.role_assignment import first_live, rendezvous_order, rendezvous_weight

__all__ = ["Membership", "NodeInfo", "first_live", "rendezvous_order", "rendezvous_weight"]
