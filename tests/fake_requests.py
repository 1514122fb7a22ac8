"""A client's request as a handler sees it, without a connection; its body has arrived."""

import asyncio

from aiohttp import HttpVersion11, StreamReader
from data_plane.body_reader import BodyReader
from data_plane.http_service import BODY_READER
from multidict import CIMultiDict
from runtime import MemoryBudget

BODY_BYTES = 1 << 22


class _Protocol:
    """Stands for the connection, whose reading is never paused."""

    def pause_reading(self):
        pass

    def resume_reading(self, resume_parser=True):
        pass


class FakeRequest(dict):
    """A request whose `content` holds its body; made within the event loop."""

    version = HttpVersion11
    transport = None
    content_type = "application/json"
    client_max_size = BODY_BYTES

    def __init__(self, method="GET", path="/", headers=(), query=None, body=b""):
        super().__init__()
        self.method, self.path, self.query = method, path, query or {}
        self.headers = CIMultiDict(headers)
        self.content_length = len(body)
        self.content = StreamReader(_Protocol(), 1 << 16, loop=asyncio.get_running_loop())
        self.content.feed_data(body)
        self.content.feed_eof()
        self.app = {BODY_READER: BodyReader(MemoryBudget(1 << 28), 500)}
