"""Data from the head of a worker's response: the head for the client, and the worker's load."""

from typing import NamedTuple

__all__ = ["ResponseHead", "WorkerLoad"]


class ResponseHead(NamedTuple):
    """The head of a forwarded response, as it is sent to the client.

    `headers` has only end-to-end headers; `length_bytes` is None if the length is unknown.
    """

    status: int
    headers: list[tuple[str, str]]
    length_bytes: int | None


class WorkerLoad(NamedTuple):
    """The load that a worker reports: its running and queued requests, and its slots."""

    running: int
    waiting: int
    slots: int
