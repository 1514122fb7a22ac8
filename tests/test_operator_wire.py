"""Responses of the control API on raw sockets: on each connection in the order of its requests."""

import asyncio
import json
from types import SimpleNamespace

from control_api import ControlApi
from control_plane.configuration_changes import ConfigurationResult, ConfigurationStatus
from platform_calls import SETTINGS
from ports import free_ports
from testtools import TestCase
from testtools.matchers import Equals
from wire_helpers import reset, wait_until


class FakeConfigurationChanges:
    """Keeps changes pending until the test finishes them."""

    def __init__(self):
        self.pending = []

    def change(self, change, done):
        self.pending.append((change.base, done))

    def finish(self, base, status):
        for done in [done for pending, done in self.pending if pending == base]:
            done(ConfigurationResult(status))


def put_request(base):
    body = json.dumps({**SETTINGS, "revision": base + 1})
    return (
        f"PUT /vaneledge/settings HTTP/1.1\r\nHost: c\r\nIf-Match: {base}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


async def statuses(reader, count):
    received = []
    for _ in range(count):
        head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)).decode()
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        await reader.readexactly(int(fields["Content-Length"]))
        received.append(int(head.split()[1]))
    return received


class Responses(TestCase):
    def test_each_connection_gets_its_own_responses_in_the_order_of_its_requests(self):
        async def case():
            (port,) = free_ports(1)
            changes = FakeConfigurationChanges()
            api = ControlApi(
                SimpleNamespace(configuration_changes=changes), f"127.0.0.1:{port}", 1 << 20
            )
            await api.start()
            try:
                one, two, lost = [
                    await asyncio.open_connection("127.0.0.1", port) for _ in range(3)
                ]
                lost[1].write(put_request(9))
                one[1].write(put_request(1) + put_request(2))
                two[1].write(put_request(3))
                await wait_until(lambda: {base for base, _ in changes.pending} >= {1, 3, 9})
                reset(lost[1])
                changes.finish(3, ConfigurationStatus.APPLIED)
                self.assertThat(await statuses(two[0], 1), Equals([200]))
                changes.finish(9, ConfigurationStatus.APPLIED)
                changes.finish(1, ConfigurationStatus.REPLACED)
                await wait_until(lambda: 2 in {base for base, _ in changes.pending})
                changes.finish(1, ConfigurationStatus.APPLIED)
                changes.finish(2, ConfigurationStatus.APPLIED)
                self.assertThat(await statuses(one[0], 2), Equals([412, 200]))
                two[1].write(put_request(4))
                await wait_until(lambda: 4 in {base for base, _ in changes.pending})
                changes.finish(3, ConfigurationStatus.REPLACED)
                changes.finish(4, ConfigurationStatus.DOUBT)
                self.assertThat(await statuses(two[0], 1), Equals([503]))
            finally:
                await api.stop()

        asyncio.run(asyncio.wait_for(case(), 20))
