"""Base class of the tests that change the configuration of a simulated fleet through the platform's calls."""

import asyncio

from platform_calls import SETTINGS, Platform
from testtools import TestCase

SETTINGS_PATH = "/vaneledge/settings"


def make_settings(revision, **more):
    return {**SETTINGS, "revision": revision, **more}


class ConfigurationCase(TestCase):
    def run_test(self, body, **sizes):
        async def run():
            await body(Platform(**sizes))

        asyncio.run(run())

    async def statuses(self, platform, hosts, base, sent):
        return [(await platform.put(host, base, sent))[0] for host in hosts]

    def key_owner(self, platform):
        hosts = {host.node.acceptor.identity: host for host in platform.fleet.with_role("control")}
        name = platform.fleet.hosts["control1"].node.owner.owner_of("profiles")
        return hosts[name]

    def version(self, platform):
        return max(
            host.node.config_feed.version("profiles")
            for host in platform.fleet.with_role("control")
            if host.up
        )
