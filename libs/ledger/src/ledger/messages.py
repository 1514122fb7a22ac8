"""What edges ask of the holder, and its receipts. Each ask that could run something late carries the
holder's own time as the edge last heard it; one that has been under way for too long is refused, so
that a doubt told to a visitor can't turn into a run long after.
"""

from messaging import Blob, Flag, Long, Message, Text, array_of

__all__ = [
    "Baton",
    "CloseKey",
    "EdgeBeat",
    "EndItems",
    "EndLot",
    "Finish",
    "FinishReceipt",
    "ForwardHandIn",
    "ForwardItem",
    "ForwardRow",
    "ForwardWork",
    "HandIn",
    "HolderBeat",
    "ItemEnd",
    "ItemReceipt",
    "KeyReceipt",
    "LotReceipt",
    "NotHolder",
    "OpenKey",
    "PageReceipt",
    "Place",
    "ReadItem",
    "ReadLot",
    "ReadPage",
    "ReadResults",
    "ResultRow",
    "ResultsReceipt",
    "RolloutAnswer",
    "RolloutBeat",
    "RolloutHandIn",
    "RolloutWork",
    "Stale",
    "Work",
]


class EdgeBeat(Message):
    edge: Text
    address: Text
    room: Long
    paths: array_of(Text)
    running: array_of(Text)


class RolloutBeat(Message):
    """The beat of an edge whose profiles lend: also how many samples of rollouts it could start, and on which paths."""

    edge: Text
    address: Text
    room: Long
    paths: array_of(Text)
    running: array_of(Text)
    sample_room: Long
    sample_paths: array_of(Text)


class Work(Message):
    lot_id: Text
    index: Long
    number: Long
    path: Text
    safe: Flag
    body: Text
    due_ms: Long


class RolloutWork(Message):
    """One sample of a rollout; the item's index is that of its prompt times the samples of each, plus the sample's."""

    safe = True
    lot_id: Text
    index: Long
    number: Long
    path: Text
    body: Text
    prompt: Long
    sample: Long
    weights: Text


class Baton(Message):
    lot_id: Text
    epoch: Long
    up_to: Long


class HolderBeat(Message):
    epoch: Long
    holder_ms: Long
    work: array_of(Blob)
    batons: array_of(Blob)
    stops: array_of(Text)
    waiting: Long
    paths: array_of(Text)


class RolloutAnswer(Message):
    """The answer to a RolloutBeat: also how many samples are out, and whether lots need their slots."""

    epoch: Long
    holder_ms: Long
    work: array_of(Blob)
    batons: array_of(Blob)
    stops: array_of(Text)
    waiting: Long
    paths: array_of(Text)
    samples_out: Long
    recalled: Flag


class NotHolder(Message):
    epoch: Long
    address: Text


class HandIn(Message):
    lot_id: Text
    digest: Text
    path: Text
    items: array_of(Text)
    safe: Flag
    due_ms: Long
    epoch: Long
    holder_ms: Long


class RolloutHandIn(Message):
    """`due_ms` is from now, 0 for no deadline."""

    lot_id: Text
    digest: Text
    path: Text
    items: array_of(Text)
    samples: Long
    weights: Text
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
    rows: array_of(Blob)
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


class ForwardItem(Message):
    """What an item of a forwarded lot asks of a worker; `headers` are names and values in turn, `part_ids` and
    `part_tokens` the parts of its prompt in order.
    """

    item_id: Text
    target: Text
    host: Text
    headers: array_of(Text)
    body: Blob
    part_ids: array_of(Text)
    part_tokens: array_of(Long)
    tokens_in: Long
    tokens_out: Long


class ForwardHandIn(Message):
    """`calls` are encoded ForwardItems, `tokens` what each counts for in the waiting room; `due_ms` and `keep_ms`
    are from now, `version` is the profiles' number at the edge.
    """

    lot_id: Text
    digest: Text
    path: Text
    item_ids: array_of(Text)
    tokens: array_of(Long)
    calls: array_of(Blob)
    attempts: Long
    due_ms: Long
    keep_ms: Long
    version: Long
    epoch: Long
    holder_ms: Long


class Stale(Message):
    """The stamp of an ask doesn't hold; this one would."""

    epoch: Long
    holder_ms: Long


class ForwardWork(Message):
    """`left_ms` is how long the item may still be worked on, `avoid` the workers that failed on it."""

    lot_id: Text
    index: Long
    number: Long
    path: Text
    call: Blob
    avoid: array_of(Text)
    left_ms: Long


class ItemEnd(Message):
    """`finished`, `dead` (no worker can do it), `failed` (an attempt) or `again` (no attempt was made)."""

    lot_id: Text
    index: Long
    number: Long
    outcome: Text
    text: Blob
    worker: Text


class EndItems(Message):
    edge: Text
    rows: array_of(Blob)


class ReadPage(Message):
    """Asks to be answered once a result from this position on exists, or after `wait_ms`."""

    lot_id: Text
    from_position: Long
    limit_bytes: Long
    wait_ms: Long


class ForwardRow(Message):
    item_id: Text
    outcome: Text
    text: Blob


class PageReceipt(Message):
    outcome: Text
    rows: array_of(Blob)
    total: Long
    over: Flag


class ReadItem(Message):
    lot_id: Text
    item_id: Text


class ItemReceipt(Message):
    outcome: Text
    call: Blob
