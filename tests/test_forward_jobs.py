"""Forwarded jobs at the leader: the state machine, and admission by tokens."""

import random

from batch_state import BatchState, entries, messages
from leader_fixture import SETTINGS, LeaderFixture
from messaging import decode
from testtools import TestCase
from testtools.matchers import Equals


def random_entries(seed):
    """Return random entries, some of which must have no effect because they don't apply."""
    rng = random.Random(seed)
    rows = [
        entries.ForwardJobAdmitted(
            job_id=f"l{job}",
            digest="d",
            path=f"p{job % 2}",
            item_ids=["a", "b", "c"],
            tokens=[1, 20, 300],
            calls=[b"x", b"y", b"z"],
            attempts=3,
            due_ms=1,
            expires_ms=9,
            version=2,
            at_ms=job,
        )
        for job in range(4)
    ]
    for _ in range(150):
        job, index, number, edge = (
            f"l{rng.randrange(5)}",
            rng.randrange(4),
            rng.randrange(1, 6),
            rng.choice("ef"),
        )
        rows.append(
            rng.choice(
                [
                    entries.ItemsClaimed(
                        job_id=job,
                        edge=edge,
                        indexes=[index, (index + 1) % 3],
                        claim_numbers=[number, number],
                    ),
                    entries.ItemsClaimed(
                        job_id=job, edge=edge, indexes=[index], claim_numbers=[number]
                    ),
                    entries.ItemReturned(job_id=job, index=index, claim_number=number),
                    entries.AttemptFailed(
                        job_id=job,
                        index=index,
                        claim_number=number,
                        failures=0,
                        worker=f"w{number}",
                    ),
                    entries.ResultListed(
                        job_id=job,
                        index=index,
                        outcome="finished",
                        text=b"r%d" % rng.randrange(99),
                        worker="w",
                        edge=edge,
                        epoch=number,
                    ),
                ]
            )
        )
    rows.insert(rng.randrange(60, 150), entries.JobCancelled(job_id="l1", at_ms=9))
    return rows


def apply_all(state, rows):
    """Apply entries, with `failures` of AttemptFailed set as the leader does: one more than before."""
    for row in rows:
        if isinstance(row, entries.AttemptFailed):
            job = state.jobs.get(row.job_id)
            before = (
                job.items[row.index].failures
                if job is not None and row.index < len(job.items)
                else 0
            )
            row = entries.AttemptFailed(**{**row.as_dict(), "failures": before + 1})
        state.apply(row)


def comparable_state(state):
    jobs = {
        name: (
            job.order,
            job.listed,
            job.cancelled,
            job.unfinished,
            job.listing_epoch,
            job.listing_edge,
            job.open,
            job.tokens,
            list(job.pending),
            sorted(job.claims),
            job.expires_ms,
            job.version,
            job.attempts,
            [
                (item.state, item.outcome, item.result)
                if item.state == "finished"
                else (
                    item.state,
                    item.edge,
                    item.claim_number,
                    item.failures,
                    item.failed_at,
                    item.body,
                )
                for item in job.items
            ],
        )
        for name, job in state.jobs.items()
    }
    return jobs, sorted(state.open_jobs), state.waiting_tokens


class StateMachine(TestCase):
    def test_dump_encoded_and_copy_rebuild_the_same_state(self):
        for seed in range(30):
            state = BatchState()
            apply_all(state, random_entries(seed))
            dumped, encoded = BatchState(), BatchState()
            for row in state.dump():
                dumped.apply(row)
            for row in state.encoded():
                encoded.apply(decode(row))
            for other in (dumped, encoded, state.copy()):
                self.assertThat(
                    comparable_state(other), Equals(comparable_state(state)), f"seed {seed}"
                )
            self.assertThat(
                sum(state.waiting_tokens.values()),
                Equals(sum(job.tokens for job in state.open_jobs.values())),
            )

    def test_results_are_listed_as_they_commit_under_a_rising_epoch(self):
        state = BatchState()
        state.apply(random_entries(1)[0])
        steps = [
            (2, "e", 1, [2]),
            (2, "e", 1, [2]),
            (0, "f", 1, [2]),
            (0, "f", 2, [2, 0]),
            (1, "e", 1, [2, 0]),
            (1, "f", 2, [2, 0, 1]),
            (0, "e", 9, [2, 0, 1]),
        ]
        for index, edge, epoch, order in steps:
            state.apply(
                entries.ResultListed(
                    job_id="l0",
                    index=index,
                    outcome="finished",
                    text=b"%d" % index,
                    worker="",
                    edge=edge,
                    epoch=epoch,
                )
            )
            self.assertThat(state.jobs["l0"].order, Equals(order))
        self.assertThat(state.jobs["l0"].open, Equals(False))
        self.assertThat(state.waiting_tokens, Equals({}))


