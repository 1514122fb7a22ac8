"""Helpers for tests of protocol faults on raw sockets: what a client and a worker received, and TCP resets."""

import asyncio
import re
import socket
import struct


def final_statuses(data):
    """Return the status and the request id of each response in `data`, in order; 100 Continue is left out."""
    found = []
    for text in re.split(r"HTTP/1\.[01] ", data.decode())[1:]:
        ids = [line[12:] for line in text.split("\r\n") if line.lower().startswith("request-id: ")]
        if not text.startswith("100"):
            found.append((int(text[:3]), "".join(ids)))
    return found


def request_ids(worker):
    """Return the ids of the requests that a worker received, in order."""
    return [fields["Request-Id"] for _, fields, _, _ in worker.requests]


async def read_all(client):
    """Return what a client receives until the connection ends or is idle for 0.3 s."""
    data = b""
    try:
        while piece := await asyncio.wait_for(client.reader.read(1 << 16), 0.3):
            data += piece
    except (TimeoutError, ConnectionError):
        pass
    client.writer.close()
    return data


async def wait_until(check):
    for _ in range(200):
        if check():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("the condition did not become true within a second")


def reset(writer):
    """Close the connection with a TCP reset (RST) instead of FIN."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
