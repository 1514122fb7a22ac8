"""Headers of forwarded requests: the names that workers use, and which ones are end-to-end."""

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
_SET_PER_CONNECTION = frozenset({"host", "content-length"})


class WorkerHeaderNames:
    """The header names of one kind of worker; an empty name means that it has no such header.

    Parameters
    ----------
    request_id
        Id of the request, which the worker repeats in its response.
    worker
        To the worker: identity of the worker that the request is meant for.
    signature
        From the worker: present in its successful responses; nothing but the worker itself adds it.
    not_run
        From the worker: present in an error response if the request has not run.
    load
        From the worker: its load as `running,waiting,slots`.
    deadline_ms
        To the worker: milliseconds left until the deadline.
    urgency
        To the worker: priority of the request.
    answered_by
        From the worker: identity of the worker that responded.
    last_event_id
        To the worker: id of the event after which the stream has to resume.
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
    """Return the headers without hop-by-hop ones, `Host` and `Content-Length`.

    Those two are set anew for each connection.
    """
    rows = list(headers)
    named = {
        token.strip().lower()
        for name, value in rows
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = _HOP_BY_HOP | _SET_PER_CONNECTION | named
    return [
        (name, value)
        for name, value in rows
        if (lower_name := name.lower()) not in dropped and not lower_name.startswith("proxy-")
    ]
