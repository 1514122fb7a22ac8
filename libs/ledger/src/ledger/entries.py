"""The entries of the log. Each is a fact that was decided by the holder; folding the same entries
in the same order gives the same ledger everywhere. A snapshot is a short run of the same entries."""

from vellum import Arr, Flag, Long, Message, Text

__all__ = ["BatonPassed", "ItemClaimed", "ItemFinished", "ItemReturned", "KeyClosed", "KeyForgotten", "KeyOpened", "KeyShelved",
           "LotAdmitted", "LotEnded", "LotForgotten", "LotShelved", "ResultsPlaced"]


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


class LotShelved(Message):
    """Only in snapshots: a lot that is over, whose listed results are in leaves of a file."""

    lotId: Text
    digest: Text
    path: Text
    safe: Flag
    dueMs: Long
    atMs: Long
    total: Long
    finished: Long
    placed: Long
    ended: Flag
    endedAtMs: Long
    file: Text
    places: Arr(Long)
    sizes: Arr(Long)
    firsts: Arr(Long)


class KeyShelved(Message):
    """Only in snapshots: a key whose recorded receipt is in a leaf of a file."""

    key: Text
    digest: Text
    edge: Text
    transaction: Text
    status: Long
    atMs: Long
    file: Text
    place: Long
    size: Long


class KeyForgotten(Message):
    key: Text
