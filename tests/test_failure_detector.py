"""Tests of when a member claims the leadership: silence, poll responses, order of the members."""

from replicated_log.failure_detector import LeaderFailureDetector
from replicated_log.messages import LeaderPollResponse
from runtime import Settings
from testtools import TestCase
from testtools.matchers import Equals

SETTINGS = Settings(
    role="store",
    link="10.0.0.1:1",
    http="10.0.0.1:2",
    zone="z",
    seeds=["10.0.0.1:1"],
    data_folder="d",
)
NAMES = ["a", "b", "c", "d", "e"]


class Clock:
    def __init__(self):
        self.now_ms = 0

    def __call__(self):
        return self.now_ms


def poll_response(name, epoch=7, is_leader=False, hears_leader=False, leaving=False):
    return LeaderPollResponse(
        identity=name,
        epoch=epoch,
        is_leader=is_leader,
        hears_leader=hears_leader,
        leaving=leaving,
    )


class LeadershipClaims(TestCase):
    def make_detector(self, own_identity="b", faults=1):
        self.now = Clock()
        return LeaderFailureDetector(
            own_identity, SETTINGS.model_copy(update={"store_faults": faults}), self.now
        )

    def pass_silence(self, detector, for_ms, step_ms=25):
        for _ in range(for_ms // step_ms):
            self.now.now_ms += step_ms
            detector.tick()

    def claims(
        self,
        answers,
        silent_ms=500,
        own_identity="b",
        names=("a", "b", "c"),
        leader="a",
        retired=(),
        faults=1,
        after_ms=0,
    ):
        detector = self.make_detector(own_identity, faults)
        self.pass_silence(detector, silent_ms)
        for answer in answers:
            detector.handle_poll_response(answer, leader)
        claimed = detector.should_claim(list(names), leader, 7, list(retired))
        if after_ms and not claimed:
            self.pass_silence(detector, after_ms)
            for answer in answers:
                detector.handle_poll_response(answer, leader)
            claimed = detector.should_claim(list(names), leader, 7, list(retired))
        return claimed

    def test_when_leadership_is_claimed(self):
        for wanted, why, answers, more in (
            (True, "the leader is silent and another member agrees", [poll_response("c")], {}),
            (False, "no member responds", [], {}),
            (False, "not silent for long enough", [poll_response("c")], {"silent_ms": 350}),
            (False, "another member hears the leader", [poll_response("c", hears_leader=True)], {}),
            (
                False,
                "the leader responds that it is active",
                [poll_response("a", is_leader=True), poll_response("c")],
                {},
            ),
            (
                True,
                "the leader responds that it isn't active, though just heard",
                [poll_response("a"), poll_response("c")],
                {"silent_ms": 50, "after_ms": 100},
            ),
            (
                False,
                "the leader doesn't know its epoch yet",
                [poll_response("a", epoch=6), poll_response("c")],
                {"silent_ms": 50},
            ),
            (False, "another member knows a later epoch", [poll_response("c", epoch=8)], {}),
            (False, "an earlier member claims first", [poll_response("b")], {"own_identity": "c"}),
            (
                True,
                "an earlier member has not succeeded in its turn",
                [poll_response("b")],
                {"own_identity": "c", "after_ms": 100},
            ),
            (
                True,
                "the earlier member is shutting down",
                [poll_response("b", leaving=True)],
                {"own_identity": "c"},
            ),
            (
                True,
                "the earlier member is retired",
                [poll_response("b")],
                {"own_identity": "c", "retired": ["b"]},
            ),
            (
                False,
                "a retired member leaves the claim to another",
                [poll_response("c")],
                {"retired": ["b"], "after_ms": 500},
            ),
            (
                True,
                "a retired member claims if no other can",
                [poll_response("c", leaving=True)],
                {"retired": ["b"]},
            ),
            (
                True,
                "named as the leader and not active",
                [poll_response("b")],
                {"own_identity": "a", "silent_ms": 25},
            ),
            (False, "named as the leader, without responses", [], {"own_identity": "a"}),
            (
                False,
                "two of five members are too few",
                [poll_response("c")],
                {"names": NAMES, "faults": 2},
            ),
            (
                True,
                "three of five members are enough",
                [poll_response("c"), poll_response("d")],
                {"names": NAMES, "faults": 2},
            ),
            (
                True,
                "fewer than f members hear the leader",
                [poll_response("c"), poll_response("d"), poll_response("e", hears_leader=True)],
                {"names": NAMES, "faults": 2},
            ),
            (
                False,
                "f members hear the leader",
                [
                    poll_response("c"),
                    poll_response("d", hears_leader=True),
                    poll_response("e", hears_leader=True),
                ],
                {"names": NAMES, "faults": 2},
            ),
            (
                False,
                "responses of stores that aren't members",
                [poll_response("x"), poll_response("y")],
                {},
            ),
        ):
            self.assertThat((why, self.claims(answers, **more)), Equals((why, wanted)))

    def test_a_frozen_store_does_not_suspect_the_leader(self):
        detector = self.make_detector()
        self.now.now_ms += 5000
        detector.tick()
        self.assertThat(
            (detector.silent_ms <= SETTINGS.leader_heartbeat_ms, detector.hears_leader),
            Equals((True, True)),
        )

    def test_a_heartbeat_ends_the_suspicion(self):
        detector = self.make_detector()
        self.pass_silence(detector, 500)
        detector.handle_poll_response(poll_response("c"), "a")
        detector.handle_heartbeat()
        self.assertThat(detector.should_claim(["a", "b", "c"], "a", 7, []), Equals(False))

    def test_old_answers_do_not_count(self):
        detector = self.make_detector()
        self.pass_silence(detector, 300)
        detector.handle_poll_response(poll_response("c"), "a")
        self.pass_silence(detector, 300)
        self.assertThat(detector.should_claim(["a", "b", "c"], "a", 7, []), Equals(False))

    def test_an_ended_leader_process_counts_as_failed_at_once(self):
        detector = self.make_detector()
        detector.process_ended()
        detector.handle_poll_response(poll_response("c"), "a")
        self.assertThat(detector.should_claim(["a", "b", "c"], "a", 7, []), Equals(True))

    def test_polls_are_sent_at_the_heartbeat_interval(self):
        detector, polls = self.make_detector(), 0
        for _ in range(40):
            self.pass_silence(detector, 25)
            polls += detector.should_poll(False)
        self.assertThat(
            polls, Equals((1000 - SETTINGS.leader_suspicion_ms) // SETTINGS.leader_heartbeat_ms + 1)
        )
