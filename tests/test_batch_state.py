"""The state machine: the dump, the encoded entries and the copy of a state all rebuild it."""

import random

from batch_state import BatchState, entries
from messaging import decode
from testtools import TestCase
from testtools.matchers import Equals


def random_entries(seed):
    """Return random entries, some of which must have no effect because they don't apply."""
    rng = random.Random(seed)
    rows = []
    for job in range(4):
        rows.append(
            entries.JobAdmitted(
                job_id=f"l{job}",
                digest="d",
                path="p",
                items=["a", "b", "c"],
                safe=True,
                due_ms=1,
                at_ms=job,
            )
        )
    for _ in range(120):
        job, index, number = f"l{rng.randrange(5)}", rng.randrange(4), rng.randrange(1, 5)
        key, request_id = f"k{rng.randrange(4)}", f"t{rng.randrange(3)}"
        rows.append(
            rng.choice(
                [
                    entries.ItemClaimed(job_id=job, index=index, edge="e", claim_number=number),
                    entries.ItemReturned(job_id=job, index=index, claim_number=number),
                    entries.ItemFinished(
                        job_id=job, index=index, outcome="ran", body=f"r{rng.random()}", worker="w"
                    ),
                    entries.ListingLeaseGranted(job_id=job, edge="e", epoch=number),
                    entries.ListingAdvanced(job_id=job, up_to=index, epoch=number),
                    entries.KeyOpened(
                        key=key, digest="d", edge="e", request_id=request_id, at_ms=number
                    ),
                    entries.KeyClosed(
                        key=key,
                        request_id=request_id,
                        state=rng.choice(("done", "void", "doubt")),
                        status=200,
                        body="b",
                        at_ms=1,
                    ),
                ]
            )
        )
    rows.insert(rng.randrange(60, 120), entries.JobCancelled(job_id="l1", at_ms=9))
    return rows


def comparable_state(state):
    jobs = {
        name: (
            job.listed,
            job.cancelled,
            job.unfinished,
            job.listing_epoch,
            job.listing_edge,
            job.open,
            [
                (item.state, item.edge, item.claim_number, item.outcome, item.result)
                for item in job.items
            ],
            job.waiting == sum(item.state == "waiting" for item in job.items),
            sorted(job.claims)
            == [index for index, item in enumerate(job.items) if item.state == "claimed"],
        )
        for name, job in state.jobs.items()
    }
    keys = {
        name: (key.state, key.request_id, key.body, key.status) for name, key in state.keys.items()
    }
    return jobs, keys, sorted(state.open_jobs)


class StateMachine(TestCase):
    def test_dump_encoded_and_copy_rebuild_the_same_state(self):
        for seed in range(30):
            rows = random_entries(seed)
            state, cached = BatchState(), BatchState()
            for position, row in enumerate(rows):
                state.apply(row)
                cached.apply(row)
                if position % 7 == 0:
                    cached.encoded()
            dumped, encoded = BatchState(), BatchState()
            for row in state.dump():
                dumped.apply(row)
            for row in cached.encoded():
                encoded.apply(decode(row))
            copied = state.copy()
            for other in (dumped, encoded, copied):
                self.assertThat(
                    comparable_state(other), Equals(comparable_state(state)), f"seed {seed}"
                )

    def test_a_copy_is_independent(self):
        state = BatchState()
        for row in random_entries(1)[:4]:
            state.apply(row)
        state.apply(entries.KeyOpened(key="k", digest="d", edge="e", request_id="t", at_ms=1))
        before = comparable_state(state)
        copied = state.copy()
        for row in (
            entries.ItemClaimed(job_id="l0", index=0, edge="e", claim_number=1),
            entries.JobCancelled(job_id="l2", at_ms=1),
            entries.KeyClosed(key="k", request_id="t", state="void", status=0, body="", at_ms=1),
        ):
            copied.apply(row)
        self.assertThat(comparable_state(state), Equals(before))
        self.assertThat(comparable_state(copied) == before, Equals(False))

    def test_results_are_listed_in_order_under_the_present_listing_lease(self):
        state = BatchState()
        state.apply(random_entries(1)[0])
        steps = [
            (entries.ItemFinished(job_id="l0", index=1, outcome="ran", body="1", worker=""), 0),
            (entries.ListingLeaseGranted(job_id="l0", edge="a", epoch=1), 0),
            (entries.ListingAdvanced(job_id="l0", up_to=1, epoch=1), 0),
            (entries.ItemFinished(job_id="l0", index=0, outcome="ran", body="0", worker=""), 0),
            (entries.ListingLeaseGranted(job_id="l0", edge="b", epoch=2), 0),
            (entries.ListingAdvanced(job_id="l0", up_to=2, epoch=1), 0),
            (entries.ListingAdvanced(job_id="l0", up_to=3, epoch=2), 0),
            (entries.ListingAdvanced(job_id="l0", up_to=2, epoch=2), 2),
            (entries.ItemFinished(job_id="l0", index=0, outcome="ran", body="other", worker=""), 2),
        ]
        for entry, listed in steps:
            state.apply(entry)
            self.assertThat(state.jobs["l0"].listed, Equals(listed))
        self.assertThat(state.jobs["l0"].items[0].result, Equals("0"))
