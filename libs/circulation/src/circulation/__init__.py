"""Circulation: the way of a transaction through an edge. Its chart, where it is placed, the workers'
roster, the stream's checks, lots, and how the holder is asked.
"""

from colophon.lazy import lazy

__all__ = [
    "Budget",
    "Call",
    "Carriage",
    "Carrier",
    "Dialect",
    "EventCheck",
    "Exchange",
    "Fate",
    "ForwardCall",
    "ForwardExchange",
    "ForwardTransaction",
    "HolderClient",
    "Items",
    "LotRunner",
    "Readings",
    "Roster",
    "Send",
    "State",
    "Step",
    "StreamCheck",
    "Transaction",
    "Worker",
    "WorkerNews",
    "check_whole",
    "choose",
    "end_to_end",
    "prefix_of",
]

__getattr__ = lazy(
    __name__,
    {
        "calls": ("Call", "Dialect", "ForwardCall", "end_to_end"),
        "carriage": ("Carriage", "Send"),
        "carrier": ("Carrier",),
        "chart": ("State", "Step", "Transaction"),
        "exchange": ("Exchange", "Fate"),
        "forward": ("EventCheck", "ForwardExchange"),
        "forward_chart": ("ForwardTransaction",),
        "holding": ("HolderClient",),
        "items": ("Items",),
        "lots": ("LotRunner",),
        "placement": ("Budget", "choose", "prefix_of"),
        "readings": ("Readings",),
        "roster": ("Roster", "Worker", "WorkerNews"),
        "streams": ("StreamCheck", "check_whole"),
    },
)
