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
    lotId: Text
    index: Long
    number: Long
    path: Text
    safe: Flag
    body: Text
    dueMs: Long


class Baton(Message):
    lotId: Text
    epoch: Long
    upTo: Long


class HolderBeat(Message):
    epoch: Long
    holderMs: Long
    work: Arr(Blob)
    batons: Arr(Blob)
    stops: Arr(Text)
    waiting: Long
    paths: Arr(Text)


class NotHolder(Message):
    epoch: Long
    address: Text


class HandIn(Message):
    lotId: Text
    digest: Text
    path: Text
    items: Arr(Text)
    safe: Flag
    dueMs: Long
    epoch: Long
    holderMs: Long


class LotReceipt(Message):
    outcome: Text
    lotId: Text
    digest: Text
    path: Text
    total: Long
    finished: Long
    placed: Long
    running: Long
    dueMs: Long
    ended: Flag


class ReadLot(Message):
    lotId: Text


class EndLot(Message):
    lotId: Text


class ReadResults(Message):
    lotId: Text
    fromIndex: Long
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
    lotId: Text
    index: Long
    number: Long
    outcome: Text
    body: Text
    worker: Text
    edge: Text


class FinishReceipt(Message):
    ok: Flag
    batonEpoch: Long
    upTo: Long


class Place(Message):
    lotId: Text
    edge: Text
    epoch: Long
    upTo: Long


class OpenKey(Message):
    key: Text
    digest: Text
    edge: Text
    transaction: Text
    epoch: Long
    holderMs: Long


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
