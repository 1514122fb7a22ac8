"""Routing by host and path, the choice between services by their shares, and the validation of routes."""

import json

from control_store import ProfileTree, check_tree, explain
from testtools import TestCase
from testtools.matchers import Contains, Equals, Is

SERVICES = {
    "service/a": {
        "abstract": True,
        "workers": {"labels": ["a"]},
        "slots": 3,
        "connections": 40,
        "models": [{"name": "m", "revision": 2}],
        "health_path": "/health",
    },
    "service/b": {"abstract": True, "workers": {"labels": ["b"]}},
}


def route(host, prefix, **values):
    return {"parent": "service/a", "match": {"host": host, "prefix": prefix}, **values}


def tree(**routes):
    checked = check_tree({"profiles": {**SERVICES, **routes}, "about": {"revision": 3}})
    return ProfileTree.from_body(json.dumps(checked.ok))


class Routes(TestCase):
    def test_the_route_with_the_longest_prefix_is_found(self):
        profile_tree = tree(
            top=route("h.example", "/"),
            one=route("H.example", "/a/"),
            two=route("h.example", "/a/b/c/"),
            other=route("g.example", "/a/b/"),
            hidden=route("h.example", "/x/", abstract=True),
        )
        rows = [
            ("h.example", "/", "top"),
            ("h.example", "/a", "top"),
            ("h.example", "/a/", "one"),
            ("h.example", "/a/b/c", "one"),
            ("h.example", "/a/b/c/", "two"),
            ("h.example", "/a/b/c/d/e?f", "two"),
            ("h.example", "/b?/a/", "top"),
            ("h.example", "/x/", "top"),
            ("h.example:8080", "/a/b", "one"),
            ("H.EXAMPLE", "/a/b", "one"),
            ("g.example", "/a/", None),
            ("g.example", "/a/b/", "other"),
            ("k.example", "/", None),
            ("", "/", None),
            ("h.example", "*", None),
            ("h.example", "", None),
            ("h.example", "/" * 100_000, "top"),
        ]
        for host, path, wanted in rows:
            found = profile_tree.route(host, path)
            self.assertThat(found and found.name, Equals(wanted), (host, path[:20]))
        self.assertThat(profile_tree.about, Equals({"revision": 3}))
        self.assertThat(ProfileTree({}).route("h.example", "/"), Is(None))

    def test_a_route_inherits_the_values_of_its_service(self):
        profile_tree = tree(
            one=route("h.example", "/a/", give_up_ms=900, kind="stream", source="{}"),
            two=route("h", "/"),
        )
        one = profile_tree.get("one")
        self.assertThat(
            (
                one.host,
                one.prefix,
                one.slots,
                one.connections,
                one.models,
                one.health_path,
                one.give_up_ms,
            ),
            Equals(("h.example", "/a/", 3, 40, [{"name": "m", "revision": 2}], "/health", 900)),
        )
        self.assertThat(
            profile_tree.get("two").give_up_ms, Equals(profile_tree.get("two").deadline_ms)
        )
        explained = explain(profile_tree, "one")["values"]
        self.assertThat(
            [explained[name]["from"] for name in ("slots", "give_up_ms", "match", "urgency")],
            Equals(["service/a", "one", "one", "default"]),
        )

    def test_a_number_chooses_a_service_according_to_the_shares(self):
        half = [{"service": "service/a", "share": 90}, {"service": "service/b", "share": 10}]
        rows = [
            (half, 0.0, "a"),
            (half, 0.8999, "a"),
            (half, 0.9, "b"),
            (half, 1.0, "b"),
            (
                [{"service": "service/a", "share": 0}, {"service": "service/b", "share": 1}],
                0.0,
                "b",
            ),
            (
                [{"service": "service/b", "share": 1}, {"service": "service/a", "share": 0}],
                1.0,
                "b",
            ),
            ([*half, {"service": "service/a", "share": 100}], 0.6, "a"),
            (None, 0.7, "a"),
        ]
        for shares, number, wanted in rows:
            one = tree(one=route("h", "/", **({"shares": shares} if shares else {}))).get("one")
            self.assertThat(one.choose_labels(number), Equals({wanted}), (shares, number))
        split = tree(one=route("h", "/", shares=half))
        self.assertThat(split.get("one").labels, Equals({"a", "b"}))
        self.assertThat(
            [split.get("one").allows("w", frozenset({name})) for name in "abc"],
            Equals([True, True, False]),
        )

    def test_each_problem_of_a_route_is_reported_with_its_place(self):
        rows = [
            (route("h", "/", give_up_ms=0), "profiles.x.give_up_ms"),
            (route("h", "/", attempts=0), "profiles.x.attempts"),
            (route("h", "/", urgency=10), "profiles.x.urgency"),
            (route("h", "/", kind="odd"), "profiles.x.kind"),
            (route("h", "/", shares=[]), "profiles.x.shares"),
            (route("h", "/", shares=[{"service": "service/a", "share": 0}]), "profiles.x.shares"),
            (
                route("h", "/", shares=[{"service": "service/a", "share": -1}]),
                "profiles.x.shares.0.share",
            ),
            (
                route("h", "/", shares=[{"service": "service/a", "share": float("inf")}]),
                "profiles.x.shares.0.share",
            ),
            (route("h", "/", shares=[{"service": "z", "share": 1}]), "profiles.x.shares.0.service"),
            (route("H.example", "/taken/"), "profiles.x.match"),
            (route("", "/"), "profiles.x.match.host"),
            (route("h h", "/"), "profiles.x.match.host"),
            (route("h", ""), "profiles.x.match.prefix"),
            (route("h", "a/"), "profiles.x.match.prefix"),
            (route("h", "/a"), "profiles.x.match.prefix"),
            (route("h", "/a b/"), "profiles.x.match.prefix"),
            ({"match": {"host": "h"}}, "profiles.x.match.prefix"),
            ({"parent": "service/z"}, "profiles.x.parent"),
            (route("h", "/", models=["m"]), "profiles.x.models.0"),
            (route("h", "/", health_path="health"), "profiles.x.health_path"),
        ]
        for row, place in rows:
            found = check_tree(
                {"profiles": {**SERVICES, "t": route("h.example", "/taken/"), "x": row}}
            )
            self.assertThat([problem["at"] for problem in found.error], Contains(place))
            self.assertThat(len(found.error), Equals(1), (row, found))
        self.assertThat(
            [row["at"] for row in check_tree({"profiles": {}, "about": 3}).error], Equals(["about"])
        )
        two = {"x": route("h", "/", give_up_ms=0, shares=[]), "y": {"parent": "z"}}
        self.assertThat(len(check_tree({"profiles": {**SERVICES, **two}}).error), Equals(3))
