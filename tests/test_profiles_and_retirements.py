"""Changes of the profiles over HTTP, and refusals of retirements.

A change is identified by its identifier together with its content. A retirement must not be refused by a node
that has not been in contact for long enough to know all stores.
"""

import asyncio
import json
from types import SimpleNamespace
from unittest import mock

from aiohttp import web
from control_plane.profiles_api import ProfilesApi
from control_plane.request_bodies import (
    ConfigurationBody,
    ConfigurationPatchBody,
    RetirementBody,
    change_identity,
)
from control_store import Change, ChangeResult, ReadKey
from fake_requests import FakeRequest
from membership import Membership
from platform_calls import Platform
from testtools import TestCase
from testtools.matchers import Equals


class RecordingKeyOwner:
    """A key owner that records all operations; reads succeed with a fixed value, changes are lost."""

    def __init__(self, version, body):
        self.version, self.body = version, body
        self.operations = []

    def submit(self, message, done):
        self.operations.append(message)
        outcome = "ok" if isinstance(message, ReadKey) else "lost"
        done(ChangeResult(outcome=outcome, version=self.version, body=self.body, reason=""))


class ProfilesInterface(TestCase):
    """Changes of the profiles over HTTP (`/profiles`)."""

    def call(self, owner, handler, sent):
        async def run():
            service = SimpleNamespace(app=web.Application())
            settings = SimpleNamespace(max_body_bytes=1 << 20)
            api = ProfilesApi(SimpleNamespace(owner=owner, settings=settings), service)

            request = FakeRequest(body=json.dumps(sent).encode())
            return (await getattr(api, handler)(request)).status

        return asyncio.run(run())

    def test_a_patch_of_another_version_is_only_looked_up(self):
        """Guards against a lost patch: the unpatched tree was proposed under the version that the request
        named, and was applied if that version came into force in the meantime.
        """
        owner = RecordingKeyOwner(4, json.dumps({"profiles": {}}))
        sent = {"version": 5, "change_id": "c", "patch": {"profiles": {"a": {"abstract": True}}}}
        self.assertThat(self.call(owner, "_patch", sent), Equals(409))
        self.assertThat([row for row in owner.operations if isinstance(row, Change)], Equals([]))

    def test_one_id_for_two_contents_is_two_changes(self):
        owner = RecordingKeyOwner(4, json.dumps({"profiles": {}}))
        for name, version in (("a", 4), ("b", 4), ("a", 4), ("a", 3)):
            tree = {"profiles": {name: {"abstract": True}}}
            self.call(owner, "_replace", {"version": version, "change_id": "c", "tree": tree})
        first, second, again, older = [
            row.change_id for row in owner.operations if isinstance(row, Change)
        ]
        self.assertThat((first == again, len({first, second, older})), Equals((True, 3)))

    def test_the_id_of_a_change_is_the_same_in_all_versions(self):
        """A change may be sent again to a node of another version; the expected ids are those of commit 472a6a3."""
        for contents, identity in (
            (
                ConfigurationBody(version=4, tree={"profiles": {}}),
                "107885be94c6e2de30cae2cf42b6fcb0",
            ),
            (
                ConfigurationPatchBody(version=4, patch={"profiles": {}}),
                "bda5fdefa9a5ffd4ccda53707ea94f8d",
            ),
            (RetirementBody(identity="store1"), "c0259e6bd38ae0dee2c369dcd64021f0"),
        ):
            self.assertThat(change_identity("c", contents), Equals(identity))


class Retirements(TestCase):
    def test_a_node_that_has_just_started_refuses_no_retirement(self):
        """The node does not know all stores yet, so it cannot tell whether too few would remain."""

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
            statuses = []
            while not statuses or statuses[-1] == 503:
                response = await platform.request(
                    host.name, "POST", f"/vaneledge/retire/{name}", {"overS": 10}
                )
                statuses.append(response[0])
                platform.run(10)
            self.assertThat(set(statuses), Equals({200, 503}), f"seed {seed}: {statuses}")

        for seed in range(1, 9):
            asyncio.run(run(seed))

    def test_too_few_stores_is_answered_only_once_all_stores_can_be_known(self):
        """After a pause, a node that knows of one store only answers 503 until it has had time to learn of all."""

        async def run():
            platform = Platform(edges=0)
            fleet = platform.fleet
            fleet.add("store", "fresh")
            platform.run(7000)
            name = fleet.hosts["store1"].address
            host = fleet.hosts["control3"]

            async def status():
                membership = host.node.membership
                heard = [row for row in membership.nodes_in_role("store", 9000) if row.name == name]
                with mock.patch.object(Membership, "nodes_in_role", lambda *args: heard):
                    platform.run(250)
                    return (
                        await platform.request(
                            host.name, "POST", f"/vaneledge/retire/{name}", {"overS": 10}
                        )
                    )[0]

            self.assertThat(await status(), Equals(409))
            host.freeze()
            platform.run(4000)
            host.wake()
            platform.run(400)
            self.assertThat(await status(), Equals(503))
            platform.run(1500)
            self.assertThat(await status(), Equals(409))

        asyncio.run(run())
