"""What edges ask of the holder, and its receipts. Each ask that could run something late carries the
holder's own time as the edge last heard it; one that has been under way for too long is refused, so
that a doubt told to a visitor can't turn into a run long after."""

from vellum import Arr, Blob, Flag, Long, Message, Text

__all__ = ["Baton", "CloseKey", "EdgeBeat", "EndLot", "Finish", "FinishReceipt", "HandIn", "HolderBeat", "KeyReceipt",
           "LotReceipt", "NotHolder", "OpenKey", "Place", "ReadLot", "ReadResults", "ResultRow", "ResultsReceipt",
           "Work"]


class EdgeBeat(Message):
    edge: Text
    address: Text
    room: Long
    paths: Arr(Text)
    running: Arr(Text)


class Work(Message):
    lot_id: Text
    index: Long
    number: Long
    path: Text
    safe: Flag
    body: Text
    due_ms: Long


class Baton(Message):
    lot_id: Text
    epoch: Long
    up_to: Long


class HolderBeat(Message):
    epoch: Long
    holder_ms: Long
    work: Arr(Blob)
    batons: Arr(Blob)
    stops: Arr(Text)
    waiting: Long
    paths: Arr(Text)


class NotHolder(Message):
    epoch: Long
    address: Text


class HandIn(Message):
    lot_id: Text
    digest: Text
    path: Text
    items: Arr(Text)
    safe: Flag
    due_ms: Long
    epoch: Long
    holder_ms: Long


class LotReceipt(Message):
    outcome: Text
    lot_id: Text
    digest: Text
    path: Text
    total: Long
    finished: Long
    placed: Long
    running: Long
    due_ms: Long
    ended: Flag


class ReadLot(Message):
    lot_id: Text


class EndLot(Message):
    lot_id: Text


class ReadResults(Message):
    lot_id: Text
    from_index: Long
    limit: Long


class ResultRow(Message):
    index: Long
    outcome: Text
    body: Text


class ResultsReceipt(Message):
    outcome: Text
    rows: Arr(Blob)
    placed: Long
    total: Long
    ended: Flag


class Finish(Message):
    lot_id: Text
    index: Long
    number: Long
    outcome: Text
    body: Text
    worker: Text
    edge: Text


class FinishReceipt(Message):
    ok: Flag
    baton_epoch: Long
    up_to: Long


class Place(Message):
    lot_id: Text
    edge: Text
    epoch: Long
    up_to: Long


class OpenKey(Message):
    key: Text
    digest: Text
    edge: Text
    transaction: Text
    epoch: Long
    holder_ms: Long


class CloseKey(Message):
    key: Text
    transaction: Text
    state: Text
    status: Long
    body: Text


class KeyReceipt(Message):
    outcome: Text
    status: Long
    body: Text
