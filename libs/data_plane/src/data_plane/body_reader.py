"""Reads the bodies of clients' requests, within the memory that the process lends to them.

The bytes that a request needs are drawn from the process's `MemoryBudget` before its body is read.
A request for which there are none waits for a moment, unread, and is then refused as not run. A
body has to arrive in the time that its client gives the request; while others wait for memory, one
that arrives too slowly is given up. The rest of a refused request's body is discarded, so that the
client can read the response. Bodies in very small chunks take turns.
"""

import asyncio
import contextlib

from aiohttp import HttpVersion11, StreamReader, web
from runtime import MemoryBudget, MemoryHolding, Refusal, refused

__all__ = [
    "RECORDED_BODY_KEY",
    "BodyReader",
    "MemoryNeed",
    "holding_of",
    "release_memory",
]

RECORDED_BODY_KEY = web.RequestKey("recorded_body", bytes)
"""The item of a request under which its body is found once it was read, until the request ends."""

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_HOLDING_KEY = web.RequestKey("memory_holding", MemoryHolding)

# Steps in which the holding of a body of unknown length grows.
_MIN_GROWTH_BYTES = 1 << 16
# While others wait for memory, a body has to arrive at this rate.
_MIN_BYTES_PER_S = 1 << 16
# A body that comes in pieces below this size costs much time for each byte.
_SMALL_PIECE_BYTES = 1 << 11
_SMALL_PIECES = 8
# The time that the event loop has for everything else between two turns.
_TURN_GAP_S = 0.005


def holding_of(request: web.BaseRequest, budget: MemoryBudget) -> MemoryHolding:
    """Return what a request holds of the budget; nothing at first."""
    holding: MemoryHolding | None = request.get(_HOLDING_KEY)
    if holding is None:
        holding = request[_HOLDING_KEY] = budget.holding()
    return holding


def release_memory(request: web.BaseRequest) -> None:
    """Give back what a request holds, after its response was written."""
    request.pop(RECORDED_BODY_KEY, None)
    holding: MemoryHolding | None = request.get(_HOLDING_KEY)
    if holding is not None:
        holding.release()


class MemoryNeed:
    """How much memory a request needs: a fixed part, and so much for each byte of its body."""

    __slots__ = ("bytes_per_byte", "fixed_bytes")

    def __init__(self, bytes_per_byte: int, fixed_bytes: int = 0) -> None:
        self.bytes_per_byte = bytes_per_byte
        self.fixed_bytes = fixed_bytes

    def size_bytes(self, body_bytes: int) -> int:
        """Return the memory for a body of this size, in bytes."""
        return self.fixed_bytes + self.bytes_per_byte * body_bytes


