"""Configurations in which any one value is wrong: an answer for the operator, never a failure of the node.

A configuration is parsed completely before the components of a control node get it. An error in one of
their callbacks ends the process, and the operator's retries then end one control process after another.
"""

import asyncio
import copy
import json

from config_json import parse_object
from config_patch import parse_patch
from config_translation import parse_settings
from control_store import Change, ProfileTree, check_tree
from edge_api import PlatformRequestReader
from messaging import encode
from platform_calls import ROUTE, SERVICE, SETTINGS, Platform
from testtools import TestCase
from testtools.matchers import Equals

NESTED = 1
for _ in range(80):
    NESTED = [NESTED]
VALUES = (
    None,
    True,
    0,
    1,
    -1,
    1.5,
    1e308,
    -1e308,
    1 << 62,
    1 << 70,
    10**400,
    -(10**400),
    "",
    "x",
    "\ud800",
    "a\r\nb",
    [],
    [1],
    [None],
    [[]],
    ["x"],
    [{}],
    {},
    {"name": 1},
    {"x": None},
    NESTED,
)
COMPLETE = {
    **SETTINGS,
    "routes": [
        {**ROUTE, "routeType": "bulk", "dueMs": 10000, "maxWaitS": 30, "queueCap": 5000},
        {**SETTINGS["routes"][1], "sticky": False},
    ],
    "backends": [
        {
            **SERVICE,
            "engine": {
                **SERVICE["engine"],
                "models": [{"name": "m", "revision": 1, "adapters": ["a"]}],
            },
        },
        SETTINGS["backends"][1],
    ],
}
PATCH = {
    "revision": 9,
    "upsert": {"routes": [COMPLETE["routes"][0]], "backends": [COMPLETE["backends"][0]]},
    "remove": {"routes": ["r-b"]},
    "limits": SETTINGS["limits"],
}


def engine(**values):
    return {**SETTINGS, "backends": [{**SERVICE, "engine": values}, SETTINGS["backends"][1]]}


def first_route(**values):
    return {**SETTINGS, "routes": [{**ROUTE, **values}, SETTINGS["routes"][1]]}


REFUSED = (
    engine(models=1),
    engine(models="m"),
    engine(models={"name": "m"}),
    engine(models=[1]),
    engine(models=[{"name": 1}]),
    engine(models=[{"name": "m", "adapters": 1}]),
    first_route(shares=[{"backend": "jo", "share": 10**400}]),
    first_route(shares=[{"backend": "jo", "share": 1e308}]),
    first_route(giveUpMs=-1e308),
    {**SETTINGS, "revision": 1 << 63},
    {**SETTINGS, "revision": 10**18},
    {**SETTINGS, "note": NESTED},
)


def places(value, at=()):
    """The paths of all values in a JSON value, its own first."""
    yield at
    if isinstance(value, (dict, list)):
        rows = value.items() if isinstance(value, dict) else enumerate(value)
        for key, inner in rows:
            yield from places(inner, (*at, key))


def replaced(value, at, wrong):
    """A copy of a JSON value in which the value at a path is another one."""
    if not at:
        return wrong
    changed = copy.copy(value)
    changed[at[0]] = replaced(value[at[0]], at[1:], wrong)
    return changed


class EveryPlace(TestCase):
    def assert_answered(self, parse, sent):
        """Parsed and checked like an operator's request; what is accepted has to be of use to an edge."""
        found = parse_object(json.dumps(sent).encode()).bind(parse).bind(check_tree)
        if found.is_error():
            self.assertThat(
                {tuple(sorted(row)) for row in found.error}, Equals({("at", "message")})
            )
            return
        body = json.dumps(found.ok, sort_keys=True)
        base = found.ok["about"]["revision"]
        encode(Change(key="profiles", version=1, change_id="c", body=body, hops=0, base=base))
        tree = ProfileTree.from_body(body)
        PlatformRequestReader().limits(tree.about)
        for name in tree.rows:
            profile = tree.get(name)
            if profile.host:
                self.assertThat(tree.route(profile.host, profile.prefix).name, Equals(name))
                profile.choose_labels(0.5)

    def test_a_wrong_value_at_any_place_of_a_configuration_is_answered(self):
        for at in places(COMPLETE):
            for wrong in VALUES:
                self.assert_answered(parse_settings, replaced(COMPLETE, at, wrong))

    def test_a_wrong_value_at_any_place_of_a_patch_is_answered(self):
        in_force = parse_settings(COMPLETE).bind(check_tree).ok

        def patched(sent):
            return parse_patch(sent).map(lambda patch: patch.apply(in_force))

        for at in places(PATCH):
            for wrong in VALUES:
                self.assert_answered(patched, replaced(PATCH, at, wrong))

    def test_numbers_beyond_a_limit_are_limited(self):
        tree = parse_settings(first_route(maxWaitS=1e308, targetMs=-1e308)).bind(check_tree).ok
        profile = ProfileTree(tree["profiles"]).get("route/r-a")
        self.assertThat((profile.keep_ms, profile.target_ms), Equals((1_000_000_000, 0)))


class ControlNodes(TestCase):
    # Guards against: an invalid configuration ends each control process that reads it.
    def test_an_invalid_configuration_is_refused_by_every_control_node_and_ends_none(self):
        async def run():
            platform = Platform()
            self.assertThat((await platform.put("control1", 0, SETTINGS))[0], Equals(200))
            for sent in REFUSED:
                changed = {**sent, "revision": max(9, sent["revision"])}
                for number in range(1, 6):
                    response = await platform.put(f"control{number}", 7, changed)
                    self.assertThat(response[0], Equals(400), str(sent)[:300])
                lists = {kind: changed.pop(kind) for kind in ("routes", "backends")}
                response = await platform.patch("control3", 7, {**changed, "upsert": lists})
                self.assertThat(response[0], Equals(400), str(sent)[:300])
            self.assertThat(
                (await platform.put("control2", 7, {**SETTINGS, "revision": 20}))[0], Equals(200)
            )

        asyncio.run(run())
