"""When a member of the log takes the holder's duty: by its own silence, the others' answers and their order."""

from replicated_log.failure_detector import LeaderFailureDetector
from replicated_log.messages import LeaderPollResponse
from runtime import Settings
from testtools import TestCase
from testtools.matchers import Equals

PARAMS = Settings(
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


def says(name, epoch=7, holds=False, hears=False, leaving=False):
    return LeaderPollResponse(identity=name, epoch=epoch, holds=holds, hears=hears, leaving=leaving)


class Taking(TestCase):
    def watch(self, own="b", faults=1):
        self.now = Clock()
        return LeaderFailureDetector(
            own, PARAMS.model_copy(update={"store_faults": faults}), self.now
        )

    def quiet(self, watch, for_ms, step_ms=25):
        for _ in range(for_ms // step_ms):
            self.now.now_ms += step_ms
            watch.tick()

    def takes(
        self,
        answers,
        quiet_ms=500,
        own="b",
        names=("a", "b", "c"),
        holder="a",
        retired=(),
        faults=1,
        after_ms=0,
    ):
        watch = self.watch(own, faults)
        self.quiet(watch, quiet_ms)
        for answer in answers:
            watch.polled(answer, holder)
        taken = watch.should_claim(list(names), holder, 7, list(retired))
        if after_ms and not taken:
            self.quiet(watch, after_ms)
            for answer in answers:
                watch.polled(answer, holder)
            taken = watch.should_claim(list(names), holder, 7, list(retired))
        return taken

    def test_rows(self):
        for wanted, why, answers, more in (
            (True, "silence, and another agrees", [says("c")], {}),
            (False, "nobody answers", [], {}),
            (False, "not silent for long enough", [says("c")], {"quiet_ms": 350}),
            (False, "another hears the holder", [says("c", hears=True)], {}),
            (
                False,
                "the holder answers that it is at work",
                [says("a", holds=True), says("c")],
                {},
            ),
            (
                True,
                "the holder answers that it isn't, though just heard",
                [says("a"), says("c")],
                {"quiet_ms": 50, "after_ms": 100},
            ),
            (
                False,
                "a holder that hasn't heard of its duty is waited for",
                [says("a", epoch=6), says("c")],
                {"quiet_ms": 50},
            ),
            (False, "somebody knows of a later epoch", [says("c", epoch=8)], {}),
            (False, "the other one goes first", [says("b")], {"own": "c"}),
            (True, "the other one went first, in vain", [says("b")], {"own": "c", "after_ms": 100}),
            (True, "the other one is on its way out", [says("b", leaving=True)], {"own": "c"}),
            (True, "the other one is retired", [says("b")], {"own": "c", "retired": ["b"]}),
            (False, "a retired one stands back", [says("c")], {"retired": ["b"], "after_ms": 500}),
            (
                True,
                "a retired one serves if there is no other",
                [says("c", leaving=True)],
                {"retired": ["b"]},
            ),
            (True, "named the holder and not at work", [says("b")], {"own": "a", "quiet_ms": 25}),
            (False, "named the holder, with nobody in touch", [], {"own": "a"}),
            (False, "two of five are too few", [says("c")], {"names": NAMES, "faults": 2}),
            (
                True,
                "three of five are enough",
                [says("c"), says("d")],
                {"names": NAMES, "faults": 2},
            ),
            (
                True,
                "one that hears the holder isn't enough for it",
                [says("c"), says("d"), says("e", hears=True)],
                {"names": NAMES, "faults": 2},
            ),
            (
                False,
                "two that hear the holder are",
                [says("c"), says("d", hears=True), says("e", hears=True)],
                {"names": NAMES, "faults": 2},
            ),
            (False, "answers of strangers", [says("x"), says("y")], {}),
        ):
            self.assertThat((why, self.takes(answers, **more)), Equals((why, wanted)))

    def test_a_store_that_stood_still_itself_suspects_nobody(self):
        watch = self.watch()
        self.now.now_ms += 5000
        watch.tick()
        self.assertThat((watch.quiet_ms <= PARAMS.pulse_ms, watch.hears), Equals((True, True)))

    def test_a_pulse_ends_the_suspicion(self):
        watch = self.watch()
        self.quiet(watch, 500)
        watch.polled(says("c"), "a")
        watch.heard()
        self.assertThat(watch.should_claim(["a", "b", "c"], "a", 7, []), Equals(False))

    def test_old_answers_do_not_count(self):
        watch = self.watch()
        self.quiet(watch, 300)
        watch.polled(says("c"), "a")
        self.quiet(watch, 300)
        self.assertThat(watch.should_claim(["a", "b", "c"], "a", 7, []), Equals(False))

    def test_an_ended_process_is_suspected_at_once(self):
        watch = self.watch()
        watch.gone()
        watch.polled(says("c"), "a")
        self.assertThat(watch.should_claim(["a", "b", "c"], "a", 7, []), Equals(True))

    def test_polls_are_as_far_apart_as_pulses(self):
        watch, asked = self.watch(), 0
        for _ in range(40):
            self.quiet(watch, 25)
            asked += watch.should_poll(False)
        self.assertThat(asked, Equals((1000 - PARAMS.doubt_ms) // PARAMS.pulse_ms + 1))
