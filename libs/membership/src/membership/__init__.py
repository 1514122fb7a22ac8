"""Membership: who is in the fleet, who is live, and which node has a singleton role.

- `messages`: node descriptions, heartbeats and view exchanges.
- `partial_view`: the component that exchanges them and detects failures.
- `known_nodes`: the records of other nodes that it keeps.
- `role_assignment`: rendezvous hashing of keys to live nodes.

Invariants: only a node itself raises its heartbeat counter; a forwarded description never makes a
node count as heard directly. This package imports `messaging` and the settings that its node has.
Another criterion of liveness goes to `partial_view`, never to its callers.
"""

from membership.messages import NodeInfo
from membership.partial_view import Membership
from membership.role_assignment import first_live, rendezvous_order, rendezvous_weight

__all__ = ["Membership", "NodeInfo", "first_live", "rendezvous_order", "rendezvous_weight"]
