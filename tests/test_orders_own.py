"""Orders of the product's own interface, and orders to empty stores: known by all that they say, and never
refused by what only one node has heard.
"""

import asyncio
import json
from types import SimpleNamespace
from unittest import mock

from aiohttp import web
from control_plane.operator_api import OperatorApi
from control_store import Change, ChangeResult, ReadKey
from membership import Membership
from platform_calls import Platform
from testtools import TestCase
from testtools.matchers import Equals


class Answered:
    """An owner of keys that notes what it is asked and answers from a table."""

    def __init__(self, version, body):
        self.version, self.body = version, body
        self.asked = []

    def submit(self, message, done):
        self.asked.append(message)
        outcome = "ok" if isinstance(message, ReadKey) else "lost"
        done(ChangeResult(outcome=outcome, version=self.version, body=self.body, reason=""))


class OwnInterface(TestCase):
    """The operators' calls of the product's own interface."""

    def call(self, owner, handler, sent):
        async def run():
            desk = SimpleNamespace(app=web.Application())
            settings = SimpleNamespace(max_body_bytes=1 << 20)
            operators = OperatorApi(SimpleNamespace(owner=owner, settings=settings), desk)

            async def read():
                return json.dumps(sent).encode()

            request = SimpleNamespace(
                content_length=100, content_type="application/json", headers={}, read=read
            )
            request.content = SimpleNamespace(read=lambda count=-1: read())
            return (await getattr(operators, handler)(request)).status

        return asyncio.run(run())

    def test_a_patch_on_another_version_is_only_asked_after(self):
        """It once went to the key's owner with the tree as it was, to be taken, without the patch, if the version
        that it named came into force meanwhile.
        """
        owner = Answered(4, json.dumps({"profiles": {}}))
        sent = {"version": 5, "change_id": "c", "patch": {"profiles": {"a": {"abstract": True}}}}
        self.assertThat(self.call(owner, "_patch", sent), Equals(409))
        self.assertThat([row for row in owner.asked if isinstance(row, Change)], Equals([]))

    def test_one_id_for_two_contents_is_two_changes(self):
        owner = Answered(4, json.dumps({"profiles": {}}))
        for name, version in (("a", 4), ("b", 4), ("a", 4), ("a", 3)):
            tree = {"profiles": {name: {"abstract": True}}}
            self.call(owner, "_send", {"version": version, "change_id": "c", "tree": tree})
        first, second, again, older = [
            row.change_id for row in owner.asked if isinstance(row, Change)
        ]
        self.assertThat((first == again, len({first, second, older})), Equals((True, 3)))


class Stores(TestCase):
    def test_a_node_that_has_just_started_refuses_no_emptying(self):
        """It has not heard of all stores yet: that too few would be left it cannot know."""

        async def run(seed):
            platform = Platform(seed=seed, edges=0)
            fleet = platform.fleet
            fleet.add("store", "fresh")
            platform.run(7000)
            name = fleet.hosts["store1"].address
            host = fleet.hosts["control3"]
            host.kill()
            platform.run(200)
            host.start()
            found = []
            while not found or found[-1] == 503:
                told = await platform.ask(
                    host.name, "POST", f"/vaneledge/retire/{name}", {"overS": 10}
                )
                found.append(told[0])
                platform.run(10)
            self.assertThat(set(found), Equals({200, 503}), f"seed {seed}: {found}")

        for seed in range(1, 9):
            asyncio.run(run(seed))

    def test_too_few_only_once_all_stores_can_have_been_heard(self):
        """Just started or just awake, a node that has heard of one store only gives no clear answer."""

        async def run():
            platform = Platform(edges=0)
            fleet = platform.fleet
            fleet.add("store", "fresh")
            platform.run(7000)
            name = fleet.hosts["store1"].address
            host = fleet.hosts["control3"]

            async def asked():
                neighbours = host.node.neighbours
                heard = [row for row in neighbours.of_role("store", 9000) if row.name == name]
                with mock.patch.object(Membership, "of_role", lambda *args: heard):
                    platform.run(250)
                    return (
                        await platform.ask(
                            host.name, "POST", f"/vaneledge/retire/{name}", {"overS": 10}
                        )
                    )[0]

            self.assertThat(await asked(), Equals(409))
            host.freeze()
            platform.run(4000)
            host.wake()
            platform.run(400)
            self.assertThat(await asked(), Equals(503))
            platform.run(1500)
            self.assertThat(await asked(), Equals(409))

        asyncio.run(run())
