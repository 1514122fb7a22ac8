"""Membership: partial views of the fleet, failure detection, and assignment of duties."""

from membership.cards import Card
from membership.duties import duty_order, first_live, score
from membership.neighbours import Neighbours

__all__ = ["Card", "Neighbours", "duty_order", "first_live", "score"]
