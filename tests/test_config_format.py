"""Translation of the platform's configuration into the profile tree and back.

The configuration has to be restored exactly as it was sent; a patch changes single items; an invalid
configuration is refused as a whole.
"""

import json

from config_display import sent_configuration
from config_json import change_digest, parse_object
from config_names import encoded_name, service_name
from config_patch import parse_patch
from config_translation import parse_settings
from control_store import ProfileTree, check_tree
from platform_calls import ROUTE, SERVICE, SETTINGS
from testtools import TestCase
from testtools.matchers import Equals, IsInstance


def route(**values):
    return {**ROUTE, "shares": None, "backend": "huvo11a", **values}


def settings(routes=(), backends=(SERVICE,), **more):
    return {"revision": 3, "routes": list(routes), "backends": list(backends), **more}


def stored_tree(sent):
    """The profile tree of a configuration after a round trip through JSON, or the problems with it."""
    parsed = parse_object(sent if isinstance(sent, bytes) else json.dumps(sent).encode())
    found = parsed.bind(parse_settings).bind(check_tree)
    return json.loads(json.dumps(found.ok, sort_keys=True)) if found.is_ok() else found.error


class Translation(TestCase):
    def test_a_route_as_a_profile(self):
        rows = [
            (
                route(),
                {
                    "kind": "stream",
                    "repeatable": True,
                    "give_up_ms": 2000,
                    "target_ms": 300,
                    "urgency": 0,
                    "attempts": 2,
                    "sticky": True,
                    "resumable": True,
                    "token_gap_ms": 150,
                    "host": "nony24.example",
                    "prefix": "/lohu930/",
                    "labels": {"service/huvo11a"},
                    "slots": 24,
                    "connections": 200,
                    "cache_tokens": 305000,
                    "stride_tokens": 14,
                    "health_path": "/health",
                    "models": [{"name": "m"}],
                    "abstract": False,
                },
            ),
            (route(resumable=False), {"kind": "stream", "repeatable": False}),
            (route(routeType="idempotent"), {"kind": "plain", "repeatable": True}),
            (
                route(routeType="non_idempotent", resumable=True),
                {"kind": "plain", "repeatable": False},
            ),
            (
                route(
                    routeType="bulk",
                    dueMs=10000,
                    maxWaitS=2.5,
                    queueCap=1100000,
                    tries=4,
                    giveUpMs=None,
                ),
                {
                    "kind": "lot",
                    "repeatable": True,
                    "due_ms": 10000,
                    "keep_ms": 2500,
                    "waiting_tokens": 1100000,
                    "attempts": 4,
                    "give_up_ms": 5000,
                },
            ),
            (
                route(giveUpMs=0.5, targetMs=300.0, urgency=12, tries=0),
                {"give_up_ms": 1, "target_ms": 300, "urgency": 9, "attempts": 1},
            ),
            (route(hostname="N.example", pathStart="/"), {"host": "N.example", "prefix": "/"}),
        ]
        for row, wanted in rows:
            profile = ProfileTree(stored_tree(settings([row]))["profiles"]).get("route/r-a")
            self.assertThat({name: getattr(profile, name) for name in wanted}, Equals(wanted))

    def test_shares_go_to_services(self):
        tree = ProfileTree(stored_tree(SETTINGS)["profiles"])
        found = tree.route("nony24.example", "/lohu930/x")
        self.assertThat(
            [found.choose_labels(number) for number in (0.1, 0.95)],
            Equals([{"service/huvo11a"}, {"service/jo"}]),
        )
        self.assertThat(tree.get("service/jo").abstract, Equals(True))
        zero_first = route(
            shares=[{"backend": "jo", "share": 0}, {"backend": "huvo11a", "share": 5}]
        )
        tree = ProfileTree(stored_tree(settings([zero_first], SETTINGS["backends"]))["profiles"])
        self.assertThat(tree.ancestry("route/r-a"), Equals(["route/r-a", "service/huvo11a"]))

    def test_different_names_stay_different(self):
        names = [
            "a",
            "A",
            "a_b",
            "a/b",
            "a b",
            "_61",
            "a.b-c",
            "ü",
            "\u00fc\u0308",
            "%41",
            "x" * 97,
            "x" * 98,
            "/",
            "..",
            "\ud800",
            " ",
        ]
        self.assertThat(len({encoded_name(name) for name in names}), Equals(len(names)))
        services = [{"name": name} for name in names]
        routes = [
            {**route(name=name, backend=name), "pathStart": f"/{index}/"}
            for index, name in enumerate(names)
        ]
        sent = settings(routes, services)
        tree = stored_tree(sent)
        self.assertThat(json.loads(sent_configuration(tree)), Equals(sent))
        for index, name in enumerate(names):
            found = ProfileTree(tree["profiles"]).route("nony24.example", f"/{index}/")
            self.assertThat(found.labels, Equals({service_name(name)}))

    def test_restored_as_it_was_sent(self):
        unusual = {
            **SETTINGS,
            "extra": {"deep": [1, None, 1.5, "ä", {"x": None}]},
            "note": None,
            "routes": [
                {**ROUTE, "unknown": None, "more": {"a": [None]}},
                *SETTINGS["routes"][:0:-1],
            ],
        }
        for sent in (
            SETTINGS,
            unusual,
            settings(),
            settings(backends=[]),
            settings(limits={}),
            settings(limits=None),
            settings(
                [route(name=f"r{index}", pathStart=f"/{index}/") for index in (3, 1, 2, 10, 0)]
            ),
        ):
            self.assertThat(json.loads(sent_configuration(stored_tree(sent))), Equals(sent))

    def test_limits(self):
        self.assertThat(
            stored_tree(SETTINGS)["about"]["limits"],
            Equals(
                {
                    "header_bytes": 16384,
                    "body_bytes": 4194304,
                    "header_wait_ms": 3000,
                    "idle_ms": 15000,
                }
            ),
        )

    def test_every_kind_of_invalid_configuration(self):
        complete = json.dumps(SETTINGS).encode()
        two = [route(), route(name="other")]
        rows = [
            ("cut_short", complete[:-1]),
            ("cut_short", complete[: len(complete) // 2]),
            ("cut_short", b""),
            ("cut_short", b"[]"),
            ("cut_short", b"\xff\xfe"),
            ("cut_short", b'{"a": NaN}'),
            ("cut_short", b'{"a": 1e999}'),
            ("cut_short", b"[" * 100_000),
            ("cut_short", b'{"a": ' * 100_000),
            ("cut_short", {}),
            ("cut_short", {"revision": 1, "routes": []}),
            ("cut_short", {"revision": 1, "backends": []}),
            ("cut_short", settings(revision="4")),
            ("cut_short", settings(revision=None)),
            ("cut_short", settings(revision=True)),
            ("cut_short", settings(limits=3)),
            ("cut_short", settings(revision=1.5)),
            ("cut_short", settings(limits={"idleMs": "x"})),
            ("cut_short", {**SETTINGS, "routes": {}}),
            ("cut_short", settings([3])),
            ("cut_short", settings([{}])),
            ("cut_short", settings([route(name="")])),
            ("cut_short", settings([route(name=3)])),
            ("cut_short", settings([route(hostname=3)])),
            ("cut_short", settings([route(hostname="")])),
            ("cut_short", settings([route(hostname="\ud800")])),
            ("cut_short", settings([route(pathStart=None)])),
            ("cut_short", settings([route(pathStart="a/")])),
            ("cut_short", settings([route(pathStart="/a")])),
            ("cut_short", settings([route(pathStart="")])),
            ("cut_short", settings([route(routeType="other")])),
            ("cut_short", settings([route(routeType=None)])),
            ("cut_short", settings([route(sticky="yes")])),
            ("cut_short", settings([route(resumable=1)])),
            ("cut_short", settings([route(giveUpMs="2000")])),
            ("cut_short", settings([route(tries=True)])),
            ("cut_short", settings([route(backend=None)])),
            ("cut_short", settings([route(shares="x")])),
            ("cut_short", settings([route(shares=[3])])),
            ("cut_short", settings([route(shares=[{"backend": "huvo11a"}])])),
            ("cut_short", settings([route(shares=[{"backend": "huvo11a", "share": "1"}])])),
            ("cut_short", settings(backends=[{**SERVICE, "engine": 3}])),
            ("cut_short", settings(backends=[3])),
            ("cut_short", settings(backends=[{**SERVICE, "engine": {"capacity": "x"}}])),
            ("cut_short", settings(backends=[{**SERVICE, "healthPath": 3}])),
            ("unknown_service", settings([route(backend="nobody")])),
            (
                "unknown_service",
                settings(
                    [
                        route(
                            shares=[
                                {"backend": "huvo11a", "share": 1},
                                {"backend": "nobody", "share": 1},
                            ]
                        )
                    ]
                ),
            ),
            (
                "unknown_service",
                settings(
                    [
                        route(
                            shares=[
                                {"backend": "huvo11a", "share": 1},
                                {"backend": "nobody", "share": 0},
                            ]
                        )
                    ]
                ),
            ),
            ("same_place", settings(two)),
            ("same_place", settings([route(), route(name="o", hostname="NONY24.example")])),
            ("no_weight", settings([route(shares=[])])),
            ("no_weight", settings([route(shares=[{"backend": "huvo11a", "share": 0}])])),
            (
                "no_weight",
                settings(
                    [
                        route(
                            shares=[
                                {"backend": "huvo11a", "share": 2},
                                {"backend": "huvo11a", "share": -2},
                            ]
                        )
                    ]
                ),
            ),
            ("no_timeout", settings([route(giveUpMs=0)])),
            ("no_timeout", settings([route(giveUpMs=-1)])),
            ("no_timeout", settings([route(giveUpMs=0.0)])),
            ("shared_key", settings([route(), route(pathStart="/o/")])),
            ("shared_key", settings(backends=[SERVICE, SERVICE])),
        ]
        for kind, sent in rows:
            found = stored_tree(sent)
            self.assertThat(found, IsInstance(list), (kind, str(sent)[:200]))
            self.assertThat(sorted(found[0]), Equals(["at", "message"]))


class Patching(TestCase):
    def patched(self, sent, tree=SETTINGS):
        in_force = stored_tree(tree)
        found = parse_patch(sent).map(lambda patch: patch.apply(in_force)).bind(check_tree)
        return json.loads(sent_configuration(found.ok)) if found.is_ok() else found.error

    def test_items_are_replaced_in_place_appended_and_removed(self):
        first, second = SETTINGS["routes"]
        added = {**second, "name": "new", "pathStart": "/new/"}
        replaced = {**SERVICE, "maxConns": 3}
        rows = [
            (
                {"revision": 9, "upsert": {"routes": [{**first, "tries": 5}]}},
                {"routes": [{**first, "tries": 5}, second]},
            ),
            (
                {
                    "revision": 9,
                    "upsert": {"routes": [added, {**second, "tries": 1}]},
                    "remove": {"routes": ["r-a", "none"]},
                },
                {"routes": [{**second, "tries": 1}, added]},
            ),
            (
                {
                    "revision": 9,
                    "remove": {"routes": ["r-a", "r-b"], "backends": ["jo", "huvo11a"]},
                },
                {"routes": [], "backends": []},
            ),
            (
                {"revision": 9, "upsert": {"backends": [replaced]}},
                {"backends": [replaced, SETTINGS["backends"][1]]},
            ),
            (
                {"revision": 9, "limits": {"idleMs": 1}, "upsert": None, "remove": {}},
                {"limits": {"idleMs": 1}},
            ),
            ({"revision": 9, "upsert": {"limits": {"idleMs": 2}}}, {"limits": {"idleMs": 2}}),
            ({"revision": 9}, {}),
        ]
        for sent, differing in rows:
            self.assertThat(self.patched(sent), Equals({**SETTINGS, "revision": 9, **differing}))
        self.assertThat(
            self.patched({"revision": 1, "upsert": {"backends": [SERVICE]}}, settings(backends=[])),
            Equals(settings(revision=1)),
        )

    def test_a_patch_of_an_empty_configuration(self):
        parsed = parse_patch({"revision": 1, "upsert": {"backends": [SERVICE]}})
        found = parsed.map(lambda patch: patch.apply({})).bind(check_tree)
        self.assertThat(
            json.loads(sent_configuration(found.ok)),
            Equals({"revision": 1, "routes": [], "backends": [SERVICE]}),
        )

    def test_invalid_patches(self):
        rows = [
            {},
            {"revision": 9, "upsert": []},
            {"revision": 9, "upsert": {"routes": {}}},
            {"revision": 9, "remove": ["r-a"]},
            {"revision": 9, "remove": {"routes": "r-a"}},
            {"revision": 9, "remove": {"routes": [3]}},
            {"revision": 9, "remove": {"others": ["r-a"]}},
            {"revision": 9, "remove": {"backends": ["jo"]}},
            {"revision": 9, "upsert": {"routes": [{**ROUTE, "giveUpMs": 0}]}},
            {"revision": 9, "upsert": {"routes": [{**ROUTE, "name": "again"}]}},
            {"revision": 9, "upsert": {"routes": [ROUTE, ROUTE]}},
            {"revision": 9, "upsert": {"routes": [{"name": "r-a"}]}},
            {"revision": 9, "routes": []},
            {"revision": 9, "backends": None},
        ]
        for sent in rows:
            self.assertThat(self.patched(sent), IsInstance(list), str(sent))


class Digests(TestCase):
    def test_equal_changes_have_equal_digests(self):
        shuffled = dict(reversed(SETTINGS.items()))
        rows = [
            ("PUT", 0, shuffled, True),
            ("PATCH", 0, SETTINGS, False),
            ("PUT", 1, SETTINGS, False),
            ("PUT", 0, {**SETTINGS, "revision": 8}, False),
            ("PUT", 0, {**SETTINGS, "routes": SETTINGS["routes"][::-1]}, False),
        ]
        for method, base, sent, same in rows:
            self.assertThat(
                change_digest(method, base, sent) == change_digest("PUT", 0, SETTINGS), Equals(same)
            )
