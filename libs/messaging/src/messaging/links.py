"""Links between processes: TCP connections that carry framed envelopes.

Each address has one send queue and one outgoing connection. Messages on one connection arrive in
order; delivery is not guaranteed, so a sender that needs a reply has to repeat its request. The
owner is notified when an incoming connection ends and when an address refuses a connection.
"""

import asyncio
import socket
from collections.abc import Callable

from mode import Service
from runtime import log

from messaging.envelope import Envelope, pack_frame, take_frames
from messaging.message import BadMessageError, Message
from messaging.send_queue import SendQueue

__all__ = ["Deliver", "LinkTransport"]

Deliver = Callable[[str, int, int, Message], None]
"""Called with (sender, request_id, in_reply_to, message) for each received message."""

_READ_BYTES = 1 << 18
_LISTEN_BACKLOG = 512

# Multiples of `timeout_ms`.
_UNACKNOWLEDGED_FACTOR = 2
_CONNECT_FACTOR = 0.5
_RETRY_FACTOR = 0.1

# Errors that decoding a frame or a message may raise if the bytes are not valid.
_BAD_FRAME_ERRORS = (ValueError, EOFError, IndexError, KeyError, TypeError)


class _Connection:
    """One outgoing TCP connection."""

    __slots__ = ("_reader", "writer")

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self.writer = writer

    @property
    def is_open(self) -> bool:
        """Whether this side has not closed the connection, nor seen the other side close it."""
        return not self.writer.is_closing() and not self._reader.at_eof()


class LinkTransport(Service):
    """The service that owns all connections of a process.

    `on_refused` is called with an address that refused a connection; `on_closed` is called with the
    sender's address when an incoming connection ends.

    Parameters
    ----------
    address
        The process's own address, IP:PORT.
    timeout_ms
        The longest time that a message waits in its queue, and that an outgoing connection may go
        without progress; the other time-outs are multiples of it.
    deliver
        Called with each received message.
    """

    def __init__(self, address: str, timeout_ms: int, deliver: Deliver) -> None:
        super().__init__()
        self._address = address
        self._timeout_ms = timeout_ms
        self._deliver = deliver
        self._queues: dict[str, SendQueue] = {}
        self._server: asyncio.Server | None = None
        self._incoming: set[asyncio.StreamWriter] = set()
        self._last_packed: Message | None = None
        self._last_frame = b""
        self.on_refused: Callable[[str], None] = lambda address: None
        self.on_closed: Callable[[str], None] = lambda address: None

    async def on_start(self) -> None:
        """Listen on the process's own address."""
        host, port = _host_and_port(self._address)
        self._server = await asyncio.start_server(self._read, host, port, backlog=_LISTEN_BACKLOG)

    async def on_stop(self) -> None:
        """Close the listener and all incoming connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._incoming):
            writer.close()

    def send(self, to: str, request_id: int, in_reply_to: int, message: Message) -> None:
        """Queue a message for an address.

        Must be called on the event loop. A message to the process itself is delivered in the next
        iteration of the loop. Messages beyond the queue's limits are dropped.
        """
        loop = asyncio.get_running_loop()
        if to == self._address:
            loop.call_soon(self._deliver, to, request_id, in_reply_to, message)
            return
        queue = self._queues.get(to)
        if queue is None:
            queue = self._queues[to] = SendQueue()
            self.add_future(self._write(to, queue))
        queue.put(loop.time(), self._pack(request_id, in_reply_to, message))

    def _pack(self, request_id: int, in_reply_to: int, message: Message) -> bytes:
        """Return the frame of a message.

        A message without request numbers has the same frame for all addresses; if it is sent to
        several in succession it is encoded once.
        """
        if request_id or in_reply_to:
            return pack_frame(self._address, request_id, in_reply_to, message)
        if self._last_packed is not message:
            self._last_packed = message
            self._last_frame = pack_frame(self._address, 0, 0, message)
        return self._last_frame

    async def _write(self, to: str, queue: SendQueue) -> None:
        """Send the queued messages of one address, all waiting ones in one write.

        If connecting or writing fails, all messages not yet sent are dropped, including those
        queued meanwhile, and the next attempt is delayed.
        """
        connection: _Connection | None = None
        loop, timeout_s = asyncio.get_running_loop(), self._timeout_ms / 1000
        while not self.should_stop:
            await queue.wait_for_frames()
            try:
                if connection is None or not connection.is_open:
                    if connection is not None:
                        connection.writer.close()
                    connection = await self._connect(to)
                connection.writer.write(queue.take(loop.time() - timeout_s))
                await self._drain(connection.writer)
            except (TimeoutError, OSError) as error:
                if isinstance(error, ConnectionRefusedError):
                    self.on_refused(to)
                if connection is not None:
                    connection.writer.transport.abort()
                connection = None
                queue.take(loop.time())
                await asyncio.sleep(timeout_s * _RETRY_FACTOR)

    async def _drain(self, writer: asyncio.StreamWriter) -> None:
        """Wait for the write buffer to drain, however long that takes while bytes are being sent.

        Raises TimeoutError if no bytes were sent within `timeout_ms`.
        """
        unsent_bytes = writer.transport.get_write_buffer_size()
        while unsent_bytes:
            try:
                await asyncio.wait_for(writer.drain(), self._timeout_ms / 1000)
                return
            except TimeoutError:
                unsent_before_bytes = unsent_bytes
                unsent_bytes = writer.transport.get_write_buffer_size()
                if unsent_bytes >= unsent_before_bytes:
                    raise

    async def _connect(self, to: str) -> _Connection:
        host, port = _host_and_port(to)
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, port), self._timeout_ms * _CONNECT_FACTOR / 1000
        )
        _set_socket_options(
            writer.get_extra_info("socket"), self._timeout_ms * _UNACKNOWLEDGED_FACTOR
        )
        return _Connection(reader, writer)

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Deliver the messages of one incoming connection; close it on invalid frames."""
        self._incoming.add(writer)
        sender, received = "", bytearray()
        try:
            while chunk := await reader.read(_READ_BYTES):
                received += chunk
                for frame in take_frames(received):
                    envelope = Envelope(frame)
                    sender = envelope.sender
                    await self._receive(envelope, envelope.message())
        except OSError:
            pass
        except _BAD_FRAME_ERRORS as error:
            log("link-refused", "WARNING", reason=repr(error))
        finally:
            self._incoming.discard(writer)
            writer.close()
            if sender and not self.should_stop:
                self.on_closed(sender)

    async def _receive(self, envelope: Envelope, message: Message) -> None:
        """Deliver a message; an error other than BadMessageError crashes the service.

        Such an error may have left the node's state inconsistent.
        """
        try:
            self._deliver(envelope.sender, envelope.request_id, envelope.in_reply_to, message)
        except BadMessageError:
            raise
        except Exception as error:
            log("receive-failed", "ERROR", message=type(message).__name__, reason=repr(error))
            await self.crash(error)


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def _set_socket_options(sock: socket.socket, unacknowledged_ms: int) -> None:
    """Disable Nagle's algorithm, and limit how long sent data may stay unacknowledged.

    The kernel then ends the connection; its default limit is many minutes.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms)
