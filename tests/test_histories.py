"""Linearizability: the search, the sequential specifications, random runs of the simulator, and
mutations of the code that make the history of a run not linearizable.
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


def job_state(listed, results, cancelled=False, total=3):
    return JobState(cancelled, listed, total, results)


def get_job(answer, invoked_ms, returned_ms, start=0):
    return Call(GetJob(start), invoked_ms, answer, returned_ms)


REGISTER_HISTORIES = [
    ("no calls", [], True),
    (
        "sequential changes and a read",
        [change("a", 0, 0, 1), change("b", 1, 2, 3), read(2, "b", 4, 5)],
        True,
    ),
    (
        "two changes on one base, one refused",
        [change("a", 0, 0, 9), change("b", 0, 0, 9, "lost", 1)],
        True,
    ),
    (
        "two changes on one base, both confirmed",
        [change("a", 0, 0, 9), change("b", 0, 0, 9)],
        False,
    ),
    ("stale read", [change("a", 0, 0, 1), change("b", 1, 2, 3), read(1, "a", 4, 5)], False),
    ("old value read during a change", [change("a", 0, 0, 9), read(0, "", 1, 2)], True),
    (
        "new and then old value read during a change",
        [change("a", 0, 0, 9), read(1, "a", 1, 2), read(0, "", 3, 4)],
        False,
    ),
    (
        "pending change takes effect later",
        [change("a", 0, 0), read(0, "", 1, 2), read(1, "a", 3, 4)],
        True,
    ),
    ("pending change never takes effect", [change("a", 0, 0), change("b", 0, 5, 6)], True),
    ("value read before the change was invoked", [read(1, "a", 0, 1), change("a", 0, 2)], False),
    ("confirmed, then refused", [change("a", 0, 0, 1), change("a", 0, 2, 3, "lost", 1)], False),
    ("refused, then confirmed", [change("a", 0, 0, 1, "lost", 0), change("a", 0, 2, 3)], False),
    ("change sent again", [change("a", 0, 0), change("a", 0, 2, 3), change("a", 0, 4, 5)], True),
    (
        "change sent again after another",
        [change("a", 0, 0, 1), change("b", 1, 2, 3), change("a", 0, 4, 5)],
        True,
    ),
    ("two values of one version", [change("a", 0, 0, 1), read(1, "b", 2, 3)], False),
]

JOB_HISTORIES = [
    ("job never submitted", [get_job("missing", 0, 1)], True),
    (
        "admitted job is missing",
        [Call(SubmitJob(), 0, "admitted", 1), get_job("missing", 2, 3)],
        False,
    ),
    (
        "pending submission takes effect",
        [Call(SubmitJob(), 0), get_job(job_state(0, {}), 2, 3)],
        True,
    ),
    ("job exists without a submission", [get_job(job_state(0, {}), 2, 3)], False),
    (
        "admitted twice",
        [Call(SubmitJob(), 0, "admitted", 1), Call(SubmitJob(), 2, "admitted", 3)],
        False,
    ),
    (
        "known at the second submission",
        [Call(SubmitJob(), 0), Call(SubmitJob(), 2, "known", 3)],
        True,
    ),
    (
        "rejected as full although known",
        [Call(SubmitJob(), 0, "known", 1), Call(SubmitJob(), 2, "full", 3)],
        False,
    ),
    (
        "fewer results listed later",
        [Call(SubmitJob(), 0), get_job(job_state(2, {}), 1, 2), get_job(job_state(1, {}), 3, 4)],
        False,
    ),
    (
        "two results at one position",
        [
            Call(SubmitJob(), 0),
            get_job(job_state(1, {0: "x"}), 1, 2),
            get_job(job_state(1, {0: "y"}), 3, 4),
        ],
        False,
    ),
    (
        "read from a later position",
        [Call(SubmitJob(), 0), get_job(job_state(2, {0: "x", 1: "y"}), 1, 2)]
        + [get_job(job_state(3, {1: "y", 2: "z"}), 3, 4, start=1)],
        True,
    ),
    (
        "gap in the results",
        [Call(SubmitJob(), 0), get_job(job_state(3, {0: "x", 2: "z"}), 1, 2)],
        False,
    ),
    (
        "not cancelled after its cancellation",
        [Call(SubmitJob(), 0), Call(CancelJob(), 1, "ended", 2), get_job(job_state(0, {}), 3, 4)],
        False,
    ),
    (
        "complete before its cancellation",
        [Call(SubmitJob(), 0), Call(CancelJob(), 1, "ended", 2), get_job(job_state(3, {}), 3, 4)],
        True,
    ),
    (
        "cancelled in one read but not in the next",
        [Call(SubmitJob(), 0), Call(CancelJob(), 1, "ended", 2)]
        + [get_job(job_state(1, {}, True), 3, 4), get_job(job_state(3, {}), 5, 6)],
        False,
    ),
]


class LinearizabilitySearch(TestCase):
    def test_register_histories(self):
        for name, calls, wanted in REGISTER_HISTORIES:
            for order in (calls, calls[::-1]):
                self.assertThat(
                    linearize(order, RegisterSpecification()).is_linearizable, Equals(wanted), name
                )

    def test_job_histories(self):
        for name, calls, wanted in JOB_HISTORIES:
            for order in (calls, calls[::-1]):
                self.assertThat(
                    linearize(order, JobSpecification(3)).is_linearizable, Equals(wanted), name
                )

    def test_a_search_that_reaches_its_limit_is_undecided(self):
        calls = [change(f"c{position}", position % 3, 0) for position in range(12)] + [
            read(9, "x", 1, 2)
        ]
        result = linearize(calls, RegisterSpecification(), limit=5)
        self.assertThat((result.is_linearizable, result.is_decided), Equals((False, False)))

    def test_concurrent_calls_need_few_configurations(self):
        calls = [change(f"c{position}", position, 0, 1000) for position in range(60)]
        calls += [change(f"d{position}", position, 0) for position in range(0, 60, 4)]
        result = linearize(calls, RegisterSpecification())
        self.assertThat((result.is_linearizable, result.configurations < 500), Equals((True, True)))


class SimulatedHistories(TestCase):
    def test_random_runs_are_linearizable(self):
        calls = 0
        for seed in SEEDS:
            result = check_seed(seed, FAULTS, "small")
            self.assertThat((seed, result.violations, result.undecided), Equals((seed, [], [])))
            calls += result.calls
        self.assertThat(calls > 100 * len(SEEDS), Equals(True))

    def test_two_confirmed_changes_on_one_base_are_found(self):
        """The base version is not checked, so two changes on one base are both confirmed."""
        mutated = mock.patch.object(control_store.key_owner.KeyOwner, "_execute", apply_on_any_base)
        with mutated:
            found = any(check_seed(seed, FAULTS, "small").violations for seed in SEEDS)
        self.assertThat(found, Equals(True))

    def test_swapped_results_are_found(self):
        """Once a job is complete, reads return its first two results swapped."""
        with mock.patch.object(batch_state.jobs.Job, "encoded_result", encode_swapped_result):
            found = any(check_seed(seed, FAULTS, "small").violations for seed in SEEDS)
        self.assertThat(found, Equals(True))

    def test_a_lost_admitted_job_is_found(self):
        history = History()
        history.add("hand-in", 0, lot="l", count=1, outcome="admitted", verdict="", answered_ms=1)
        history.add(
            "read", 3, began_ms=2, lot="l", start=0, results=[], outcome="missing", listed=0
        )
        result = check_history(history)
        self.assertThat((result.objects, len(result.violations)), Equals((2, 1)))


ORIGINAL_EXECUTE = control_store.key_owner.KeyOwner._execute


def apply_on_any_base(self, key, round_):
    message = key.operations[0].message if key.operations else None
    if hasattr(message, "change_id") and message.change_id not in key.value.change_ids:
        message.version = key.value.version
    ORIGINAL_EXECUTE(self, key, round_)


ORIGINAL_ENCODED_RESULT = batch_state.jobs.Job.encoded_result


def encode_swapped_result(self, position):
    moves = not self.forward and position < 2 <= self.total == self.listed
    row = decode(ORIGINAL_ENCODED_RESULT(self, 1 - position if moves else position))
    if moves:
        row.index = position
    return encode(row)
