"""A live call of a simulated client at one edge, and the form of responses in the history."""

import json
from collections.abc import Callable
from typing import Any

from data_plane.responses import ServiceResponse
from request_routing import Step

from simulator.history import Row

__all__ = ["LiveCall", "flat_body", "flat_events"]

_STREAMED = ("rulings", "narrations")
_RESEND_MS = 200


class LiveCall:
    """A call from its start to its outcome.

    Parameters
    ----------
    time
        The virtual clock.
    host
        The edge's host.
    row
        The call's row in the history, into which events and the outcome are written.
    resend
        Sends the call again through another edge; called if the call may have run.
    done
        Receives the row once it has an outcome.
    disconnect_after_ms
        Time from the start after which the client disconnects; 0 means never.
    """

    __slots__ = ("_disconnect_after_ms", "_done", "_host", "_resend", "_row", "_stream", "_time")

    def __init__(
        self,
        time: Any,
        host: Any,
        row: Row,
        resend: Callable[[], None] | None,
        done: Callable[[Row], None] | None,
        disconnect_after_ms: float,
    ) -> None:
        self._time, self._host, self._row = time, host, row
        self._resend, self._done, self._disconnect_after_ms = resend, done, disconnect_after_ms
        self._stream = row["path"] in _STREAMED

    def begin(self) -> None:
        """Pass the call to the edge's service."""
        row, host = self._row, self._host
        key = row["key"]
        prompt = f"key {key} asked {row['question']}" if key else f"call {row['call']}"
        begun = host.node.edge_service.complete(
            row["path"],
            key,
            {"prompt": prompt},
            self._stream,
            self._receive_event,
            self._receive_response,
        )
        if isinstance(begun, ServiceResponse):
            self._conclude("error", begun.verdict, begun.code)
            return
        row["transaction"] = begun.lifecycle.edge_request_id
        if self._disconnect_after_ms:
            self._time.after(
                self._disconnect_after_ms, lambda: self._disconnect(begun, host.incarnation)
            )

    def give_up(self) -> None:
        """Record the call as lost, unless it has an outcome already."""
        self._conclude("lost", "may_have_run")

    def _disconnect(self, request: Any, incarnation: int) -> None:
        host = self._host
        if self._row["outcome"] == "none" and host.up and host.incarnation == incarnation:
            self._conclude("hung-up", "may_have_run")
            host.when_awake(request.disconnect, incarnation)

    def _receive_event(self, event: bytes) -> None:
        self._row.setdefault("first_ms", self._time.now_ms)
        self._row["events"].append(flat_events(event.decode()))

    def _receive_response(self, step: Step, answer: ServiceResponse[None]) -> None:
        row = self._row
        if answer.refusal is not None:
            row["back_ms"] = answer.refusal.retry_after_ms
            self._conclude("cut" if row["events"] else "error", answer.verdict, answer.code)
        elif answer.status != 200:
            self._conclude("error", "ran", str(answer.status))
        else:
            body = flat_events(answer.body) if self._stream else flat_body(answer.body)
            if not self._stream and step.kind == "finish":
                row["events"] = body.split("|")
            self._conclude(step.kind, "ran", "", body)

    def _conclude(self, outcome: str, verdict: str, code: str = "", body: str = "") -> None:
        """Record the first outcome; later ones are ignored. Resend the call if it may have run."""
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
    """Return the events of a stream as TRANSACTION:INDEX, separated by vertical bars."""
    found = []
    for event in text.split("\n\n"):
        fields = dict(line.split(": ", 1) for line in event.splitlines())
        if "id" in fields:
            found.append(f"{json.loads(fields['data'])['id']}:{fields['id']}")
    return "|".join(found)


def flat_body(text: str) -> str:
    """Return a response that is not streamed in the form of `flat_events`, a word as an event."""
    body = json.loads(text)
    words = body["choices"][0]["text"].split()
    return "|".join(f"{body['id']}:{index}" for index in range(len(words)))
