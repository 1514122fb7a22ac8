"""The entries of the log. Each is a fact that was decided by the holder; folding the same entries
in the same order gives the same ledger everywhere. A snapshot is a short run of the same entries.
"""

from messaging import Blob, Flag, Long, Message, Text, array_of

__all__ = [
    "AttemptFailed",
    "BatonPassed",
    "ForwardLotAdmitted",
    "ItemClaimed",
    "ItemFinished",
    "ItemReturned",
    "ItemsClaimed",
    "KeyClosed",
    "KeyForgotten",
    "KeyOpened",
    "KeyShelved",
    "LotAdmitted",
    "LotEnded",
    "LotForgotten",
    "LotShelved",
    "ResultListed",
    "ResultsPlaced",
    "RolloutAdmitted",
]


class LotAdmitted(Message):
    lot_id: Text
    digest: Text
    path: Text
    items: array_of(Text)
    safe: Flag
    due_ms: Long
    at_ms: Long


class ForwardLotAdmitted(Message):
    """A lot of forwarded calls. What an item asks is kept as the bytes it came in; `expires_ms` is the log's
    time from which an item may be given up, `version` the profiles' number at the holder that admitted it.
    """

    lot_id: Text
    digest: Text
    path: Text
    item_ids: array_of(Text)
    tokens: array_of(Long)
    calls: array_of(Blob)
    attempts: Long
    due_ms: Long
    expires_ms: Long
    version: Long
    at_ms: Long


class RolloutAdmitted(Message):
    """A lot of the lowest class: each of its prompts is sampled `samples` times by the policy of these weights, and
    `expires_ms`, if not 0, is the log's time at which it ends.
    """

    lot_id: Text
    digest: Text
    path: Text
    items: array_of(Text)
    samples: Long
    weights: Text
    expires_ms: Long
    at_ms: Long


class ItemsClaimed(Message):
    """Items of one forwarded lot, for one edge."""

    lot_id: Text
    edge: Text
    indexes: array_of(Long)
    numbers: array_of(Long)


class AttemptFailed(Message):
    """`failures` counts this one; `worker` is left out when the item is dealt again."""

    lot_id: Text
    index: Long
    number: Long
    failures: Long
    worker: Text


class ResultListed(Message):
    """A forwarded item is over, and in the same moment the baton, which is then with `edge` under `epoch`,
    places it next: the order of these entries is the order of the results.
    """

    lot_id: Text
    index: Long
    outcome: Text
    text: Blob
    worker: Text
    edge: Text
    epoch: Long


class ItemClaimed(Message):
    lot_id: Text
    index: Long
    edge: Text
    number: Long


class ItemFinished(Message):
    lot_id: Text
    index: Long
    outcome: Text
    body: Text
    worker: Text


class ItemReturned(Message):
    lot_id: Text
    index: Long
    number: Long


class BatonPassed(Message):
    lot_id: Text
    edge: Text
    epoch: Long


class ResultsPlaced(Message):
    lot_id: Text
    up_to: Long
    epoch: Long


class LotEnded(Message):
    lot_id: Text
    at_ms: Long


class LotForgotten(Message):
    lot_id: Text


class KeyOpened(Message):
    key: Text
    digest: Text
    edge: Text
    transaction: Text
    at_ms: Long


class KeyClosed(Message):
    key: Text
    transaction: Text
    state: Text
    status: Long
    body: Text
    at_ms: Long


class LotShelved(Message):
    """Only in snapshots: a lot that is over, whose listed results are in leaves of a file."""

    lot_id: Text
    digest: Text
    path: Text
    safe: Flag
    due_ms: Long
    at_ms: Long
    total: Long
    finished: Long
    placed: Long
    ended: Flag
    ended_at_ms: Long
    file: Text
    places: array_of(Long)
    sizes: array_of(Long)
    firsts: array_of(Long)


class KeyShelved(Message):
    """Only in snapshots: a key whose recorded receipt is in a leaf of a file."""

    key: Text
    digest: Text
    edge: Text
    transaction: Text
    status: Long
    at_ms: Long
    file: Text
    place: Long
    size: Long


class KeyForgotten(Message):
    key: Text
