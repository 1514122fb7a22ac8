"""Commons: how nodes know each other. Partial views shuffled between neighbours, the standing of
those a node hears from, and who has a duty.
"""

from commons.cards import Card
from commons.duties import duty_order, first_live, score
from commons.neighbours import Neighbours

__all__ = ["Card", "Neighbours", "duty_order", "first_live", "score"]
