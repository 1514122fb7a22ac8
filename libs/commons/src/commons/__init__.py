"""Membership: partial views of the fleet, failure detection, and assignment of duties."""

from commons.cards import Card
from commons.duties import duty_order, first_live, score
from commons.neighbours import Neighbours

__all__ = ["Card", "Neighbours", "duty_order", "first_live", "score"]
