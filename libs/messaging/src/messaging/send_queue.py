"""The queue of frames to be sent to one address, limited in count, size and age."""

import asyncio
from collections import deque

__all__ = ["SendQueue"]

_MAX_FRAMES = 4096
_MAX_BYTES = 1 << 25


class _QueuedFrame:
    """A frame and the time of the event loop's clock at which it was queued, in seconds."""

    __slots__ = ("data", "queued_s")

    def __init__(self, queued_s: float, data: bytes) -> None:
        self.queued_s = queued_s
        self.data = data


class SendQueue:
    """The send queue of one address; times are in seconds of the event loop's clock.

    Frames beyond 4096 frames or 32 MiB are dropped; an empty queue accepts a frame of any size.
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
        """Wait until the queue is not empty."""
        await self._has_frames.wait()

    def take(self, since_s: float) -> bytes:
        """Empty the queue; return the frames queued since `since_s` joined, and drop older ones."""
        data = b"".join(frame.data for frame in self._frames if frame.queued_s >= since_s)
        self._frames.clear()
        self._size_bytes = 0
        self._has_frames.clear()
        return data
