"""Tests of control keys (votes, owners, versions, changes of the voter list) and of the profiles stored in them."""

import json

from config_feed.patches import apply_patch, merge, merge_diff
from control_store import Change, ProfileTree, ReadKey, check_tree, explain
from control_store.key_state import newest_accepted
from control_store.messages import Accept, Prepare, Value, Vote
from messaging import encode
from simulator.fleet import SimFleet
from testtools import TestCase
from testtools.matchers import Contains, Equals, HasLength


def value(version, body="x"):
    return Value(version=version, body=body, change_ids=[], change_versions=[])


def vote(epoch, by, version):
    return Vote(
        identity="v",
        ok=True,
        reason="",
        promised_epoch=9,
        promised_proposer="z",
        accepted_epoch=epoch,
        accepted_proposer=by,
        value=encode(value(version)) if version else b"",
        list_body="",
    )


class Keys(TestCase):
    def bootstrapped(self, seed=1, **sizes):
        fleet = SimFleet(seed, edges=sizes.pop("edges", 0), stores=3, workers=0, **sizes)
        self.assertThat(
            fleet.run_until_true(
                lambda: all(host.node.has_quorum() for host in fleet.with_role("control")), 8000
            ),
            Equals(True),
        )
        return fleet

    def submit_and_wait(self, fleet, host, message, wait_ms=4000):
        seen = []
        fleet.hosts[host].node.owner.submit(message, seen.append)
        fleet.run_until_true(lambda: seen, wait_ms)
        return seen[0] if seen else None

    def change(self, version, change_id, body="{}"):
        return Change(key="profiles", version=version, change_id=change_id, body=body, hops=0)

    def test_newest_accepted_is_the_highest_version_of_the_highest_proposal(self):
        rows = [
            ((1, "a", 3), (1, "a", 2), 3),
            ((2, "a", 2), (1, "b", 7), 2),
            ((1, "b", 1), (1, "a", 2), 1),
            ((0, "", 0), (1, "a", 1), 1),
        ]
        for first, second, wanted in rows:
            for pair in ((first, second), (second, first)):
                self.assertThat(
                    newest_accepted([vote(*row) for row in pair]).version, Equals(wanted)
                )
        self.assertThat(newest_accepted([vote(0, "", 0)]).version, Equals(0))

    def test_late_accept_of_an_older_version_is_rejected(self):
        fleet = self.bootstrapped()
        voter = fleet.hosts["control1"].node.acceptor
        sender = fleet.hosts["store1"]
        replies = []
        for message in (
            Prepare(key="k", epoch=5, proposer="me", list_number=1),
            *[
                Accept(key="k", epoch=5, proposer="me", value=encode(value(version)), list_number=1)
                for version in (1, 2, 1)
            ],
        ):
            sender.node.request(fleet.hosts["control1"].address, message, 400, replies.append)
        fleet.run_until_true(lambda: len(replies) == 4, 500)
        self.assertThat(sorted(result.ok for result in replies), Equals([False, True, True, True]))
        self.assertThat(voter.registers["k"].value, Equals(encode(value(2))))

    def test_of_two_changes_at_once_one_is_decided(self):
        fleet = self.bootstrapped()
        seen = []
        for host, name in (("control1", "one"), ("control4", "two")):
            fleet.hosts[host].node.owner.submit(
                self.change(0, name, json.dumps({"by": name})), seen.append
            )
        fleet.run_until_true(lambda: len(seen) == 2, 5000)
        self.assertThat(sorted(result.outcome for result in seen), Equals(["lost", "ok"]))
        read = self.submit_and_wait(fleet, "control2", ReadKey(key="profiles", hops=0))
        winner = next(result for result in seen if result.outcome == "ok")
        self.assertThat((read.version, read.body), Equals((1, winner.body)))

    def test_a_resend_with_the_same_change_id_gets_the_first_result(self):
        fleet = self.bootstrapped()
        self.assertThat(
            self.submit_and_wait(fleet, "control1", self.change(0, "a")).outcome, Equals("ok")
        )
        self.assertThat(
            self.submit_and_wait(fleet, "control2", self.change(1, "b")).outcome, Equals("ok")
        )
        again = self.submit_and_wait(fleet, "control3", self.change(0, "a"))
        self.assertThat((again.outcome, again.version), Equals(("ok", 1)))

    def test_a_callback_may_submit_again_at_once(self):
        """Submitting from within a callback used to start two rounds for one operation; the end of the second one
        answered another operation.
        """
        fleet = self.bootstrapped()
        names = {host.node.acceptor.identity: host for host in fleet.with_role("control")}
        owner = names[fleet.hosts["control1"].node.owner.owner_of("profiles")].node.owner
        seen = []
        owner.submit(
            ReadKey(key="profiles", hops=0),
            lambda read: owner.submit(
                self.change(read.version, "a"),
                lambda result: (
                    seen.append(result),
                    owner.submit(self.change(result.version, "b"), seen.append),
                ),
            ),
        )
        fleet.run_until_true(lambda: len(seen) == 2, 4000)
        self.assertThat(
            [(result.outcome, result.version) for result in seen], Equals([("ok", 1), ("ok", 2)])
        )

    def test_a_minority_answers_reads_and_changes_with_doubt(self):
        fleet = self.bootstrapped()
        self.submit_and_wait(fleet, "control1", self.change(0, "a"))
        names = sorted(fleet.hosts[name].address for name in ("control1", "control2"))
        fleet.network.split(
            [names, [host.address for host in fleet.hosts.values() if host.address not in names]]
        )
        for message in (ReadKey(key="profiles", hops=0), self.change(1, "b")):
            result = self.submit_and_wait(fleet, "control1", message, 6000)
            self.assertThat(result.outcome, Equals("doubt"))

    def test_a_killed_owners_key_is_taken_over_under_a_higher_epoch(self):
        fleet = self.bootstrapped()
        self.submit_and_wait(fleet, "control1", self.change(0, "a"))
        names = {host.node.acceptor.identity: host for host in fleet.with_role("control")}
        owner = names[fleet.hosts["control1"].node.owner.owner_of("profiles")]
        before = owner.node.owner.ownership()["profiles"]["epoch"]
        owner.kill()
        other = next(host for host in fleet.with_role("control") if host.up)
        fleet.run_until_true(lambda: False, 1500)
        result = self.submit_and_wait(fleet, other.name, self.change(1, "b"), 8000)
        self.assertThat((result.outcome, result.version), Equals(("ok", 2)))
        epochs = [
            host.node.owner.ownership().get("profiles", {"epoch": 0})["epoch"]
            for host in fleet.with_role("control")
            if host.up
        ]
        self.assertThat(max(epochs) > before, Equals(True))

    def test_a_value_survives_the_replacement_of_all_control_nodes(self):
        fleet = self.bootstrapped()
        self.assertThat(
            self.submit_and_wait(fleet, "control1", self.change(0, "a", '{"kept": 1}')).outcome,
            Equals("ok"),
        )
        first = {host.node.acceptor.identity for host in fleet.with_role("control")}
        for number in range(5):
            new_host = fleet.add("control", f"fresh{number + 1}")
            fleet.hosts.pop(f"control{number + 1}").kill()

            def joined(new_host=new_host):
                return new_host.node.has_quorum() and len(new_host.node.acceptor.voters) == 5

            self.assertThat(fleet.run_until_true(joined, 25000), Equals(True), f"fresh{number + 1}")
        self.assertThat(first & set(fleet.hosts["fresh1"].node.acceptor.voters), HasLength(0))
        read = self.submit_and_wait(fleet, "fresh2", ReadKey(key="profiles", hops=0))
        self.assertThat((read.version, read.body), Equals((1, '{"kept": 1}')))

    def test_keys_are_swept_before_the_voter_list_changes(self):
        """Only three of five disks have a version. Once one of the three voters is dropped, a majority without the
        other two could be formed. The sweep before each change of the list prevents this.
        """
        fleet = self.bootstrapped(edges=1)
        names = {host.node.acceptor.identity: host for host in fleet.with_role("control")}
        new_host = fleet.add("control", "fresh")
        self.assertThat(
            self.submit_and_wait(fleet, "control1", self.change(0, "a")).outcome, Equals("ok")
        )
        fleet.run_until_true(lambda: False, new_host.settings.removal_timeout_ms + 1500)
        owner = names[fleet.hosts["control1"].node.owner.owner_of("profiles")]
        others = [
            host
            for host in fleet.with_role("control")
            if host is not owner and host is not new_host
        ]
        leaves, stays, missing = others[0], others[1], others[2:]
        for host in missing:
            fleet.network.isolate(host.address)
        seen = []
        owner.node.owner.submit(self.change(1, "b", '{"b": 1}'), seen.append)
        fleet.run_until_true(lambda: seen, 2000)
        self.assertThat([result.outcome for result in seen], Equals(["ok"]))
        fleet.network.heal()
        body = json.dumps({"identities": [leaves.node.acceptor.identity]})
        owner.node.owner.submit(
            Change(key="retired", version=0, change_id="r", body=body, hops=0), lambda result: None
        )
        changed = fleet.run_until_true(
            lambda: (
                leaves.node.acceptor.identity not in new_host.node.acceptor.voters
                and len(new_host.node.acceptor.voters) == 5
            ),
            5000,
        )
        self.assertThat(changed, Equals(True))
        for host in (owner, stays, leaves):
            host.kill()
        read = self.submit_and_wait(fleet, missing[0].name, ReadKey(key="profiles", hops=9), 8000)
        self.assertThat((read.outcome, read.version, read.body), Equals(("ok", 2, '{"b": 1}')))

    def test_a_sweep_sends_a_value_only_where_a_replica_is_outdated(self):
        fleet = self.bootstrapped()
        self.assertThat(
            self.submit_and_wait(fleet, "control1", self.change(0, "a", '{"kept": 1}')).outcome,
            Equals("ok"),
        )
        fleet.run_until_true(lambda: False, 500)
        names = {host.node.acceptor.identity: host for host in fleet.with_role("control")}
        owner = names[fleet.hosts["control1"].node.owner.owner_of("profiles")]
        old = next(host for host in fleet.with_role("control") if host is not owner)

        def rows():
            return [host.node.acceptor.registers["profiles"] for host in fleet.with_role("control")]

        def versions():
            return {row.version for row in rows()}

        before = rows()
        owner.node.owner.repair("profiles")
        fleet.run_until_true(lambda: False, 200)
        self.assertThat(
            all(row is was for row, was in zip(rows(), before, strict=True)), Equals(True)
        )
        fleet.network.isolate(old.address)
        seen = []
        owner.node.owner.submit(self.change(1, "b"), seen.append)
        fleet.run_until_true(lambda: owner.node.config_feed.version("profiles") == 2, 2000)
        fleet.network.heal()
        self.assertThat(versions(), Equals({1, 2}))
        owner.node.owner.repair("profiles")
        fleet.run_until_true(lambda: False, 200)
        self.assertThat(versions(), Equals({2}))

    def test_a_wiped_voter_is_a_standby_and_does_not_vote(self):
        fleet = self.bootstrapped()
        host = fleet.hosts["control1"]
        old = host.node.acceptor.identity
        host.lose_disk()
        host.start()
        fleet.run_until_true(lambda: False, 1500)
        self.assertThat(
            host.node.acceptor.identity != old and not host.node.has_quorum(), Equals(True)
        )
        self.assertThat(fleet.run_until_true(host.node.has_quorum, 20000), Equals(True))
        self.assertThat(
            fleet.run_until_true(lambda: old not in host.node.acceptor.voters, 20000), Equals(True)
        )


