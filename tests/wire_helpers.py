"""What the tests of troubles on the wire share: what a client was written, what reached a worker, and resets."""

import asyncio
import re
import socket
import struct


def statuses(data):
    """The final statuses in what a client was written, in order, with the id that each bears."""
    found = []
    for text in re.split(r"HTTP/1\.[01] ", data.decode())[1:]:
        ids = [line[12:] for line in text.split("\r\n") if line.lower().startswith("request-id: ")]
        if not text.startswith("100"):
            found.append((int(text[:3]), "".join(ids)))
    return found


def ids(worker):
    """The ids of the requests that reached a worker, in order."""
    return [fields["Request-Id"] for _, fields, _, _ in worker.requests]


async def heard(client):
    """All that a client is written until the connection ends or rests."""
    data = b""
    try:
        while piece := await asyncio.wait_for(client.reader.read(1 << 16), 0.3):
            data += piece
    except (TimeoutError, ConnectionError):
        pass
    client.writer.close()
    return data


async def until(check):
    for _ in range(200):
        if check():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("not within a second")


def reset(writer):
    """End the connection with a reset instead of an end."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
