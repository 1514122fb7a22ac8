"""Archive files of finished jobs and keys: reading them after a restart and from a new leader, transfer to a new store,
detection and repair of damage, and removal.
"""

from replicated_log.archive import ARCHIVE_PREFIX
from simulator import judge
from simulator.runs import Run
from testtools import TestCase
from testtools.matchers import Equals


class ArchiveFiles(TestCase):
    def fleet_with_archives(self, seed=8):
        run = Run(seed, settings={"segment_bytes": 4096})
        run.start()
        fleet = run.fleet
        fleet.run_until_true(lambda: False, 800)
        for path in ("summaries", "claims", "summaries"):
            name = run.clients.submit(path, 30)
            self.assertThat(
                fleet.run_until_true(lambda name=name: run.clients.jobs[name].done, 12_000),
                Equals(True),
            )
        moves = []
        run.clients.make_live_call("moves", "kept", done=moves.append)
        fleet.run_until_true(lambda: moves, 4000)
        fleet.run_until_true(lambda: False, 600)
        for host in fleet.with_role("store"):
            host.node.log.log.maintain_snapshot(True)
        self.assertThat(
            fleet.run_until_true(
                lambda: all(self.all_archived(host) for host in fleet.with_role("store")), 9000
            ),
            Equals(True),
        )
        return run, fleet

    def all_archived(self, host):
        jobs = host.node.log.log.state.jobs
        return len(jobs) == 3 and all(
            job.archived is not None and not job.items for job in jobs.values()
        )

    def archive_files(self, host):
        return [name for name in host.disk.names() if name.startswith(ARCHIVE_PREFIX)]

    def count_results(self, run, job_id):
        seen = []
        run.clients.read(job_id, seen.append, 0)
        run.fleet.run_until_true(lambda: seen, 4000)
        return seen[0]["listed"] if seen else None

    def check_nothing_lost(self, run):
        run.read_all()
        self.assertThat(
            judge(run.fleet.history, ["kept-at-the-end", "bodies-are-whole"]), Equals({})
        )
        self.assertThat(len(run.fleet.history.rows_of("final")), Equals(len(run.clients.jobs)))

    def test_archived_contents_are_read_after_power_loss_and_by_a_new_leader(self):
        run, fleet = self.fleet_with_archives()
        for host in fleet.with_role("store"):
            host.lose_power()
            host.start()
        self.assertThat(
            fleet.run_until_true(lambda: fleet.leader() is not None, 8000), Equals(True)
        )
        self.assertThat(self.count_results(run, "lot1"), Equals(30))
        fleet.leader().kill()
        fleet.run_until_true(lambda: False, 3000)
        again = []
        run.clients.make_live_call("moves", "kept", 5, done=again.append)
        fleet.run_until_true(lambda: again and again[-1]["outcome"] == "replay", 8000)
        self.assertThat(again[-1]["outcome"], Equals("replay"))
        self.check_nothing_lost(run)

    def test_a_standby_has_the_archive_files_before_it_is_a_member(self):
        run, fleet = self.fleet_with_archives()
        for number in range(3):
            fleet.hosts.pop(f"store{number + 1}").lose_disk()
            fresh = fleet.add("store", f"fresh{number + 1}")

            def joined(fresh=fresh):
                value = fleet.with_role("edge")[0].node.config_feed.value("log")
                return value["phase"] == "serving" and fresh.node.log.log.identity in {
                    row["identity"] for row in value["members"]
                }

            self.assertThat(fleet.run_until_true(joined, 15_000), Equals(True))
            self.assertThat(
                fresh.node.log.log.archive.referenced() <= set(self.archive_files(fresh)),
                Equals(True),
            )
        self.check_nothing_lost(run)

    def test_a_damaged_block_is_not_returned_and_a_read_repairs_it(self):
        run, fleet = self.fleet_with_archives()
        leader = fleet.leader()
        job = leader.node.log.log.state.jobs["lot2"]
        leader.disk.damage(job.archived.file, job.archived.block_offsets[0] + 40)
        self.assertThat(leader.node.log.log.archive.read_results(job, 0, 10), Equals(None))
        self.assertThat(self.count_results(run, "lot2"), Equals(30))
        self.assertThat(len(leader.node.log.log.archive.read_results(job, 0, 10)), Equals(10))
        self.check_nothing_lost(run)

    def test_a_block_of_another_job_is_not_returned(self):
        """The reference to a job's results leads to an intact block, but of another job."""
        run, fleet = self.fleet_with_archives()
        log = fleet.leader().node.log.log
        one, other = log.state.jobs["lot1"], log.state.jobs["lot3"]
        one.archived.file, one.archived.block_offsets, one.archived.block_sizes = (
            other.archived.file,
            other.archived.block_offsets,
            other.archived.block_sizes,
        )
        self.assertThat(log.archive.read_results(one, 0, 10), Equals(None))
        self.assertThat(self.count_results(run, "lot1"), Equals(30))
        self.check_nothing_lost(run)

    def test_the_periodic_check_repairs_a_block_that_is_not_read(self):
        run, fleet = self.fleet_with_archives()
        host = next(host for host in fleet.with_role("store") if host is not fleet.leader())
        log = host.node.log.log
        job, key = log.state.jobs["lot1"], log.state.keys["kept"]
        host.disk.damage(job.archived.file, job.archived.block_offsets[0] + 40)

        def is_intact():
            results = log.archive.read_results(job, 0, 9) or []
            return len(results) == 9 and (key.archived is None or log.archive.read_answer(key))

        self.assertThat(bool(is_intact()), Equals(False))
        files = len(self.archive_files(host))
        self.assertThat(
            bool(fleet.run_until_true(is_intact, (files + 1) * host.settings.removal_timeout_ms)),
            Equals(True),
        )

    def test_the_periodic_check_repairs_a_damaged_response_of_a_key(self):
        run, fleet = self.fleet_with_archives()
        host = next(host for host in fleet.with_role("store") if host is not fleet.leader())
        log = host.node.log.log
        key = log.state.keys["kept"]
        answer = log.archive.read_answer(key)
        self.assertThat(bool(answer), Equals(True))
        host.disk.damage(key.archived.file, key.archived.block_offset + 10)
        self.assertThat(log.archive.read_answer(key), Equals(None))
        files = len(self.archive_files(host))
        fleet.run_until_true(
            lambda: log.archive.read_answer(log.state.keys["kept"]),
            (files + 1) * host.settings.removal_timeout_ms,
        )
        self.assertThat(log.archive.read_answer(log.state.keys["kept"]), Equals(answer))

    def test_archive_files_of_expired_jobs_are_removed(self):
        run = Run(6, settings={"keep_ms": 2000, "segment_bytes": 4096})
        run.start()
        fleet = run.fleet
        for _ in range(3):
            run.clients.submit("summaries", 30)
            fleet.run_until_true(lambda: False, 2500)
        store = fleet.with_role("store")[0]
        self.assertThat(len(self.archive_files(store)) > 0, Equals(True))
        old = set(self.archive_files(store))
        self.assertThat(
            fleet.run_until_true(lambda: not store.node.log.log.state.jobs, 60_000), Equals(True)
        )
        store.node.log.log.maintain_snapshot(True)
        self.assertThat(
            bool(fleet.run_until_true(lambda: not old & set(self.archive_files(store)), 20_000)),
            Equals(True),
        )
