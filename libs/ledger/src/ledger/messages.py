"""Requests of the edges to the holder of the log, and its answers, here called receipts.

A request that might run something late carries the holder's clock, `holder_ms`, as the edge last
heard it; one that took too long is refused as stale, so that an outcome reported as unknown can't
turn into a run long after. Fields that end in `_ms` are milliseconds. `epoch` is the holder's, and
in Baton and Place the baton's. `due_ms` and `keep_ms` of a submission are from now; elsewhere
`due_ms` is in the log's own time. An item that isn't `safe` must not be run twice.

Receipts about lots have the outcomes admitted, known, missing, conflict (another content under the
same id), no_room, no_path, beyond (no such index), stale, full and unknown. Receipts about keys
have opened, open, doubt, recorded (with the final answer), known, conflict, stale, full and
unknown.
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
    """An edge's heartbeat: free slots, their paths, and the items it runs as LOT#INDEX."""

    edge: Text
    address: Text
    room: Long
    paths: array_of(Text)
    running: array_of(Text)


class RolloutBeat(Message):
    """An EdgeBeat that also tells how many samples of rollouts may start, and on which paths."""

    edge: Text
    address: Text
    room: Long
    paths: array_of(Text)
    running: array_of(Text)
    sample_room: Long
    sample_paths: array_of(Text)


class Work(Message):
    """An item for an edge to run; `number` is that of its claim."""

    lot_id: Text
    index: Long
    number: Long
    path: Text
    safe: Flag
    body: Text
    due_ms: Long


class RolloutWork(Message):
    """A sample for an edge to run; `index` is `prompt` * samples of each prompt + `sample`."""

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
    """Tells an edge that it may list the results of a lot up to a position."""

    lot_id: Text
    epoch: Long
    up_to: Long


class HolderBeat(Message):
    """The answer to EdgeBeat: work, batons, lots to stop, and how much waits on which paths."""

    epoch: Long
    holder_ms: Long
    work: array_of(Blob)
    batons: array_of(Blob)
    stops: array_of(Text)
    waiting: Long
    paths: array_of(Text)


class RolloutAnswer(Message):
    """A HolderBeat with how many samples are out, and whether lots need their slots back."""

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
    """The answer of a store that isn't the holder, with who is as far as it knows."""

    epoch: Long
    address: Text


class HandIn(Message):
    """Submit a lot; `digest`, that of the content, recognises the same submission sent again."""

    lot_id: Text
    digest: Text
    path: Text
    items: array_of(Text)
    safe: Flag
    due_ms: Long
    epoch: Long
    holder_ms: Long


class RolloutHandIn(Message):
    """Submit a rollout; `due_ms` is from now, 0 for no deadline."""

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
    """The state of a lot, or why there is none."""

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
    """Ask for the state of a lot."""

    lot_id: Text


class EndLot(Message):
    """End a lot: what hasn't finished is not run any more."""

    lot_id: Text


class ReadResults(Message):
    """Ask for listed results from an index on."""

    lot_id: Text
    from_index: Long
    limit: Long


class ResultRow(Message):
    """One result of a lot, at the index of its item."""

    index: Long
    outcome: Text
    body: Text


class ResultsReceipt(Message):
    """A page of results: encoded ResultRows, and that `placed` of `total` are listed."""

    outcome: Text
    rows: array_of(Blob)
    placed: Long
    total: Long
    ended: Flag


class Finish(Message):
    """Report an item's end; the outcome `again` returns the claim, as it has not run."""

    lot_id: Text
    index: Long
    number: Long
    outcome: Text
    body: Text
    worker: Text
    edge: Text


class FinishReceipt(Message):
    """The answer to Finish, Place and EndItems; a `baton_epoch` above 0 grants a baton."""

    ok: Flag
    baton_epoch: Long
    up_to: Long


class Place(Message):
    """List the results of a lot up to a position, under the baton's epoch."""

    lot_id: Text
    edge: Text
    epoch: Long
    up_to: Long


class OpenKey(Message):
    """Open a transaction that isn't safe to repeat, under a client's key."""

    key: Text
    digest: Text
    edge: Text
    transaction: Text
    epoch: Long
    holder_ms: Long


class CloseKey(Message):
    """Record how a transaction ended: its state, HTTP status and body."""

    key: Text
    transaction: Text
    state: Text
    status: Long
    body: Text


class KeyReceipt(Message):
    """The answer to OpenKey and CloseKey, with the final answer if it is recorded."""

    outcome: Text
    status: Long
    body: Text


class ForwardItem(Message):
    """The call that an item of a forwarded lot makes to a worker.

    `headers` has names and values in turn, `part_ids` and `part_tokens` the parts of its prompt in
    order.
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
    """Submit a lot of forwarded calls.

    `calls` are encoded ForwardItems, `tokens` what each counts for in the queue; `version` is the
    number of the profiles at the edge.
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
    """The stamp of a request is too old or of another epoch; this one would do."""

    epoch: Long
    holder_ms: Long


class ForwardWork(Message):
    """A forwarded item to run within `left_ms`; `avoid` are the workers that failed on it."""

    lot_id: Text
    index: Long
    number: Long
    path: Text
    call: Blob
    avoid: array_of(Text)
    left_ms: Long


class ItemEnd(Message):
    """How an item of a forwarded lot ended.

    `outcome` is finished, dead (no worker can do it), failed (an attempt) or again (no attempt).
    """

    lot_id: Text
    index: Long
    number: Long
    outcome: Text
    text: Blob
    worker: Text


class EndItems(Message):
    """Report the ends of several forwarded items; `rows` are encoded ItemEnds."""

    edge: Text
    rows: array_of(Blob)


class ReadPage(Message):
    """Ask for forwarded results; answered once there is one or after `wait_ms`."""

    lot_id: Text
    from_position: Long
    limit_bytes: Long
    wait_ms: Long


class ForwardRow(Message):
    """One result of a forwarded lot."""

    item_id: Text
    outcome: Text
    text: Blob


class PageReceipt(Message):
    """A page of encoded ForwardRows; `over` says that no more will come."""

    outcome: Text
    rows: array_of(Blob)
    total: Long
    over: Flag


class ReadItem(Message):
    """Ask for the call of an item that hasn't ended."""

    lot_id: Text
    item_id: Text


class ItemReceipt(Message):
    """The answer to ReadItem: an encoded ForwardItem."""

    outcome: Text
    call: Blob
