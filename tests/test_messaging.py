"""Encoding of messages, and links between processes.

A node must survive invalid bytes from any peer: a message is refused with BadMessageError only, and
a link closes the connection and goes on.
"""

import asyncio
import contextlib
import random

from membership.messages import Heartbeat, ShuffleRequest
from messaging import Message, decode, decode_as, encode
from messaging.envelope import pack_frame, take_frames
from messaging.links import LinkTransport
from messaging.message import BadMessageError
from messaging.send_queue import SendQueue
from testtools import TestCase
from testtools.matchers import Equals, HasLength


class Everything(Message):
    text: str
    number: int
    share: float
    yes: bool
    blob: bytes
    rows: list[str]
    perhaps: int | None


class Messages(TestCase):
    def test_decoding_returns_the_encoded_message(self):
        message = Everything(
            text="ä",
            number=-1 << 60,
            share=0.5,
            yes=True,
            blob=b"\0\xff",
            rows=["a", ""],
            perhaps=None,
        )
        self.assertThat(decode(encode(message)), Equals(message))
        self.assertRaises(TypeError, Everything, **message.as_dict(), colour=1)

    def test_decode_as_refuses_messages_of_another_type(self):
        data = encode(Heartbeat(sender=b"x"))
        self.assertThat(decode_as(Heartbeat, data), Equals(Heartbeat(sender=b"x")))
        self.assertRaises(BadMessageError, decode_as, ShuffleRequest, data)
        self.assertRaises(BadMessageError, decode_as, Heartbeat, data[:-1])

    def test_decoding_damaged_bytes_raises_only_bad_message_error(self):
        rng = random.Random(1)
        good = encode(
            Everything(text="a", number=1, share=0.5, yes=True, blob=b"x", rows=["a"], perhaps=1)
        )
        for _ in range(500):
            data = bytearray(good)
            for _ in range(rng.randrange(1, 4)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            with contextlib.suppress(BadMessageError):
                decode(bytes(data[: rng.randrange(len(data) + 1)]))

    def test_a_link_closes_connections_with_invalid_bytes_and_goes_on(self):
        async def run():
            delivered = []

            def deliver(sender, request_id, in_reply_to, message):
                delivered.append(decode(message.sender))

            transport = LinkTransport("127.0.0.1:23990", 500, deliver)
            await transport.start()
            good = pack_frame("127.0.0.1:1", 0, 0, Heartbeat(sender=encode(Heartbeat(sender=b""))))
            for data in (
                b"\0\0\0\x05xxxxx",
                b"\xff\xff\xff\xff",
                pack_frame("x:1", 0, 0, ShuffleRequest(sender=b"\x02a", sample=[])),
                good,
            ):
                reader, writer = await asyncio.open_connection("127.0.0.1", 23990)
                writer.write(data)
                await writer.drain()
                if data is not good:
                    self.assertThat(await asyncio.wait_for(reader.read(), 5), Equals(b""))
            while not delivered:
                await asyncio.wait_for(asyncio.sleep(0), 5)
            crash_reason = transport.crash_reason
            await transport.stop()
            return delivered, crash_reason

        delivered, crash_reason = asyncio.run(run())
        self.assertThat(delivered, HasLength(1))
        self.assertThat(crash_reason, Equals(None))


class Links(TestCase):
    def test_frames_are_complete_however_the_data_is_split(self):
        frames = [
            pack_frame("x:1", request_id, 0, Heartbeat(sender=b"c" * size))
            for request_id, size in enumerate((0, 5, 3000, 1))
        ]
        data = b"".join(frames)
        for step in (1, 2, 7, 1000, len(data)):
            received, complete = bytearray(), []
            for start in range(0, len(data), step):
                received += data[start : start + step]
                complete += take_frames(received)
            self.assertThat(
                (complete, received), Equals(([frame[4:] for frame in frames], bytearray())), step
            )

    def test_the_queue_to_an_unreachable_peer_is_bounded_and_drops_old_frames(self):
        async def run():
            queue = SendQueue()
            for now_s in range(6000):
                queue.put(float(now_s), b"x" * 10)
            data = queue.take(4000.0)
            large = [queue.put(9.0, b"y" * (20 << 20)) for _ in range(3)]
            return len(data), len(queue.take(0.0)), len(large), queue.take(0.0)

        self.assertThat(asyncio.run(run()), Equals((96 * 10, 20 << 20, 3, b"")))

    def test_a_restarted_peer_is_reached_and_refused_connections_are_reported(self):
        async def run():
            delivered, refused = [], []
            arrived = asyncio.Event()

            def deliver(*row):
                delivered.append(row)
                arrived.set()

            here = LinkTransport("127.0.0.1:23991", 500, deliver)
            here.on_refused = refused.append
            await here.start()
            there = None
            for _ in range(2):
                refused.clear()
                while not refused:
                    here.send("127.0.0.1:23992", 0, 0, Heartbeat(sender=b"lost"))
                    await asyncio.sleep(0)
                there = LinkTransport("127.0.0.1:23992", 500, deliver)
                await there.start()
                arrived.clear()
                while not arrived.is_set():
                    here.send("127.0.0.1:23992", 0, 0, Heartbeat(sender=b"there"))
                    await asyncio.sleep(0)
                await there.stop()
            await here.stop()
            return refused, {row[3].sender for row in delivered}

        refused, senders = asyncio.run(asyncio.wait_for(run(), 10))
        self.assertThat(set(refused), Equals({"127.0.0.1:23992"}))
        self.assertThat(b"there" in senders, Equals(True))
