"""What the API modules read from a request's path and query: ids, and the bounds of a page."""

import re

from aiohttp import web
from runtime import Refusal, refused

from data_plane.request_bodies import JOB_ID_PATTERN

__all__ = ["PageBounds", "read_id", "read_page_bounds"]

_DEFAULT_LIMIT = 1000
_WHOLE_NUMBER = re.compile(r"^\d{1,9}$")


class PageBounds:
    """A page of at most `limit` results, from index `from_index` on."""

    __slots__ = ("from_index", "limit")

    def __init__(self, from_index: int, limit: int) -> None:
        self.from_index = from_index
        self.limit = limit


def read_id(request: web.Request, name: str) -> str | Refusal:
    """Return the id that the path has under `name`, such as lot_id, or why it can't be one."""
    value = request.match_info[name]
    if re.match(JOB_ID_PATTERN, value):
        return value
    return refused(
        "bad-field", f"{name}: letters, digits, dot, dash, underscore; at most 128", field=name
    )


def read_page_bounds(request: web.Request) -> PageBounds | Refusal:
    """Return the bounds that the query's `from` and `limit` name, or what is wrong with them."""
    numbers = {"from": 0, "limit": _DEFAULT_LIMIT}
    for name, value in request.query.items():
        if name not in numbers or not _WHOLE_NUMBER.match(value):
            return refused("bad-field", f"{name}: a whole number from 0, or unknown", field=name)
        numbers[name] = int(value)
    return PageBounds(numbers["from"], numbers["limit"])
