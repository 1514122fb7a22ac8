"""Ledger: what the log adds up to. Lots, who may run which item, batons, listed results, and the
transactions that are not safe to repeat."""

from ledger import entries, messages
from ledger.desk import Desk
from ledger.fold import Item, Key, Ledger, Lot

__all__ = ["Desk", "Item", "Key", "Ledger", "Lot", "entries", "messages"]
