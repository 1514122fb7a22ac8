"""Circulation: the way of a transaction through an edge. Its chart, where it is placed, the workers'
roster, the stream's checks, lots, and how the holder is asked."""

from circulation.calls import Call, Dialect, ForwardCall, end_to_end
from circulation.carriage import Carriage, Send
from circulation.carrier import Carrier
from circulation.chart import State, Step, Transaction
from circulation.exchange import Exchange, Fate
from circulation.forward import EventCheck, ForwardExchange
from circulation.forward_chart import ForwardTransaction
from circulation.holding import HolderClient
from circulation.items import Items
from circulation.lots import LotRunner
from circulation.placement import Budget, choose, prefix_of
from circulation.roster import Roster, Worker, WorkerNews
from circulation.streams import StreamCheck, check_whole

__all__ = ["Budget", "Call", "Carriage", "Carrier", "Dialect", "EventCheck", "Exchange", "Fate", "ForwardCall", "ForwardExchange",
           "ForwardTransaction", "HolderClient", "Items", "LotRunner", "Roster", "Send", "State", "Step", "StreamCheck", "Transaction",
           "Worker", "WorkerNews", "check_whole", "choose", "end_to_end", "prefix_of"]
