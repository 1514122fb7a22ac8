"""Circulation: the way of a transaction through an edge. Its chart, where it is placed, the workers'
roster, the stream's checks, lots, and how the holder is asked."""

from circulation.carrier import Call, Carriage, Carrier, Send
from circulation.chart import State, Step, Transaction
from circulation.exchange import Exchange, Fate
from circulation.holding import HolderClient
from circulation.items import Items
from circulation.lots import LotRunner
from circulation.placement import Budget, choose, prefix_of
from circulation.roster import Roster, Worker, WorkerNews
from circulation.streams import StreamCheck, check_whole

__all__ = ["Budget", "Call", "Carriage", "Carrier", "Exchange", "Fate", "HolderClient", "Items", "LotRunner", "Roster", "Send", "State", "Step", "StreamCheck", "Transaction", "Worker",
           "WorkerNews", "check_whole", "choose", "prefix_of"]
