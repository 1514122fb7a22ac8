"""Links between processes: TCP connections that carry length-prefixed Avro envelopes.

There is one queue and one outgoing connection for each address. Only the order of messages on one
connection is guaranteed; whoever needs a lost message repeats the request. Ended connections and
addresses where nothing listens are reported to the owner.
"""

import asyncio
import io
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Any

from fastavro import parse_schema, schemaless_reader, schemaless_writer
from mode import Service
from runtime import log

from messaging.message import BadMessageError, Message, decode, encode

__all__ = ["LinkTransport"]

_ENVELOPE = parse_schema(
    {
        "type": "record",
        "name": "Envelope",
        "fields": [
            {"name": "sender", "type": "string"},
            {"name": "ref", "type": "long"},
            {"name": "re", "type": "long"},
            {"name": "body", "type": "bytes"},
        ],
    }
)
_LENGTH = struct.Struct(">I")
_FRAME_BYTES = 1 << 26
_QUEUE_LENGTH = 4096
_QUEUE_BYTES = 1 << 25
_CHUNK_BYTES = 1 << 18
_BACKLOG = 512
_DARK_FACTOR = 2
_CONNECT_SHARE = 0.5
_PAUSE_SHARE = 0.1


def _pack(sender: str, request_id: int, in_reply_to: int, message: Message) -> bytes:
    page = io.BytesIO()
    schemaless_writer(
        page,
        _ENVELOPE,
        {"sender": sender, "ref": request_id, "re": in_reply_to, "body": encode(message)},
    )
    data = page.getvalue()
    return _LENGTH.pack(len(data)) + data


