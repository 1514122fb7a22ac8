"""The entries of the log.

Each is a fact that the holder has decided; folding the same entries in the same order gives the
same ledger on every replica. A snapshot is a short sequence of the same entries. Fields that end in
`_ms` are milliseconds of the log's own time; `epoch` is that of a lot's baton.
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
    """A lot was admitted; an item that isn't `safe` must not be run twice."""

    lot_id: Text
    digest: Text
    path: Text
    items: array_of(Text)
    safe: Flag
    due_ms: Long
    at_ms: Long


class ForwardLotAdmitted(Message):
    """A lot of forwarded calls was admitted.

    `calls` are kept as the bytes in which they came. From `expires_ms` on an item may be given up;
    `version` is the number of the profiles at the holder that admitted the lot.
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
    """A rollout, a lot of the lowest class, was admitted.

    Each prompt is sampled `samples` times by the policy of these weights. If `expires_ms` isn't 0,
    the rollout ends then.
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
    """Items of one forwarded lot were claimed for one edge."""

    lot_id: Text
    edge: Text
    indexes: array_of(Long)
    numbers: array_of(Long)


class AttemptFailed(Message):
    """An attempt at a forwarded item failed; `failures` counts this one.

    `worker` is avoided when the item is dealt again.
    """

    lot_id: Text
    index: Long
    number: Long
    failures: Long
    worker: Text


class ResultListed(Message):
    """A forwarded item ended and was listed as the next result.

    The baton passes to `edge` under `epoch` in the same entry. The order of these entries is the
    order of the results.
    """

    lot_id: Text
    index: Long
    outcome: Text
    text: Blob
    worker: Text
    edge: Text
    epoch: Long


class ItemClaimed(Message):
    """An item was claimed for an edge, under a number that rises with each claim."""

    lot_id: Text
    index: Long
    edge: Text
    number: Long


class ItemFinished(Message):
    """An item ended; its result may be listed."""

    lot_id: Text
    index: Long
    outcome: Text
    body: Text
    worker: Text


class ItemReturned(Message):
    """The claim of this number was returned; the item waits again."""

    lot_id: Text
    index: Long
    number: Long


class BatonPassed(Message):
    """The right to list a lot's results passed to an edge, under a higher epoch."""

    lot_id: Text
    edge: Text
    epoch: Long


class ResultsPlaced(Message):
    """Results were listed up to a position; void unless `epoch` is the baton's."""

    lot_id: Text
    up_to: Long
    epoch: Long


class LotEnded(Message):
    """A lot was ended before all of its results were listed."""

    lot_id: Text
    at_ms: Long


class LotForgotten(Message):
    """A lot that is over left the ledger, because its retention time has passed."""

    lot_id: Text


class KeyOpened(Message):
    """A transaction that isn't safe to repeat was opened under a key."""

    key: Text
    digest: Text
    edge: Text
    transaction: Text
    at_ms: Long


class KeyClosed(Message):
    """A transaction ended, or its outcome is in doubt, as `state` says."""

    key: Text
    transaction: Text
    state: Text
    status: Long
    body: Text
    at_ms: Long


class LotShelved(Message):
    """Only in snapshots: a lot that is over, whose results are in an archive file.

    `places` and `sizes` are the offsets and lengths in bytes of the file's leaves, `firsts` the
    index of the first result in each.
    """

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
    """Only in snapshots: a key whose final answer is in an archive file.

    `place` and `size` are the offset and length in bytes of its leaf.
    """

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
    """A key left the ledger, because its retention time has passed."""

    key: Text
