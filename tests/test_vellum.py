"""Messages there and back, and bytes that are none: a node on a real link refuses them and lives."""

import asyncio
import random

from testtools import TestCase
from testtools.matchers import Equals, HasLength

from commons.cards import Beat, Shuffle
from vellum import Arr, Blob, Flag, Long, Message, Opt, Real, Text, decode, encode
from vellum.links import Switchboard, _pack
from vellum.message import BadMessage


class Everything(Message):
    text: Text
    number: Long
    share: Real
    yes: Flag
    blob: Blob
    rows: Arr(Text)
    perhaps: Opt(Long)


class Messages(TestCase):
    def test_there_and_back(self):
        message = Everything(text="ä", number=-1 << 60, share=0.5, yes=True, blob=b"\0\xff", rows=["a", ""], perhaps=None)
        self.assertThat(decode(encode(message)), Equals(message))
        self.assertRaises(TypeError, Everything, **message.as_dict(), colour=1)

    def test_bytes_that_are_no_message(self):
        rng = random.Random(1)
        good = encode(Everything(text="a", number=1, share=0.5, yes=True, blob=b"x", rows=["a"], perhaps=1))
        for _ in range(500):
            data = bytearray(good)
            for _ in range(rng.randrange(1, 4)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            try:
                decode(bytes(data[:rng.randrange(len(data) + 1)]))
            except BadMessage:
                pass

    def test_a_link_refuses_them_and_goes_on(self):
        async def run():
            taken = []

            def deliver(sender, ref, re, message):
                taken.append(decode(message.card))

            board = Switchboard("127.0.0.1:23990", 500, deliver)
            await board.start()
            good = _pack("127.0.0.1:1", 0, 0, Beat(card=encode(Beat(card=b""))))
            for data in (b"\0\0\0\x05xxxxx", b"\xff\xff\xff\xff", _pack("x:1", 0, 0, Shuffle(card=b"\x02a", cards=[])), good):
                reader, writer = await asyncio.open_connection("127.0.0.1", 23990)
                writer.write(data)
                await writer.drain()
                if data is not good:
                    self.assertThat(await asyncio.wait_for(reader.read(), 5), Equals(b""))
            while not taken:
                await asyncio.wait_for(asyncio.sleep(0), 5)
            crashed = board.crash_reason
            await board.stop()
            return taken, crashed

        taken, crashed = asyncio.run(run())
        self.assertThat(taken, HasLength(1))
        self.assertThat(crashed, Equals(None))
