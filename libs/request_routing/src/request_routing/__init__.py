"""Request routing: how an edge carries one request to a worker and judges the answer.

It has the state machine of a transaction, the placement of requests on workers, the registry of
workers, the checks of streams, the running of batch items, and the client of the log's leader. None
of it has a socket.
"""

from runtime.lazy import lazy

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
