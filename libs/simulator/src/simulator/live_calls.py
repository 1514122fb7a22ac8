"""One live call of a simulated client at one edge, and how the history records answers."""

import json
from collections.abc import Callable
from typing import Any

from data_plane.responses import ServiceResponse
from request_routing import Step

__all__ = ["LiveCall", "flat_body", "flat_events"]

_STREAMED = ("rulings", "narrations")
_RESEND_MS = 200


class LiveCall:
    """A call from its start to its outcome; what the client sees is written into `row`.

    `resend` sends the call again through another edge if it may have run; `done` gets the row at
    the end. A client that disconnects does so `hangs_up_ms` after the start; 0 means never.
    """

    __slots__ = ("_done", "_hangs_up_ms", "_host", "_resend", "_row", "_stream", "_time")

    def __init__(
        self,
        time: Any,
        host: Any,
        row: dict[str, Any],
        resend: Callable[[], None] | None,
        done: Callable | None,
        hangs_up_ms: float,
    ) -> None:
        self._time, self._host, self._row = time, host, row
        self._resend, self._done, self._hangs_up_ms = resend, done, hangs_up_ms
        self._stream = row["path"] in _STREAMED

    def begin(self) -> None:
        """Send the call to the edge."""
        row, host = self._row, self._host
        key = row["key"]
        prompt = f"key {key} asked {row['asked']}" if key else f"call {row['call']}"
        carriage = host.node.edge_service.complete(
            row["path"], key, {"prompt": prompt}, self._stream, self._delivered, self._told
        )
        if isinstance(carriage, ServiceResponse):
            self._answered("error", carriage.verdict, carriage.code)
            return
        row["transaction"] = carriage.tx.transaction_id
        if self._hangs_up_ms:
            self._time.after(self._hangs_up_ms, lambda: self._hang_up(carriage, host.incarnation))

    def give_up(self) -> None:
        """Record the call as lost, unless it has an outcome."""
        self._answered("lost", "may_have_run")

    def _hang_up(self, carriage: Any, incarnation: int) -> None:
        if (
            self._row["outcome"] == "none"
            and self._host.up
            and self._host.incarnation == incarnation
        ):
            self._answered("hung-up", "may_have_run")
            self._host.when_awake(carriage.gone, incarnation)

    def _delivered(self, event: bytes) -> None:
        self._row.setdefault("first_ms", self._time.now_ms)
        self._row["pieces"].append(flat_events(event.decode()))

    def _told(self, step: Step, answer: ServiceResponse) -> None:
        row = self._row
        if answer.refusal is not None:
            row["back_ms"] = answer.refusal.retry_after_ms
            self._answered("cut" if row["pieces"] else "error", answer.verdict, answer.code)
        elif answer.status != 200:
            self._answered("error", "ran", str(answer.status))
        else:
            body = flat_events(answer.body) if self._stream else flat_body(answer.body)
            if not self._stream and step.name == "finish":
                row["pieces"] = body.split("|")
            self._answered(step.name, "ran", "", body)

    def _answered(self, outcome: str, verdict: str, code: str = "", body: str = "") -> None:
        row = self._row
        if row["outcome"] != "none":
            return
        row.update(
            outcome=outcome, verdict=verdict, code=code, body=body, answered_ms=self._time.now_ms
        )
        if verdict == "may_have_run" and self._resend is not None:
            self._time.after(_RESEND_MS, self._resend)
        if self._done is not None:
            self._done(row)


def flat_events(text: str) -> str:
    """Return a stream's events as TRANSACTION:INDEX, joined by bars."""
    found = []
    for event in text.split("\n\n"):
        fields = dict(line.split(": ", 1) for line in event.splitlines())
        if "id" in fields:
            found.append(f"{json.loads(fields['data'])['id']}:{fields['id']}")
    return "|".join(found)


def flat_body(text: str) -> str:
    """Return a plain answer in the same form, an index for each word."""
    body = json.loads(text)
    return "|".join(
        f"{body['id']}:{place}" for place in range(len(body["choices"][0]["text"].split()))
    )
