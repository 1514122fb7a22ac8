"""The headers of forwarded requests: the workers' own names, and which headers are end-to-end."""

from collections.abc import Iterable

__all__ = ["WorkerHeaderNames", "end_to_end"]

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "proxy-connection",
    }
)
_OWN_FRAMING = frozenset({"host", "content-length"})


class WorkerHeaderNames:
    """The header names of one kind of worker; an empty name means that it has no such header.

    To the worker: `request_id`, `worker` (the identity it is meant for), `deadline_ms` (the time
    left), `urgency` and `last_event_id`. From it: `request_id`, `signature` (which only the worker
    itself adds to a success), `not_run`, `load` and `answered_by`.
    """

    __slots__ = (
        "answered_by",
        "deadline_ms",
        "last_event_id",
        "load",
        "not_run",
        "request_id",
        "signature",
        "urgency",
        "worker",
    )

    def __init__(
        self,
        request_id: str,
        worker: str,
        signature: str,
        not_run: str,
        load: str,
        deadline_ms: str,
        urgency: str,
        answered_by: str = "",
        last_event_id: str = "Last-Event-Id",
    ) -> None:
        self.request_id = request_id
        self.worker = worker
        self.signature = signature
        self.not_run = not_run
        self.load = load
        self.deadline_ms = deadline_ms
        self.urgency = urgency
        self.answered_by = answered_by
        self.last_event_id = last_event_id


def end_to_end(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers without the hop-by-hop ones and without the framing.

    The framing is left out because each connection makes its own.
    """
    rows = list(headers)
    named = {
        token.strip().lower()
        for name, value in rows
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = _HOP_BY_HOP | _OWN_FRAMING | named
    return [
        (name, value)
        for name, value in rows
        if (lower_name := name.lower()) not in dropped and not lower_name.startswith("proxy-")
    ]
