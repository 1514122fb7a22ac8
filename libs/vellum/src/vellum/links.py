"""Links between processes: TCP by IP number, frames of a length and an Avro envelope. The
switchboard's tasks own the sockets; one queue and one connection for each address spoken to. It
promises nothing but order on one connection: what is lost is asked again by those who need it. It says whose
connection has ended and where nothing listens."""

import asyncio
import io
import struct
from collections.abc import Callable
from typing import Any

from fastavro import parse_schema, schemaless_reader, schemaless_writer
from mode import Service

from colophon import log
from vellum.message import BadMessage, Message, decode, encode

__all__ = ["Switchboard"]

_ENVELOPE = parse_schema({"type": "record", "name": "Envelope", "fields": [
    {"name": "sender", "type": "string"}, {"name": "ref", "type": "long"},
    {"name": "re", "type": "long"}, {"name": "body", "type": "bytes"}]})
_LENGTH = struct.Struct(">I")
_FRAME_BYTES = 1 << 26
_QUEUE_LENGTH = 4096


def _pack(sender: str, ref: int, re: int, message: Message) -> bytes:
    page = io.BytesIO()
    schemaless_writer(page, _ENVELOPE, {"sender": sender, "ref": ref, "re": re, "body": encode(message)})
    data = page.getvalue()
    return _LENGTH.pack(len(data)) + data


class Switchboard(Service):
    def __init__(self, address: str, wait_ms: int, deliver: Callable[[str, int, int, Message], None]) -> None:
        super().__init__()
        self._address = address
        self._wait_ms = wait_ms
        self._deliver = deliver
        self._queues: dict[str, asyncio.Queue] = {}
        self._server: asyncio.Server | None = None
        self._readers: set[asyncio.StreamWriter] = set()
        self.on_refused: Callable[[str], None] = lambda address: None
        self.on_closed: Callable[[str], None] = lambda address: None

    async def on_start(self) -> None:
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.start_server(self._read, host.strip("[]"), int(port))

    async def on_stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._readers):
            writer.close()

    def post(self, to: str, ref: int, re: int, message: Message) -> None:
        if to == self._address:
            asyncio.get_running_loop().call_soon(self._deliver, to, ref, re, message)
            return
        queue = self._queues.get(to)
        if queue is None:
            queue = self._queues[to] = asyncio.Queue(_QUEUE_LENGTH)
            self.add_future(self._write(to, queue))
        if not queue.full():
            queue.put_nowait((asyncio.get_running_loop().time(), _pack(self._address, ref, re, message)))

    async def _write(self, to: str, queue: asyncio.Queue) -> None:
        host, _, port = to.rpartition(":")
        reader: asyncio.StreamReader | None = None
        writer: asyncio.StreamWriter | None = None
        while not self.should_stop:
            put_at, frame = await queue.get()
            if asyncio.get_running_loop().time() - put_at > self._wait_ms / 1000:
                continue
            try:
                if reader is None or writer is None or writer.is_closing() or reader.at_eof():
                    reader, writer = await asyncio.wait_for(
                        asyncio.open_connection(host.strip("[]"), int(port)), self._wait_ms / 1000)
                writer.write(frame)
                await asyncio.wait_for(writer.drain(), self._wait_ms / 1000)
            except (OSError, asyncio.TimeoutError) as error:
                if isinstance(error, ConnectionRefusedError):
                    self.on_refused(to)
                if writer is not None:
                    writer.transport.abort()
                writer = None
                while not queue.empty():
                    queue.get_nowait()

    async def _hand_on(self, envelope: Any, message: Message) -> None:
        """A fault while a message is taken in may leave the node's state in between: the process ends."""
        try:
            self._deliver(envelope["sender"], envelope["ref"], envelope["re"], message)
        except BadMessage:
            raise
        except Exception as error:
            log("receive-failed", "ERROR", message=type(message).__name__, reason=repr(error))
            await self.crash(error)

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._readers.add(writer)
        sender = ""
        try:
            while True:
                (size,) = _LENGTH.unpack(await reader.readexactly(4))
                if size > _FRAME_BYTES:
                    raise ValueError(f"a frame of {size} bytes")
                envelope = schemaless_reader(io.BytesIO(await reader.readexactly(size)), _ENVELOPE, None)
                sender = envelope["sender"]
                await self._hand_on(envelope, decode(envelope["body"]))
        except (asyncio.IncompleteReadError, OSError):
            pass
        except (ValueError, EOFError, IndexError, KeyError, TypeError) as error:
            log("link-refused", "WARNING", reason=repr(error))
        finally:
            self._readers.discard(writer)
            writer.close()
            if sender and not self.should_stop:
                self.on_closed(sender)
