"""Parses ids in the path of a request, and the bounds of a page in its query."""

import re

from aiohttp import web
from runtime import Refusal, refused

from data_plane.request_bodies import JOB_ID_PATTERN

__all__ = ["PageBounds", "read_id", "read_page_bounds"]

_DEFAULT_LIMIT = 1000
_WHOLE_NUMBER = re.compile(r"^\d{1,9}$")


class PageBounds:
    """The bounds of a page: at most `limit` results that start at index `from_index`."""

    __slots__ = ("from_index", "limit")

    def __init__(self, from_index: int, limit: int) -> None:
        self.from_index = from_index
        self.limit = limit


def read_id(request: web.Request, name: str) -> str | Refusal:
    """Return the path parameter `name`, such as lot_id, or a refusal if it is not a valid id."""
    value = request.match_info[name]
    if re.match(JOB_ID_PATTERN, value):
        return value
    return refused(
        "bad-field", f"{name}: letters, digits, dot, dash, underscore; at most 128", field=name
    )


def read_page_bounds(request: web.Request) -> PageBounds | Refusal:
    """Return the page that `from` and `limit` select, or a refusal.

    Other query parameters and values that are not numbers of at most nine digits are refused.
    """
    numbers = {"from": 0, "limit": _DEFAULT_LIMIT}
    for name, value in request.query.items():
        if name not in numbers or not _WHOLE_NUMBER.match(value):
            return refused("bad-field", f"{name}: a whole number from 0, or unknown", field=name)
        numbers[name] = int(value)
    return PageBounds(numbers["from"], numbers["limit"])
