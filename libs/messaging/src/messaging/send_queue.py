"""Frames that wait to be written to one address, limited by count, by size and by age."""

import asyncio
from collections import deque

__all__ = ["SendQueue"]

_MAX_FRAMES = 4096
_MAX_BYTES = 1 << 25


class _QueuedFrame:
    """A frame and the time at which it was queued, in seconds of the event loop's clock."""

    __slots__ = ("data", "queued_s")

    def __init__(self, queued_s: float, data: bytes) -> None:
        self.queued_s = queued_s
        self.data = data


class SendQueue:
    """The queue of one address; times are seconds of the event loop's clock.

    A frame beyond the limits is dropped, except that an empty queue takes one of any size.
    """

    __slots__ = ("_frames", "_has_frames", "_size_bytes")

    def __init__(self) -> None:
        self._frames: deque[_QueuedFrame] = deque()
        self._size_bytes = 0
        self._has_frames = asyncio.Event()

    def put(self, now_s: float, frame: bytes) -> None:
        """Queue a frame, or drop it if the queue is full."""
        if len(self._frames) < _MAX_FRAMES and (
            self._size_bytes + len(frame) <= _MAX_BYTES or not self._frames
        ):
            self._frames.append(_QueuedFrame(now_s, frame))
            self._size_bytes += len(frame)
            self._has_frames.set()

    async def wait_for_frames(self) -> None:
        """Return once a frame is queued."""
        await self._has_frames.wait()

    def take(self, since_s: float) -> bytes:
        """Empty the queue; return the frames queued since a time, joined, and drop older ones."""
        data = b"".join(frame.data for frame in self._frames if frame.queued_s >= since_s)
        self._frames.clear()
        self._size_bytes = 0
        self._has_frames.clear()
        return data
