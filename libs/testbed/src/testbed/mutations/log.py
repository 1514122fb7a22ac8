"""Mutations of the replicated log, its disks and the batch state that is built on it."""

__all__ = ["MUTATIONS"]

_BATCH_JOBS = "tests/test_batch_jobs.py -k "
_LOG = "tests/test_log_conformance.py -k "
_STORE_FAULTS = "tests/test_store_faults.py -k "
_EXPLORE = "tests/test_explore_log.py -k "

MUTATIONS: dict[str, tuple[str, str, str, str]] = {
    "one job too many": (
        "batch_state/src/batch_state/admission.py",
        "state.backlog(message.path) >= capacity",
        "state.backlog(message.path) > capacity",
        _BATCH_JOBS + "exact",
    ),
    "late hand-ins are taken": (
        "batch_state/src/batch_state/leader_replies.py",
        "return (message.epoch != self._leader.epoch or not 0 <= age_ms <= self.node.settings.max_submission_age_ms)",
        "return False",
        _BATCH_JOBS + "late",
    ),
    "receipts before anything is settled": (
        "replicated_log/src/replicated_log/leader.py",
        "if pending.durable or self._now()",
        "if self._now()",
        _LOG + "cut_from_power",
    ),
    "acknowledged with one copy": (
        "replicated_log/src/replicated_log/leader.py",
        "return pending.seq <= replicated",
        "return True",
        _LOG + "f_followers",
    ),
    "one disk is enough": (
        "replicated_log/src/replicated_log/quorums.py",
        "return flushed_seqs[faults] if len(flushed_seqs) > faults else 0",
        "return flushed_seqs[0]",
        _LOG + "one_disk",
    ),
    "a stale holder goes on": (
        "replicated_log/src/replicated_log/follower.py",
        "if message.epoch < log.metadata.fence:",
        "if False:",
        _LOG + "stale_leader",
    ),
    "answers of an old log count": (
        "replicated_log/src/replicated_log/recovery.py",
        "top_epoch = max(answer.log_epoch for answer in self._answers.values())\n",
        "top_epoch = 0\n        for answer in self._answers.values():\n            answer.log_epoch = 0\n",
        "tests/test_recovery.py -k old_tail",
    ),
    "an unsafe report is acknowledged unsettled": (
        "batch_state/src/batch_state/result_reports.py",
        "self._leader.append(entries, not job.safe, appended, True)",
        "self._leader.append(entries, False, appended, True)",
        _BATCH_JOBS + "unsafe_report",
    ),
    "a damaged leaf is listed": (
        "storage/src/storage/frames.py",
        "return payload if zlib.crc32(payload) == checksum else None",
        "return payload",
        "tests/test_archive.py -k repairs_it",
    ),
    "records behind a hole are lost": (
        "replicated_log/src/replicated_log/queue_files.py",
        "while (at := find_frame_after_hole(data, stop)) is not None:",
        "while (at := None) is not None:",
        "tests/test_log_disks.py -k trimmed",
    ),
    "a fence for each message": (
        "replicated_log/src/replicated_log/metadata_file.py",
        """        if self._writing is not None and _covers(self._writing, wanted):
            self._waiting.append(done)
            return
        self._requests.append(_SaveRequest(wanted, done))
        if self._writing is None:
""",
        "        self._requests.append(_SaveRequest(wanted, done))\n        if True:\n",
        _LOG + "many_messages",
    ),
    "a leaf in another's place": (
        "replicated_log/src/replicated_log/archive_blocks.py",
        "return block.rows if block.name == name else None",
        "return block.rows",
        "tests/test_archive.py -k block_of_another_job",
    ),
    "a snapshot before its files": (
        "replicated_log/src/replicated_log/local_log.py",
        "        if not missing:\n",
        "        if True:\n",
        "tests/test_archive.py -k standby",
    ),
    "a lost listing lease stays lost": (
        "batch_state/src/batch_state/listing_leases.py",
        "if job.listable > job.listed and not self._edges.is_live(job.listing_edge):",
        "if False:",
        _BATCH_JOBS + "all_finished",
    ),
    "listed under an old listing lease": (
        "batch_state/src/batch_state/state.py",
        "job is not None and entry.epoch == job.listing_epoch and",
        "job is not None and",
        "tests/test_batch_state.py -k listing_lease",
    ),
    "whoever is cut off takes the duty": (
        "replicated_log/src/replicated_log/failure_detector.py",
        "if 1 + len(answers) < len(names) - faults:",
        "if False:",
        "tests/test_failover.py -k cut_off_from_the_other",
    ),
    "a holder that hears nobody is believed": (
        "replicated_log/src/replicated_log/log_replica.py",
        "has_quorum=self._is_leading(), caught_up",
        "has_quorum=True, caught_up",
        "tests/test_failover.py -k hears_nobody",
    ),
    "a tail that is no longer shared is kept": (
        "replicated_log/src/replicated_log/tail_fetch.py",
        "if record.seq <= shared_seq]",
        "if True]",
        "tests/test_recovery.py -k old_tail",
    ),
    "an old mark counts after a cut": (
        "replicated_log/src/replicated_log/flush_watermark.py",
        "return seq if fence == metadata.fence == metadata.log_epoch else 0",
        "return seq",
        "tests/test_recovery.py -k watermark",
    ),
    "a snapshot takes in what came after it": (
        "replicated_log/src/replicated_log/snapshot_writer.py",
        "            self._builder.before_apply(entry)\n",
        "            pass\n",
        "tests/test_recovery.py -k steps",
    ),
    "only the first in order holds": (
        "replicated_log/src/replicated_log/failure_detector.py",
        "return bool(now_ms - self._eligible_since_ms >= candidates.index(self._own_identity) * leader_heartbeat_ms)",
        "return self._own_identity == names[0]",
        _STORE_FAULTS + "empty_one_at_a_new_address",
    ),
    "a blank disk answers for the store that was counted on": (
        "replicated_log/src/replicated_log/tail_fetch.py",
        "if message.identity != self._source.identity:",
        "if False:",
        "tests/test_recovery.py -k replaced_by_a_blank_disk",
    ),
    "a recovery drops what is settled here": (
        "replicated_log/src/replicated_log/recovery.py",
        "if own_counts else self._committed_records())",
        "if own_counts else [])",
        "tests/test_recovery.py -k missed_a_recovery",
    ),
    "a short append cuts the log": (
        "replicated_log/src/replicated_log/follower.py",
        "if is_behind and not new_records and shared_seq < message.base_seq:",
        "if False:",
        "tests/test_recovery.py -k short_append",
    ),
    "a change asked for before the new members are level": (
        "replicated_log/src/replicated_log/membership_change.py",
        "if self._leader.is_change_ready():",
        "if True:",
        "tests/test_member_change.py -k caught_up_before",
    ),
    "what one list alone has is acknowledged during a change": (
        "replicated_log/src/replicated_log/quorums.py",
        "return [self.members] if self.new_members is None else [self.members, self.new_members]",
        "return [self.members]",
        "tests/test_member_change.py -k both_lists",
    ),
    "an answer to another message ends a snapshot on its way": (
        "replicated_log/src/replicated_log/replicator.py",
        "if message.ok or message.reason in _ENDS_OF_SNAPSHOT:",
        "if message.reason not in _STEPS_OF_SNAPSHOT:",
        "tests/test_second_losses.py -k burst",
    ),
    "a leaving member gives up a copy that is needed": (
        "replicated_log/src/replicated_log/log_replica.py",
        "needed = self._caught_up_reported - 1 < self.node.settings.store_faults + 1",
        "needed = False",
        "tests/test_second_losses.py -k leaving",
    ),
    "a takeover without answers is tried again at once": (
        "replicated_log/src/replicated_log/takeover.py",
        "return self._replica.node.env.now() >= self._not_before_ms",
        "return True",
        "tests/test_member_change.py -k spin",
    ),
    "an append overwrites what is settled": (
        "replicated_log/src/replicated_log/follower.py",
        "if new_records and shared_seq < log.committed_seq:",
        "if False:",
        "tests/test_recovery.py -k contradicts",
    ),
    "a fence is told before it is on disk": (
        "replicated_log/src/replicated_log/metadata_file.py",
        "self._disk.flush([_FILE], written)",
        "written(True)",
        _EXPLORE + "invariants_hold",
    ),
}