class Admission(TestCase):
    def test_the_backlog_limit_is_exact_in_tokens(self):
        fixture = LeaderFixture()
        rows = [
            ("one", (30, 30), "admitted"),
            ("two", (41,), "no_room"),
            ("three", (40,), "admitted"),
            ("four", (1,), "no_room"),
            ("one", (30, 30), "known"),
        ]
        for job_id, tokens, outcome in rows:
            self.assertThat(fixture.submit(job_id, tokens).outcome, Equals(outcome), job_id)
        self.assertThat(fixture.submit("free", (9999,), "route/b").outcome, Equals("admitted"))
        work = fixture.assignments(fixture.heartbeat(paths=["route/a"]))
        fixture.report(work[0])
        fixture.now_ms += 1
        self.assertThat(fixture.submit("five", (31,)).outcome, Equals("no_room"))
        self.assertThat(fixture.submit("six", (30,)).outcome, Equals("admitted"))
        fixture.request(messages.CancelJob(job_id="three"))
        fixture.now_ms += 1
        self.assertThat(fixture.submit("seven", (40,)).outcome, Equals("admitted"))

    def test_the_requests_of_open_jobs_have_a_limit_in_bytes(self):
        """The stores keep them in memory, also on a route without a limit in tokens."""
        fixture = LeaderFixture()
        limit_bytes = SETTINGS.max_open_job_bytes
        parts = {"one": 0.5, "two": 0.5, "three": 0.1}
        calls = {job_id: int(limit_bytes * part) for job_id, part in parts.items()}
        outcomes = [
            fixture.submit(job_id, (1,), "route/b", call_bytes=size).outcome
            for job_id, size in calls.items()
        ]
        self.assertThat(outcomes, Equals(["admitted", "admitted", "full"]))
        again = fixture.submit("three", (1,), "route/b", call_bytes=calls["three"])
        self.assertThat(type(again), Equals(messages.StaleRequest))
        work = fixture.assignments(fixture.heartbeat(paths=["route/b"]))
        fixture.report(work[0])
        fixture.now_ms += 1
        later = fixture.submit("four", (1,), "route/b", call_bytes=calls["three"])
        self.assertThat(later.outcome, Equals("admitted"))
        fixture.request(messages.CancelJob(job_id="two"))
        fixture.now_ms += 1
        cancelled = fixture.submit("five", (1,), "route/b", call_bytes=calls["two"])
        self.assertThat(cancelled.outcome, Equals("admitted"))

    def test_a_refused_job_is_admitted_only_with_a_later_clock_value(self):
        fixture = LeaderFixture()
        fixture.submit("one", (100,))
        self.assertThat(fixture.submit("two", (1,)).outcome, Equals("no_room"))
        fixture.request(messages.CancelJob(job_id="one"))
        for row in ({"age_ms": 0}, {"age_ms": 50}, {"epoch": 2}, {"age_ms": 1001}, {"age_ms": -1}):
            response = fixture.submit("two", (1,), **row)
            self.assertThat(
                response, Equals(messages.StaleRequest(epoch=1, leader_ms=fixture.now_ms)), row
            )
        fixture.now_ms += 1
        self.assertThat(fixture.submit("two", (1,)).outcome, Equals("admitted"))

    def test_profiles_older_than_those_of_the_edge_refuse_nothing(self):
        fixture = LeaderFixture()
        rows = [
            ("route/c", 8, "unknown"),
            ("route/c", 7, "no_path"),
            ("route/b", 8, "unknown"),
            ("route/b", 7, "admitted"),
        ]
        for number, (path, version, outcome) in enumerate(rows):
            self.assertThat(
                fixture.submit(f"lot{number}", path=path, version=version).outcome,
                Equals(outcome),
                (path, version),
            )

    def test_a_submission_is_answered_once_committed_and_is_known_afterwards(self):
        fixture = LeaderFixture()
        fixture.leader.manual_commit = True
        self.assertThat(fixture.submit("one"), Equals(None))
        self.assertThat(fixture.submit("one"), Equals(None))
        fixture.leader.commit()
        self.assertThat(
            [rows[0].outcome for rows in fixture.replies.values()], Equals(["admitted", "known"])
        )
        fixture.leader.manual_commit = False
        self.assertThat(fixture.submit("one", digest="other").outcome, Equals("conflict"))
        fixture.leader.full = True
        self.assertThat(fixture.submit("two").outcome, Equals("full"))
