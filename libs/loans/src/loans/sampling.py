"""One sample of a rollout as a call to a worker: streamed, so that it shows when its prompt has been read, of the
lowest urgency, and with the weights that the trainer wants. An answer counts only if the worker names these
weights itself; what came of it says which prompt and sample it is, and of which weights.
"""

import json
from collections.abc import Iterable
from typing import Any

from circulation.calls import Call
from circulation.carriage import Send
from circulation.exchange import Exchange, Fate
from circulation.placement import prefix_of
from circulation.roster import Roster, Worker
from circulation.sending import choose_worker, new_exchange, worker_request

__all__ = [
    "OTHER_WEIGHTS",
    "URGENCY_HEADER",
    "WEIGHTS_HEADER",
    "SampleCall",
    "SampleExchange",
    "sample_result",
    "unstarted",
]

WEIGHTS_HEADER = "X-Vaneledge-Weights"
URGENCY_HEADER = "X-Vaneledge-Urgency"
OTHER_WEIGHTS = "other weights"
_LOWEST = "9"


class SampleCall(Call):
    """`told` are the weights that the worker which answered it named."""

    __slots__ = ("told", "weights")
    rollout = True

    def __init__(self, body: dict[str, Any], weights: str) -> None:
        super().__init__(body, "", prefix_of(body), True, True)
        self.weights, self.told = weights, ""


class SampleExchange(Exchange):
    __slots__ = ("_call",)

    def __init__(
        self, worker: str, transaction_id: str, limit_bytes: int, call: SampleCall
    ) -> None:
        super().__init__(worker, transaction_id, True, limit_bytes)
        self._call = call

    def head(self, status: int, headers: Iterable[tuple[str, str]], length: int | None) -> None:
        rows = list(headers)
        super().head(status, rows, length)
        told = [value for name, value in rows if name.lower() == WEIGHTS_HEADER.lower()]
        self._call.told = told[0] if len(told) == 1 else ""

    @property
    def other_weights(self) -> bool:
        return self.good and self._call.weights not in ("", self._call.told)

    def data(self, chunk: bytes) -> tuple[list[bytes], Fate | None]:
        if self.other_weights:
            return [], Fate("failed", may_have_run=True, reason=OTHER_WEIGHTS)
        return super().data(chunk)

    def end(self) -> Fate:
        return (
            Fate("failed", may_have_run=True, reason=OTHER_WEIGHTS)
            if self.other_weights
            else super().end()
        )


@new_exchange.register
def _(call: SampleCall, carrier: Any, tx: Any, worker: Worker) -> SampleExchange:
    return SampleExchange(worker.stamp, tx.transaction_id, carrier.node.params.answer_bytes, call)


@worker_request.register
def _(call: SampleCall, carrier: Any, tx: Any, worker: Worker) -> tuple:
    target, headers, body = worker_request.dispatch(Call)(call, carrier, tx, worker)
    return target, {**headers, URGENCY_HEADER: _LOWEST, WEIGHTS_HEADER: call.weights}, body


@choose_worker.register
def _(
    call: SampleCall, carrier: Any, tx: Any, workers: list[Worker], roster: Roster
) -> Worker | None:
    return carrier.loans.choose(tx, call.weights, workers)


def unstarted(send: Send, now_ms: int, reading_ms: int) -> bool:
    """Whether a worker may still be reading its prompt: a stream that brought nothing yet; a plain call says nothing
    before its end, and counts for as long as reading may take.
    """
    if send.carriage.call.stream:
        return send.heard_ms <= send.began_ms and not send.carriage.tx.delivered
    return now_ms - send.began_ms < reading_ms


def sample_result(work: Any, worker: str, weights: str, events: str) -> str:
    """What is listed of a sample; the text is that of its events."""
    text = "".join(
        _text(json.loads(line.removeprefix("data:")))
        for line in events.splitlines()
        if line.startswith("data:")
    )
    return json.dumps(
        {
            "prompt": work.prompt,
            "sample": work.sample,
            "weights": weights,
            "worker": worker,
            "text": text,
        }
    )


def _text(value: dict[str, Any]) -> str:
    choice = (value.get("choices") or [{}])[0]
    return str(choice.get("text") or (choice.get("delta") or {}).get("content") or "")
