"""The entries of the log. Each is a fact that was decided by the holder; folding the same entries
in the same order gives the same ledger everywhere. A snapshot is a short run of the same entries."""

from vellum import Arr, Flag, Long, Message, Text

__all__ = ["BatonPassed", "ItemClaimed", "ItemFinished", "ItemReturned", "KeyClosed", "KeyForgotten", "KeyOpened", "LotAdmitted",
           "LotEnded", "LotForgotten", "ResultsPlaced"]


class LotAdmitted(Message):
    lotId: Text
    digest: Text
    path: Text
    items: Arr(Text)
    safe: Flag
    dueMs: Long
    atMs: Long


class ItemClaimed(Message):
    lotId: Text
    index: Long
    edge: Text
    number: Long


class ItemFinished(Message):
    lotId: Text
    index: Long
    outcome: Text
    body: Text
    worker: Text


class ItemReturned(Message):
    lotId: Text
    index: Long
    number: Long


class BatonPassed(Message):
    lotId: Text
    edge: Text
    epoch: Long


class ResultsPlaced(Message):
    lotId: Text
    upTo: Long
    epoch: Long


class LotEnded(Message):
    lotId: Text
    atMs: Long


class LotForgotten(Message):
    lotId: Text


class KeyOpened(Message):
    key: Text
    digest: Text
    edge: Text
    transaction: Text
    atMs: Long


class KeyClosed(Message):
    key: Text
    transaction: Text
    state: Text
    status: Long
    body: Text
    atMs: Long


class KeyForgotten(Message):
    key: Text