class Profiles(TestCase):
    def test_inheritance(self):
        tree = ProfileTree(
            {
                "a": {
                    "workers": {"labels": ["x"], "identities": ["w1"]},
                    "deadline_ms": 900,
                    "abstract": True,
                },
                "b": {"parent": "a", "workers": {"identities": ["w2"]}},
                "c": {"parent": "b", "deadline_ms": 70},
            }
        )
        c = tree.get("c")
        self.assertThat(
            (c.deadline_ms, c.labels, c.identities, c.abstract), Equals((70, {"x"}, {"w2"}, False))
        )
        explained = explain(tree, "c")["values"]
        self.assertThat(
            [
                explained[name]["from"]
                for name in ("workers.labels", "workers.identities", "deadline_ms", "zone")
            ],
            Equals(["a", "b", "c", "default"]),
        )

    def test_every_problem_is_reported_with_its_path(self):
        rows = [
            ([], "profiles"),
            ({"profiles": {}, "x": 1}, "x"),
            ({"profiles": {"a": {"parent": "b"}}}, "profiles.a.parent"),
            ({"profiles": {"a": {"colour": 1}}}, "profiles.a.colour"),
            ({"profiles": {"a": {"deadline_ms": 1}}}, "profiles.a.deadline_ms"),
            ({"profiles": {"a": {"deadline_ms": "9"}}}, "profiles.a.deadline_ms"),
            (
                {"profiles": {"a": {"workers": {"identities": [3]}}}},
                "profiles.a.workers.identities.0",
            ),
            ({"profiles": {"a b": {}}}, "profiles.a b"),
            ({"profiles": {"a": 3}}, "profiles.a"),
            ({"profiles": {"a": {"parent": "b"}, "b": {"parent": "a"}}}, "profiles.b.parent"),
            ({"profiles": {"a": {"parent": "a"}}}, "profiles.a.parent"),
        ]
        for tree, place in rows:
            self.assertThat([row["at"] for row in check_tree(tree).error], Contains(place))
        many = check_tree(
            {"profiles": {"a": {"x": 1, "deadline_ms": 0}, "b": {"parent": "z"}}}
        ).error
        self.assertThat(many, HasLength(3))

    def test_patches(self):
        rows = [
            ({"a": 1}, {"a": 2}, {"a": 2}),
            ({"a": 1, "b": 2}, {"a": None}, {"b": 2}),
            ({"a": {"b": 1, "c": 2}}, {"a": {"b": None}}, {"a": {"c": 2}}),
            ({"a": [1]}, {"a": [2, 3]}, {"a": [2, 3]}),
            ({"a": 1}, {"a": {"b": None, "c": 1}}, {"a": {"c": 1}}),
        ]
        for old, patch, wanted in rows:
            self.assertThat(apply_patch(old, patch), Equals(wanted))
            diff = merge_diff(json.dumps(old), json.dumps(wanted))
            self.assertThat(json.loads(merge(json.dumps(old), diff)), Equals(wanted))
