"""Linearizability: the search itself, the objects that histories are held against, drawn runs of the
simulator, and breaks of the code that make a run's history one that no order explains.
"""

from unittest import mock

import batch_state.jobs
import control_store.key_owner
from messaging import decode, encode
from modelcheck import Call, linearize
from modelcheck.specifications import (
    CancelJob,
    ChangeKey,
    GetJob,
    JobSpecification,
    JobState,
    ReadValue,
    RegisterSpecification,
    SubmitJob,
)
from simulator import History
from testbed.histories import check_history, check_seed
from testtools import TestCase
from testtools.matchers import Equals

SEEDS = range(4)
FAULTS = 6


def change(name, base, invoked_ms, returned_ms=None, outcome="ok", version=None):
    if returned_ms is None:
        return Call(ChangeKey(name, base), invoked_ms)
    answer = (outcome, base + 1 if version is None else version)
    return Call(ChangeKey(name, base), invoked_ms, answer, returned_ms)


def read(version, name, invoked_ms, returned_ms):
    return Call(ReadValue(), invoked_ms, (version, name), returned_ms)


def shown(listed, results, cancelled=False, total=3):
    return JobState(cancelled, listed, total, results)


def get_job(answer, invoked_ms, returned_ms, start=0):
    return Call(GetJob(start), invoked_ms, answer, returned_ms)


REGISTERS = [
    ("nothing asked", [], True),
    ("one after another", [change("a", 0, 0, 1), change("b", 1, 2, 3), read(2, "b", 4, 5)], True),
    ("two on one base, one lost", [change("a", 0, 0, 9), change("b", 0, 0, 9, "lost", 1)], True),
    ("two on one base, both taken", [change("a", 0, 0, 9), change("b", 0, 0, 9)], False),
    ("an old value read", [change("a", 0, 0, 1), change("b", 1, 2, 3), read(1, "a", 4, 5)], False),
    ("an old value read meanwhile", [change("a", 0, 0, 9), read(0, "", 1, 2)], True),
    (
        "back and forth meanwhile",
        [change("a", 0, 0, 9), read(1, "a", 1, 2), read(0, "", 3, 4)],
        False,
    ),
    ("in doubt and taken later", [change("a", 0, 0), read(0, "", 1, 2), read(1, "a", 3, 4)], True),
    ("in doubt and never taken", [change("a", 0, 0), change("b", 0, 5, 6)], True),
    ("taken before it was asked", [read(1, "a", 0, 1), change("a", 0, 2)], False),
    ("taken, then refused", [change("a", 0, 0, 1), change("a", 0, 2, 3, "lost", 1)], False),
    ("refused, then taken", [change("a", 0, 0, 1, "lost", 0), change("a", 0, 2, 3)], False),
    ("sent again", [change("a", 0, 0), change("a", 0, 2, 3), change("a", 0, 4, 5)], True),
    (
        "sent again after another",
        [change("a", 0, 0, 1), change("b", 1, 2, 3), change("a", 0, 4, 5)],
        True,
    ),
    ("another value under one version", [change("a", 0, 0, 1), read(1, "b", 2, 3)], False),
]

JOBS = [
    ("never there", [get_job("missing", 0, 1)], True),
    ("there and gone", [Call(SubmitJob(), 0, "admitted", 1), get_job("missing", 2, 3)], False),
    ("in doubt and there", [Call(SubmitJob(), 0), get_job(shown(0, {}), 2, 3)], True),
    ("there without being asked", [get_job(shown(0, {}), 2, 3)], False),
    (
        "taken in twice",
        [Call(SubmitJob(), 0, "admitted", 1), Call(SubmitJob(), 2, "admitted", 3)],
        False,
    ),
    ("known the second time", [Call(SubmitJob(), 0), Call(SubmitJob(), 2, "known", 3)], True),
    (
        "full, though it is there",
        [Call(SubmitJob(), 0, "known", 1), Call(SubmitJob(), 2, "full", 3)],
        False,
    ),
    (
        "fewer listed later",
        [Call(SubmitJob(), 0), get_job(shown(2, {}), 1, 2), get_job(shown(1, {}), 3, 4)],
        False,
    ),
    (
        "another result at a position",
        [
            Call(SubmitJob(), 0),
            get_job(shown(1, {0: "x"}), 1, 2),
            get_job(shown(1, {0: "y"}), 3, 4),
        ],
        False,
    ),
    (
        "read from a position on",
        [Call(SubmitJob(), 0), get_job(shown(2, {0: "x", 1: "y"}), 1, 2)]
        + [get_job(shown(3, {1: "y", 2: "z"}), 3, 4, start=1)],
        True,
    ),
    (
        "a position left out",
        [Call(SubmitJob(), 0), get_job(shown(3, {0: "x", 2: "z"}), 1, 2)],
        False,
    ),
    (
        "open again after its end",
        [Call(SubmitJob(), 0), Call(CancelJob(), 1, "ended", 2), get_job(shown(0, {}), 3, 4)],
        False,
    ),
    (
        "whole when its end came",
        [Call(SubmitJob(), 0), Call(CancelJob(), 1, "ended", 2), get_job(shown(3, {}), 3, 4)],
        True,
    ),
    (
        "ended and not, in turn",
        [Call(SubmitJob(), 0), Call(CancelJob(), 1, "ended", 2)]
        + [get_job(shown(1, {}, True), 3, 4), get_job(shown(3, {}), 5, 6)],
        False,
    ),
]


