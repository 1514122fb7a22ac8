"""Lots of forwarded calls at the holder: the fold's states, and admission by tokens."""

import random

from batch_state import BatchState
from batch_state import entries as e
from batch_state import messages as m
from forward_ledger_stage import Bench
from messaging import decode
from testtools import TestCase
from testtools.matchers import Equals


def drawn(seed):
    """Entries in any order, some of which no longer apply."""
    rng = random.Random(seed)
    rows = [
        e.ForwardJobAdmitted(
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
                    e.ItemsClaimed(
                        job_id=job,
                        edge=edge,
                        indexes=[index, (index + 1) % 3],
                        numbers=[number, number],
                    ),
                    e.ItemsClaimed(job_id=job, edge=edge, indexes=[index], numbers=[number]),
                    e.ItemReturned(job_id=job, index=index, number=number),
                    e.AttemptFailed(
                        job_id=job, index=index, number=number, failures=0, worker=f"w{number}"
                    ),
                    e.ResultListed(
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
    rows.insert(rng.randrange(60, 150), e.JobCancelled(job_id="l1", at_ms=9))
    return rows


def applied(state, rows):
    """As the holder does, which counts an attempt that failed on top of those before it."""
    for row in rows:
        if isinstance(row, e.AttemptFailed):
            job = state.jobs.get(row.job_id)
            before = (
                job.items[row.index].failures
                if job is not None and row.index < len(job.items)
                else 0
            )
            row = e.AttemptFailed(**{**row.as_dict(), "failures": before + 1})
        state.apply(row)


def shown(state):
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
                else (item.state, item.edge, item.number, item.failures, item.failed_at, item.body)
                for item in job.items
            ],
        )
        for name, job in state.jobs.items()
    }
    return jobs, sorted(state.open_jobs), state.waiting_tokens


class Fold(TestCase):
    def test_dump_encoded_and_copy_say_the_same(self):
        for seed in range(30):
            state = BatchState()
            applied(state, drawn(seed))
            dumped, encoded = BatchState(), BatchState()
            for row in state.dump():
                dumped.apply(row)
            for row in state.encoded():
                encoded.apply(decode(row))
            for other in (dumped, encoded, state.copy()):
                self.assertThat(shown(other), Equals(shown(state)), f"seed {seed}")
            self.assertThat(
                sum(state.waiting_tokens.values()),
                Equals(sum(job.tokens for job in state.open_jobs.values())),
            )

    def test_results_are_listed_as_they_settle_under_a_rising_epoch(self):
        state = BatchState()
        state.apply(drawn(1)[0])
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
                e.ResultListed(
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
    def test_the_waiting_room_is_exact_in_tokens(self):
        bench = Bench()
        rows = [
            ("one", (30, 30), "admitted"),
            ("two", (41,), "no_room"),
            ("three", (40,), "admitted"),
            ("four", (1,), "no_room"),
            ("one", (30, 30), "known"),
        ]
        for job_id, tokens, outcome in rows:
            self.assertThat(bench.hand_in(job_id, tokens).outcome, Equals(outcome), job_id)
        self.assertThat(bench.hand_in("free", (9999,), "route/b").outcome, Equals("admitted"))
        work = bench.work(bench.beat(paths=["route/a"]))
        bench.end(work[0])
        bench.now_ms += 1
        self.assertThat(bench.hand_in("five", (31,)).outcome, Equals("no_room"))
        self.assertThat(bench.hand_in("six", (30,)).outcome, Equals("admitted"))
        bench.ask(m.CancelJob(job_id="three"))
        bench.now_ms += 1
        self.assertThat(bench.hand_in("seven", (40,)).outcome, Equals("admitted"))

    def test_what_was_refused_runs_only_under_a_later_stamp(self):
        bench = Bench()
        bench.hand_in("one", (100,))
        self.assertThat(bench.hand_in("two", (1,)).outcome, Equals("no_room"))
        bench.ask(m.CancelJob(job_id="one"))
        for row in ({"age_ms": 0}, {"age_ms": 50}, {"epoch": 2}, {"age_ms": 1001}, {"age_ms": -1}):
            told = bench.hand_in("two", (1,), **row)
            self.assertThat(told, Equals(m.StaleRequest(epoch=1, leader_ms=bench.now_ms)), row)
        bench.now_ms += 1
        self.assertThat(bench.hand_in("two", (1,)).outcome, Equals("admitted"))

    def test_older_profiles_than_the_edges_refuse_nothing(self):
        bench = Bench()
        rows = [
            ("route/c", 8, "unknown"),
            ("route/c", 7, "no_path"),
            ("route/b", 8, "unknown"),
            ("route/b", 7, "admitted"),
        ]
        for number, (path, version, outcome) in enumerate(rows):
            self.assertThat(
                bench.hand_in(f"lot{number}", path=path, version=version).outcome,
                Equals(outcome),
                (path, version),
            )

    def test_answered_once_settled_and_known_ever_after(self):
        bench = Bench()
        bench.holder.by_hand = True
        self.assertThat(bench.hand_in("one"), Equals(None))
        self.assertThat(bench.hand_in("one"), Equals(None))
        bench.holder.settle()
        self.assertThat(
            [rows[0].outcome for rows in bench.replies.values()], Equals(["admitted", "known"])
        )
        bench.holder.by_hand = False
        self.assertThat(bench.hand_in("one", digest="other").outcome, Equals("conflict"))
        bench.holder.full = True
        self.assertThat(bench.hand_in("two").outcome, Equals("full"))