def _tuned(sock: socket.socket, dark_ms: int) -> None:
    """Set the socket's options; unacknowledged data breaks the connection after `dark_ms`.

    The kernel's own limit would be many minutes.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, dark_ms)


class _Queue:
    """Messages waiting for one address, limited by count, by size and, when taken, by age."""

    __slots__ = ("_bytes", "_filled", "_rows")

    def __init__(self) -> None:
        self._rows: deque[tuple[float, bytes]] = deque()
        self._bytes = 0
        self._filled = asyncio.Event()

    def put(self, at: float, frame: bytes) -> None:
        if len(self._rows) < _QUEUE_LENGTH and (
            self._bytes + len(frame) <= _QUEUE_BYTES or not self._rows
        ):
            self._rows.append((at, frame))
            self._bytes += len(frame)
            self._filled.set()

    async def filled(self) -> None:
        await self._filled.wait()

    def take(self, since: float) -> bytes:
        """Return all frames put since a time as one piece and drop the older ones."""
        data = b"".join(frame for at, frame in self._rows if at >= since)
        self._rows.clear()
        self._bytes = 0
        self._filled.clear()
        return data


class LinkTransport(Service):
    """The service that owns all connections of a process.

    `address` is IP:PORT, `wait_ms` the longest that a message waits or a connection may stall.
    `deliver` gets (sender, ref, re, message) of each message. `on_closed` and `on_refused` get an
    address.
    """

    def __init__(
        self, address: str, wait_ms: int, deliver: Callable[[str, int, int, Message], None]
    ) -> None:
        super().__init__()
        self._address = address
        self._wait_ms = wait_ms
        self._deliver = deliver
        self._queues: dict[str, _Queue] = {}
        self._server: asyncio.Server | None = None
        self._readers: set[asyncio.StreamWriter] = set()
        self._packed: tuple[Message | None, bytes] = (None, b"")
        self.on_refused: Callable[[str], None] = lambda address: None
        self.on_closed: Callable[[str], None] = lambda address: None

    async def on_start(self) -> None:
        """Listen at the own address."""
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.start_server(
            self._read, host.strip("[]"), int(port), backlog=_BACKLOG
        )

    async def on_stop(self) -> None:
        """Close the listener and all incoming connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._readers):
            writer.close()

    def send(self, to: str, request_id: int, in_reply_to: int, message: Message) -> None:
        """Queue a message for an address; one to the own address is delivered in the next turn.

        Must be called on the event loop. Messages beyond the queue's limits are dropped.
        """
        loop = asyncio.get_running_loop()
        if to == self._address:
            loop.call_soon(self._deliver, to, request_id, in_reply_to, message)
            return
        queue = self._queues.get(to)
        if queue is None:
            queue = self._queues[to] = _Queue()
            self.add_future(self._write(to, queue))
        queue.put(loop.time(), self._pack(request_id, in_reply_to, message))

    def _pack(self, request_id: int, in_reply_to: int, message: Message) -> bytes:
        """Encode a message; one sent to many addresses in turn is encoded once."""
        if request_id or in_reply_to:
            return _pack(self._address, request_id, in_reply_to, message)
        if self._packed[0] is not message:
            self._packed = (message, _pack(self._address, 0, 0, message))
        return self._packed[1]

    async def _write(self, to: str, queue: _Queue) -> None:
        """Send the queue of one address, all that waits in one write.

        A connection that fails loses what was queued meanwhile.
        """
        reader: asyncio.StreamReader | None = None
        writer: asyncio.StreamWriter | None = None
        loop, wait = asyncio.get_running_loop(), self._wait_ms / 1000
        while not self.should_stop:
            await queue.filled()
            try:
                if reader is None or writer is None or writer.is_closing() or reader.at_eof():
                    if writer is not None:
                        writer.close()
                    reader, writer = await self._connect(to)
                writer.write(queue.take(loop.time() - wait))
                await self._drained(writer)
            except (TimeoutError, OSError) as error:
                if isinstance(error, ConnectionRefusedError):
                    self.on_refused(to)
                if writer is not None:
                    writer.transport.abort()
                reader = writer = None
                queue.take(loop.time())
                await asyncio.sleep(wait * _PAUSE_SHARE)

    async def _drained(self, writer: asyncio.StreamWriter) -> None:
        """Wait until the data is sent; a slow link may take long, as long as it makes progress."""
        left = writer.transport.get_write_buffer_size()
        while left:
            try:
                await asyncio.wait_for(writer.drain(), self._wait_ms / 1000)
                return
            except TimeoutError:
                before, left = left, writer.transport.get_write_buffer_size()
                if left >= before:
                    raise

    async def _connect(self, to: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = to.rpartition(":")
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host.strip("[]"), int(port)),
            self._wait_ms * _CONNECT_SHARE / 1000,
        )
        _tuned(writer.get_extra_info("socket"), self._wait_ms * _DARK_FACTOR)
        return reader, writer

    async def _hand_on(self, envelope: Any, message: Message) -> None:
        """Deliver a message; any error but a bad message ends the process.

        The error may have left the node's state inconsistent.
        """
        try:
            self._deliver(envelope["sender"], envelope["ref"], envelope["re"], message)
        except BadMessageError:
            raise
        except Exception as error:
            log("receive-failed", "ERROR", message=type(message).__name__, reason=repr(error))
            await self.crash(error)

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._readers.add(writer)
        sender, held = "", bytearray()
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                held += chunk
                for frame in _frames(held):
                    envelope = schemaless_reader(io.BytesIO(frame), _ENVELOPE, None)
                    sender = envelope["sender"]
                    await self._hand_on(envelope, decode(envelope["body"]))
        except OSError:
            pass
        except (ValueError, EOFError, IndexError, KeyError, TypeError) as error:
            log("link-refused", "WARNING", reason=repr(error))
        finally:
            self._readers.discard(writer)
            writer.close()
            if sender and not self.should_stop:
                self.on_closed(sender)


def _frames(held: bytearray) -> list[bytes]:
    """Remove the complete frames from the front of the buffer and return them."""
    frames, start = [], 0
    while len(held) - start >= _LENGTH.size:
        (size,) = _LENGTH.unpack_from(held, start)
        if size > _FRAME_BYTES:
            raise ValueError(f"a frame of {size} bytes")
        end = start + _LENGTH.size + size
        if end > len(held):
            break
        frames.append(bytes(held[start + _LENGTH.size : end]))
        start = end
    del held[:start]
    return frames
