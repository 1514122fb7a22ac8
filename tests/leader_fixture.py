"""A batch service with a manual clock, under a fake leader of the log."""

from types import SimpleNamespace

from batch_state import BatchState, messages
from batch_state.batch_service import BatchService
from messaging import Origin, decode, encode

SETTINGS = SimpleNamespace(
    heartbeat_ms=200,
    failure_timeout_ms=1000,
    claim_revocation_ms=3300,
    request_timeout_ms=500,
    max_submission_age_ms=1000,
    resume_ms=12000,
    keep_ms=60_000,
    max_open_job_bytes=8 << 20,
)


class SingleNodeLeader:
    """A leader of the log without followers.

    Appends commit at once, or with `manual_commit` at the next `commit()`. With `full`, appends that
    aren't urgent are refused.
    """

    def __init__(self):
        self.epoch, self.deposed = 1, False
        self.state, self.committed_state = BatchState(), BatchState()
        self.full = self.manual_commit = False
        self.uncommitted = []

    def append(self, entries, committed, done, urgent=False):
        if self.full and not urgent:
            done("full")
            return False
        for entry in entries:
            self.state.apply(decode(encode(entry)))
        self.uncommitted.append((entries, done))
        if not self.manual_commit:
            self.commit()
        return True

    def commit(self):
        appends, self.uncommitted = self.uncommitted, []
        for entries, done in appends:
            for entry in entries:
                self.committed_state.apply(decode(encode(entry)))
            done("kept")

    def read(self, done):
        done(True)


class FakeProfiles:
    """Profiles of two routes; route/a has a backlog limit of 100 tokens."""

    def __init__(self, *names):
        self.names = names or ("route/a", "route/b")

    def usable(self, name):
        return (
            SimpleNamespace(attempts=3, waiting_tokens=100 if name == "route/a" else 0)
            if name in self.names
            else None
        )

    def backlog_limit(self, name):
        return None


class LeaderFixture:
    """A batch service under a leader.

    `request` sends a request and returns its number; `response` returns the latest response to the
    request of a number, or None.
    """

    def __init__(self):
        self.now_ms = 50_000
        self.profiles = (7, FakeProfiles())
        self.replies, self.log_events = {}, []
        env = SimpleNamespace(
            now=lambda: self.now_ms,
            wall=lambda: 1_000_000,
            log=lambda event, level="INFO", **fields: self.log_events.append(event),
        )
        node = SimpleNamespace(
            env=env,
            settings=SETTINGS,
            reply=lambda origin, message: self.replies.setdefault(origin.request_id, []).append(
                message
            ),
        )
        self.leader = SingleNodeLeader()
        self.service = BatchService(
            lambda: self.profiles, lambda: (9, "10.0.0.9:1"), lambda: self.leader.committed_state
        )
        self.service.attach(node)
        self.service.set_leader(self.leader)
        self._request_number = 0

    def request(self, message):
        self._request_number += 1
        self.service.receive(message, Origin("edge", self._request_number))
        return self._request_number

    def response(self, number):
        return self.replies.get(number, [None])[-1]

    def advance(self, wait_ms):
        self.now_ms += wait_ms
        self.service.tick()

    def submit(
        self,
        job_id,
        tokens=(10,),
        path="route/a",
        digest="d",
        age_ms=0,
        epoch=1,
        keep_ms=30_000,
        version=7,
        attempts=3,
        call_bytes=0,
    ):
        ids = [f"{job_id}-{index}" for index in range(len(tokens))]
        return self.response(
            self.request(
                messages.SubmitForwardJob(
                    job_id=job_id,
                    digest=digest,
                    path=path,
                    item_ids=ids,
                    tokens=list(tokens),
                    calls=[(b"call" + name.encode()).ljust(call_bytes) for name in ids],
                    attempts=attempts,
                    due_ms=10_000,
                    keep_ms=keep_ms,
                    version=version,
                    epoch=epoch,
                    leader_ms=self.now_ms - age_ms,
                )
            )
        )

    def heartbeat(
        self, edge="e1", capacity=9, running=(), paths=("route/a", "route/b"), address=""
    ):
        return self.request(
            messages.EdgeHeartbeat(
                edge=edge,
                address=address or edge,
                capacity=capacity,
                paths=list(paths),
                running=list(running),
            )
        )

    def assignments(self, number):
        return [decode(row) for row in self.response(number).work]

    def report(self, work, outcome="finished", text=b"t", worker="w1", edge="e1"):
        rows = work if isinstance(work, list) else [work]
        return self.request(
            messages.ReportItemOutcomes(
                edge=edge,
                rows=[
                    encode(
                        messages.ItemOutcome(
                            job_id=row.job_id,
                            index=row.index,
                            claim_number=row.claim_number,
                            outcome=outcome,
                            text=text,
                            worker=worker,
                        )
                    )
                    for row in rows
                ],
            )
        )

    def list_results(self, job_id, position=0, wait_ms=0):
        return self.request(
            messages.ListForwardResults(
                job_id=job_id, from_position=position, limit_bytes=1000, wait_ms=wait_ms
            )
        )

    def listed_results(self, job_id):
        return [
            (row.item_id, row.outcome)
            for row in map(decode, self.response(self.list_results(job_id)).rows)
        ]