class BodyReader:
    """Reads and discards the bodies of the requests of one HTTP server.

    Parameters
    ----------
    budget
        The memory of the process for requests.
    wait_ms
        How long a request waits for memory, in milliseconds; also when a refused one may come back.
    sends_continue
        Whether a client that waits for 100 Continue is told here to send its body.
    """

    __slots__ = ("_end_s", "_sends_continue", "_turn", "_wait_ms", "budget")

    def __init__(self, budget: MemoryBudget, wait_ms: int, sends_continue: bool = False) -> None:
        self.budget = budget
        self._wait_ms = wait_ms
        self._sends_continue = sends_continue
        self._end_s: float | None = None
        self._turn = asyncio.Lock()

    def limit_deadlines(self, end_s: float) -> None:
        """Give up all bodies, later ones too, that have not arrived by `end_s`.

        That is a time of the event loop's clock; until then a body's own time applies.
        """
        self._end_s = end_s

    def _piece_wait_s(self) -> float:
        """Return how long to wait for the next piece of a body before its arrival is judged."""
        wait_s = self._wait_ms / 1000
        if self._end_s is None:
            return wait_s
        return max(0.0, min(wait_s, self._end_s - asyncio.get_running_loop().time()))

    def _has_ended(self) -> bool:
        return self._end_s is not None and asyncio.get_running_loop().time() >= self._end_s

    async def hold(self, holding: MemoryHolding, size_bytes: int) -> Refusal | None:
        """Hold `size_bytes` as soon as they can be had; return the refusal if that takes too long.

        A size that can't ever be had is refused as too large.
        """
        if holding.try_resize(size_bytes):
            return None
        if not self.budget.can_ever_hold(size_bytes):
            return refused("too-large", "the request needs more memory than there is", 413)
        granted = asyncio.get_running_loop().create_future()
        stop_waiting = holding.wait(
            size_bytes, lambda: None if granted.done() else granted.set_result(None)
        )
        if stop_waiting is None:
            return self.memory_refusal()
        try:
            async with asyncio.timeout(self._wait_ms / 1000):
                await granted
        except TimeoutError:
            return self.memory_refusal()
        finally:
            stop_waiting()
        return None

    def memory_refusal(self) -> Refusal:
        """Return the refusal of a request for which there is no memory now, and count it."""
        self.budget.refused_count += 1
        return refused(
            "memory-full", "this node has no memory for the request now", 503, self._wait_ms
        )

    async def read(
        self,
        request: web.BaseRequest,
        need: MemoryNeed,
        limit_bytes: int,
        within_ms: int,
    ) -> bytes | Refusal:
        """Return the body of a request, or why it is refused.

        Parameters
        ----------
        request
            The request; its server releases the memory that it holds when it has ended.
        need
            How much memory the request needs.
        limit_bytes
            The size of the largest body.
        within_ms
            The time in which the body has to arrive, in milliseconds from now.
        """
        length = request.content_length or 0
        if length > limit_bytes:
            return _too_large(limit_bytes)
        holding = holding_of(request, self.budget)
        refusal = await self.hold(holding, need.size_bytes(length))
        if refusal is not None:
            return refusal
        if self._sends_continue and expects_continue(request) and request.transport is not None:
            request.transport.write(_CONTINUE)
        try:
            async with asyncio.timeout(within_ms / 1000):
                return await self._read_pieces(request.content, holding, need, limit_bytes)
        except TimeoutError:
            return _late_body()

    async def _read_pieces(
        self, content: StreamReader, holding: MemoryHolding, need: MemoryNeed, limit_bytes: int
    ) -> bytes | Refusal:
        pieces: list[bytes] = []
        size_bytes = 0
        arrival = _Arrival()
        while not content.at_eof():
            piece = await self._read_piece(content, arrival)
            if piece is None:
                return _late_body()
            pieces.append(piece)
            size_bytes += len(piece)
            if size_bytes > limit_bytes:
                return _too_large(limit_bytes)
            needed_bytes = need.size_bytes(size_bytes)
            if needed_bytes > holding.size_bytes:
                grown_bytes = needed_bytes + max(_MIN_GROWTH_BYTES, needed_bytes // 2)
                most_bytes = max(needed_bytes, need.size_bytes(limit_bytes))
                refusal = await self.hold(holding, min(grown_bytes, most_bytes))
                if refusal is not None:
                    return refusal
        return b"".join(pieces)

    async def _read_piece(self, content: StreamReader, arrival: "_Arrival") -> bytes | None:
        """Return what has arrived, or None if it arrives too slowly while others wait."""
        if content.is_eof():
            return content.read_nowait()
        if arrival.in_small_pieces:
            await self._take_turn()
        piece = b""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._piece_wait_s()):
                piece = await content.readany()
        arrival.add(len(piece))
        if self._has_ended() and not content.is_eof():
            return None
        if self.budget.is_contended and arrival.is_slow(self._wait_ms / 1000):
            return None
        return piece

    async def _take_turn(self) -> None:
        async with self._turn:
            await asyncio.sleep(_TURN_GAP_S)

    async def discard(self, request: web.BaseRequest, within_s: float) -> None:
        """Read the rest of a request's body and drop it, for at most `within_s` seconds.

        A client that waits for 100 Continue in vain sends no body.
        """
        if request.content.is_eof() or expects_continue(request):
            return
        arrival = _Arrival()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                while not request.content.at_eof():
                    if arrival.in_small_pieces:
                        await self._take_turn()
                    arrival.add(len(await request.content.readany()))


class _Arrival:
    """How the body of one request arrives: its pieces, and its rate in the present interval."""

    __slots__ = ("_since_s", "_size_bytes", "_small_pieces")

    def __init__(self) -> None:
        self._since_s = asyncio.get_running_loop().time()
        self._size_bytes = 0
        self._small_pieces = 0

    @property
    def in_small_pieces(self) -> bool:
        """Whether many pieces in a row were small."""
        return self._small_pieces >= _SMALL_PIECES

    def add(self, size_bytes: int) -> None:
        """Count a piece."""
        self._size_bytes += size_bytes
        small = 0 < size_bytes < _SMALL_PIECE_BYTES
        self._small_pieces = self._small_pieces + 1 if small else 0

    def is_slow(self, interval_s: float) -> bool:
        """Whether less than the least rate arrived in the last interval; begin a new one then."""
        now_s = asyncio.get_running_loop().time()
        passed_s = now_s - self._since_s
        if passed_s < interval_s:
            return False
        slow = self._size_bytes < _MIN_BYTES_PER_S * passed_s
        self._since_s, self._size_bytes = now_s, 0
        return slow


def expects_continue(request: web.BaseRequest) -> bool:
    """Whether the client waits for 100 Continue; HTTP/1.0 has no interim responses."""
    expects = request.headers.get("Expect", "").lower() == "100-continue"
    return expects and request.version >= HttpVersion11


def _late_body() -> Refusal:
    return refused("body-late", "the body did not arrive in time", 408)


def _too_large(limit_bytes: int) -> Refusal:
    return refused("too-large", f"the body is larger than {limit_bytes} bytes", 413, field="body")
