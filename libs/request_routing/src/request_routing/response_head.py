"""What the head of a worker's answer says: the head for the client, and the worker's load."""

from typing import NamedTuple

__all__ = ["ResponseHead", "WorkerLoad"]


class ResponseHead(NamedTuple):
    """The head of a forwarded answer, as the client is given it.

    `headers` are the end-to-end ones; `length_bytes` is None if the length is not known.
    """

    status: int
    headers: list[tuple[str, str]]
    length_bytes: int | None


class WorkerLoad(NamedTuple):
    """The load that a worker reports: requests that run and that wait, and its slots."""

    running: int
    waiting: int
    slots: int