class Searching(TestCase):
    def test_registers(self):
        for name, calls, wanted in REGISTERS:
            for order in (calls, calls[::-1]):
                self.assertThat(
                    linearize(order, RegisterSpecification()).is_linearizable, Equals(wanted), name
                )

    def test_jobs(self):
        for name, calls, wanted in JOBS:
            for order in (calls, calls[::-1]):
                self.assertThat(
                    linearize(order, JobSpecification(3)).is_linearizable, Equals(wanted), name
                )

    def test_a_search_that_meets_its_limit_says_so(self):
        calls = [change(f"c{position}", position % 3, 0) for position in range(12)] + [
            read(9, "x", 1, 2)
        ]
        result = linearize(calls, RegisterSpecification(), limit=5)
        self.assertThat((result.is_linearizable, result.is_decided), Equals((False, False)))

    def test_many_calls_at_once_are_judged_soon(self):
        calls = [change(f"c{position}", position, 0, 1000) for position in range(60)]
        calls += [change(f"d{position}", position, 0) for position in range(0, 60, 4)]
        result = linearize(calls, RegisterSpecification())
        self.assertThat((result.is_linearizable, result.configurations < 500), Equals((True, True)))


class Runs(TestCase):
    def test_drawn_runs_are_linearizable(self):
        calls = 0
        for seed in SEEDS:
            result = check_seed(seed, FAULTS, "small")
            self.assertThat((seed, result.violations, result.undecided), Equals((seed, [], [])))
            calls += result.calls
        self.assertThat(calls > 100 * len(SEEDS), Equals(True))

    def test_a_register_that_takes_a_lost_change_is_found(self):
        """The base version is not looked at: of two changes on one base both are confirmed."""
        mutated = mock.patch.object(control_store.key_owner.KeyOwner, "_execute", apply_on_any_base)
        with mutated:
            found = any(check_seed(seed, FAULTS, "small").violations for seed in SEEDS)
        self.assertThat(found, Equals(True))

    def test_results_that_change_places_are_found(self):
        """Once a job is complete its first two results change places."""
        with mock.patch.object(batch_state.jobs.Job, "encoded_result", row_moved):
            found = any(check_seed(seed, FAULTS, "small").violations for seed in SEEDS)
        self.assertThat(found, Equals(True))

    def test_a_history_that_forgets_a_job_is_found(self):
        history = History()
        history.add("hand-in", 0, lot="l", count=1, outcome="admitted", verdict="", answered_ms=1)
        history.add(
            "read", 3, began_ms=2, lot="l", start=0, results=[], outcome="missing", listed=0
        )
        result = check_history(history)
        self.assertThat((result.objects, len(result.violations)), Equals((2, 1)))


ORIGINAL_APPLY = control_store.key_owner.KeyOwner._execute


def apply_on_any_base(self, key, round_):
    message = key.operations[0].message if key.operations else None
    if hasattr(message, "change_id") and message.change_id not in key.value.change_ids:
        message.version = key.value.version
    ORIGINAL_APPLY(self, key, round_)


ORIGINAL_ROW = batch_state.jobs.Job.encoded_result


def row_moved(self, position):
    moves = not self.forward and position < 2 <= self.total == self.listed
    row = decode(ORIGINAL_ROW(self, 1 - position if moves else position))
    if moves:
        row.index = position
    return encode(row)
