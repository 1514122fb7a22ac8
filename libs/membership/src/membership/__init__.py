"""Membership: partial views of the fleet, failure detection, and assignment of duties."""

from membership.messages import NodeInfo
from membership.partial_view import Membership
from membership.role_assignment import duty_order, first_live, score

__all__ = ["NodeInfo", "Membership", "duty_order", "first_live", "score"]
