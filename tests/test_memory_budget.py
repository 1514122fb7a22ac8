"""The budget that clients' requests draw their memory from: drawn schedules of draws, waits and ends.

Never more is held than there is, what is given back can be had again, no request waits while there
is room for it, and small requests are served however many large ones there are.
"""

from hypothesis import given, settings
from hypothesis import strategies as st
from runtime import MemoryBudget, request_memory_bytes
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

LIMIT = 1 << 20
SMALL = LIMIT // 128
LARGE_PART = LIMIT * 3 // 4
ALONE = LIMIT * 7 // 4

steps = st.lists(
    st.tuples(
        st.sampled_from(["resize", "wait", "stop", "release"]),
        st.integers(0, 11),
        st.one_of(st.integers(0, SMALL), st.integers(0, LIMIT // 2), st.integers(0, 2 * LIMIT)),
    ),
    max_size=80,
)


class Schedule:
    """Plays steps on twelve holdings, and keeps what each of them was granted."""

    def __init__(self):
        self.budget = MemoryBudget(LIMIT)
        self.holdings = [self.budget.holding() for _ in range(12)]
        self.granted = [0] * 12
        self.waits = {}

    def play(self, step, place, size):
        holding = self.holdings[place]
        if place in self.waits and step != "stop":
            return
        if step == "resize":
            if holding.try_resize(size):
                self.granted[place] = size
        elif step == "wait":
            self.wait(place, size)
        elif step == "stop":
            if place in self.waits:
                self.waits.pop(place)[0]()
        else:
            holding.release()
            self.granted[place] = 0

    def wait(self, place, size):
        def on_granted():
            self.granted[place] = size
            self.waits.pop(place)

        if size > self.holdings[place].size_bytes and not self.holdings[place].try_resize(size):
            stop = self.holdings[place].wait(size, on_granted)
            if stop is not None:
                self.waits[place] = (stop, size)
        elif size > self.granted[place]:
            self.granted[place] = size

    def end(self):
        for place in list(self.waits):
            if place in self.waits:
                self.waits.pop(place)[0]()
        for place, holding in enumerate(self.holdings):
            holding.release()
            self.granted[place] = 0


class Budget(TestCase):
    @settings(max_examples=300, deadline=None)
    @given(steps)
    def test_drawn_schedules_keep_the_budget(self, drawn):
        schedule = Schedule()
        for step in drawn:
            schedule.play(*step)
            held = [holding.size_bytes for holding in schedule.holdings]
            self.assertThat(held, Equals(schedule.granted))
            self.assertThat(schedule.budget.used_bytes, Equals(sum(held)))
            large = [size for size in held if size > SMALL]
            alone = len(large) == 1 and large[0] > LARGE_PART
            self.assertThat(sum(held), LessThan((2 * LIMIT if alone else LIMIT) + 1))
            self.assertThat(alone or sum(large) <= LARGE_PART, Equals(True))
        schedule.end()
        self.assertThat(schedule.budget.used_bytes, Equals(0))
        self.assertThat(schedule.budget.is_contended, Equals(False))
        self.assertThat(schedule.budget.holding().try_resize(LIMIT), Equals(True))

    @settings(max_examples=300, deadline=None)
    @given(steps)
    def test_nobody_waits_who_could_be_served(self, drawn):
        """The first who waits, and each small one, waits only while it does not fit."""
        schedule = Schedule()
        for step in drawn:
            schedule.play(*step)
            first = True
            for place, (_, size) in schedule.waits.items():
                if first or size <= SMALL:
                    used = schedule.budget.used_bytes + size - schedule.holdings[place].size_bytes
                    others = [
                        holding.size_bytes
                        for other, holding in enumerate(schedule.holdings)
                        if other != place and holding.size_bytes > SMALL
                    ]
                    if size <= SMALL:
                        fits = used <= LIMIT or used - sum(others) <= LIMIT // 4
                    elif others:
                        fits = used <= LIMIT and sum(others) + size <= LARGE_PART
                    else:
                        fits = used <= 2 * LIMIT and size <= ALONE
                    self.assertThat(fits, Equals(False))
                first = False

    def test_small_requests_have_a_part_of_their_own(self):
        budget = MemoryBudget(LIMIT)
        large = [budget.holding() for _ in range(20)]
        taken = [holding.try_resize(LIMIT // 16) for holding in large]
        self.assertThat(taken.count(True), Equals(12))
        small = [budget.holding() for _ in range(40)]
        served = [holding.try_resize(SMALL) for holding in small]
        self.assertThat(served.count(True), Equals(32))

    def test_one_request_larger_than_the_part_of_large_ones_is_served_alone(self):
        budget = MemoryBudget(LIMIT)
        first, second = budget.holding(), budget.holding()
        for size in (LIMIT * 9 // 10, ALONE):
            self.assertThat(first.try_resize(size), Equals(True))
            self.assertThat(second.try_resize(SMALL + 1), Equals(False))
            small = [budget.holding() for _ in range(40)]
            served = [holding.try_resize(SMALL) for holding in small]
            self.assertThat(served.count(True), Equals(32))
            for holding in (first, *small):
                holding.release()
        self.assertThat(second.try_resize(ALONE + 1), Equals(False))
        self.assertThat(second.try_resize(ALONE), Equals(True))

    def test_a_large_request_that_waits_is_not_overtaken_by_others(self):
        budget = MemoryBudget(LIMIT)
        first, second, third = budget.holding(), budget.holding(), budget.holding()
        first.try_resize(LIMIT // 2)
        granted = []
        second.wait(LIMIT // 2, lambda: granted.append("second"))
        self.assertThat(third.try_resize(LIMIT // 8), Equals(False))
        third.wait(LIMIT // 8, lambda: granted.append("third"))
        first.release()
        self.assertThat(granted, Equals(["second", "third"]))

    def test_those_who_wait_hold_a_bounded_part(self):
        budget = MemoryBudget(LIMIT)
        blocking = budget.holding()
        blocking.try_resize(LARGE_PART)
        waiting = [budget.holding() for _ in range(30)]
        stops = []
        for holding in waiting:
            holding.try_resize(SMALL)
            stops.append(holding.wait(LIMIT // 4, lambda: None))
        self.assertThat(stops.count(None), GreaterThan(0))
        self.assertThat(30 - stops.count(None), Equals(16))

    def test_the_budget_of_a_machine(self):
        for memory_mb, budget_mb in ((60, 4), (120, 30), (300, 120), (1024, 482)):
            self.assertThat(request_memory_bytes(memory_mb << 20), Equals(budget_mb << 20))
