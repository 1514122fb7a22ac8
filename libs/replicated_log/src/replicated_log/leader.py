"""The leader of the log for one epoch, called the holder.

An append is written without a flush, sent to the followers and acknowledged once f of them have it
in memory. After 2 delta it is acknowledged only once it is settled, that is durable on f+1 disks;
after `request_timeout_ms` its outcome is unknown. A caller may wait for settling from the start,
which brings the flush forward. Reads wait until f followers have confirmed that this epoch isn't
fenced.
"""

from collections.abc import Callable
from typing import Any

from batch_state import BatchState
from batch_state.entries import JobArchived
from messaging import Message, encode
from storage import DiskFullError

from replicated_log.follower_progress import EncodedRecordCache, FollowerProgress, SnapshotSender
from replicated_log.local_log import LocalLog
from replicated_log.messages import AppendRequest, AppendResponse
from replicated_log.pending_appends import Outcome, PendingAppend
from replicated_log.quorums import Quorums, confirmed_probe, held
from replicated_log.records import decode_entry

__all__ = ["Leader", "Outcome"]

_CHUNK_BYTES = 1 << 18
_SNAPSHOT_ENDS = ("installed", "full", "damaged")


class Leader:
    """Appends, reads and replication of one epoch, until a higher epoch deposes the holder.

    `state` includes records not settled yet; `base_seq` is the end of the recovered log.
    """

    __slots__ = (
        "_flush_asked",
        "_flush_wanted_seq",
        "_level_seq",
        "_log",
        "_on_adopted",
        "_on_deposed",
        "_post",
        "_probe",
        "_quorums",
        "_readers",
        "_snapshots",
        "_wall",
        "_wires",
        "_now",
        "base_seq",
        "deposed",
        "epoch",
        "state",
        "settings",
        "followers",
        "pending_appends",
    )

    def __init__(
        self,
        log: LocalLog,
        epoch: int,
        members: list[tuple[str, str]],
        settings: Any,
        now: Callable[[], int],
        wall: Callable[[], int],
        post: Callable[[str, Message], None],
        on_deposed: Callable[[int], None],
        on_adopted: Callable[[], None] = lambda: None,
    ) -> None:
        self._log = log
        self.epoch = epoch
        self.settings = settings
        self._now, self._wall, self._post = now, wall, post
        self._snapshots = SnapshotSender(
            log, epoch, settings, now, lambda to, message: self._post(to, message)
        )
        self._on_deposed = on_deposed
        self._on_adopted: Callable[[], None] | None = on_adopted
        self.base_seq = log.last_seq
        self.followers = {
            identity: FollowerProgress(identity, address, log.last_seq + 1, now())
            for identity, address in members
            if identity != log.identity
        }
        self._quorums = Quorums([identity for identity, _ in members], self.followers)
        self.pending_appends: list[PendingAppend] = []
        self._readers: list[tuple[int, Callable[[bool], None], int]] = []
        self._probe = 0
        self._wires = EncodedRecordCache()
        self._flush_asked = False
        self._flush_wanted_seq = 0
        self._level_seq = (log.committed_seq, log.committed_seq, now())
        self.deposed = False
        self.state = log.state.copy()
        for record in log.records_from(log.committed_seq + 1, 1 << 62):
            self.state.apply(decode_entry(record))

    @property
    def committed_state(self) -> BatchState:
        """The ledger folded up to the last settled record."""
        return self._log.state

    def drop_archived(self, entry: Message) -> None:
        """Drop what was archived in a file from the unsettled ledger, if it is over there too."""
        known = self.state.jobs if isinstance(entry, JobArchived) else self.state.keys
        if (entry.job_id if isinstance(entry, JobArchived) else entry.key) in known:
            self.state.apply(entry)

    def append(
        self,
        entries: list[Message],
        durable: bool,
        done: Callable[[Outcome], None],
        urgent: bool = False,
    ) -> bool:
        """Append all entries or none; `done` gets the outcome of the last. False if refused."""
        bodies = [encode(entry) for entry in entries]
        need_bytes = sum(len(body) + 64 for body in bodies)
        if (
            self.deposed
            or not self._log.disk.roomy(need_bytes, urgent)
            or (not urgent and self._followers_full())
        ):
            done(Outcome.UNKNOWN if self.deposed else Outcome.FULL)
            return False
        before = self._log.last_seq
        try:
            for body, entry in zip(bodies, entries, strict=True):
                self._log.write(self._log.make(self._stamp(), body), urgent, entry)
        except DiskFullError:
            self._log.truncate_after(before)
            self._wires.clear()
            done(Outcome.FULL)
            return False
        for entry in entries:
            self.state.apply(entry)
        self.pending_appends.append(PendingAppend(self._log.last_seq, durable, self._now(), done))
        if durable:
            self._bring_flush_forward()
        for follower in self.followers.values():
            self._send(follower)
        return True

    def _stamp(self) -> tuple[int, int]:
        return (self.epoch, max(self._wall(), self._log.last_stamp[1] + 1))

    def _followers_full(self) -> bool:
        roomy = sum(
            1
            for name in self.members
            if name in self.followers and not self.followers[name].disk_full
        )
        return roomy < self.settings.store_faults

    def read(self, done: Callable[[bool], None]) -> None:
        """Call back with True once f followers have confirmed this epoch after now, else False."""
        self._probe += 1
        self._readers.append((self._probe, done, self._now()))
        for follower in self.followers.values():
            self._send(follower)

    def _send(self, follower: FollowerProgress, flush: bool = False) -> None:
        log = self._log
        follower.last_sent_ms = self._now()
        if self._now() - follower.last_heard_ms > self.settings.failure_timeout_ms:
            follower.next_seq = log.last_seq + 1
        previous = log.stamp_at(follower.next_seq - 1)
        if previous is None or follower.next_seq < log.first_seq:
            self._snapshots.send(follower, self._probe)
            return
        records = log.records_from(follower.next_seq, _CHUNK_BYTES)
        follower.position = follower.next_seq - 1
        wanted = flush or self._flush_wanted_seq > follower.flushed_seq
        self._post(
            follower.address,
            AppendRequest(
                epoch=self.epoch,
                base_seq=self.base_seq,
                prev_seq=follower.next_seq - 1,
                prev_epoch=previous[0],
                prev_ms=previous[1],
                records=[self._wires.bytes_of(record) for record in records],
                committed_seq=log.committed_seq,
                flush=wanted,
                probe=self._probe,
            ),
        )
        follower.next_seq += len(records)

    def handle_response(self, message: AppendResponse, address: str) -> None:
        """Take in a follower's answer; a higher fence in it deposes this holder."""
        if message.fence > self.epoch:
            self._depose(message.fence)
            return
        follower = self.followers.get(message.identity)
        if follower is None or self.deposed:
            return
        follower.address = address
        follower.last_heard_ms = self._now()
        if message.ok or message.reason in _SNAPSHOT_ENDS:
            follower.snapshot = b""
        elif follower.snapshot and message.reason in ("busy", "part"):
            self._snapshots.handle_response(follower, message, self._probe)
        follower.disk_full = message.reason == "full" or not message.roomy
        follower.probe = max(follower.probe, message.probe)
        if message.ok:
            follower.last_seq = message.last_seq
            follower.flushed_seq = message.flushed_seq
            follower.adopted = message.log_epoch == self.epoch
            follower.next_seq = max(follower.next_seq, message.last_seq + 1)
            if follower.next_seq <= self._log.last_seq:
                self._send(follower)
        elif message.reason == "installed":
            follower.next_seq = message.last_seq + 1
            self._send(follower)
        elif message.reason == "full":
            follower.next_seq = min(follower.next_seq, message.last_seq + 1)
        elif (
            message.reason == "gap"
            and message.position == follower.position
            and not follower.snapshot
        ):
            self._step_back(follower, message)
        self.progress()

    def _step_back(self, follower: FollowerProgress, message: AppendResponse) -> None:
        """Go one record back, but not behind the follower's snapshot, which is settled throughout.

        Answers to sends before the last one are ignored, or each would cause a send of its own.
        """
        if message.position <= message.snapshot_seq and message.position < self._log.snapshot_seq:
            self._snapshots.send(follower, self._probe)
            return
        follower.next_seq = max(
            1, message.snapshot_seq + 1, min(message.last_seq + 1, message.position)
        )
        self._send(follower)

    def add_learner(self, identity: str, address: str) -> None:
        """Start to replicate to a spare, which counts in no quorum until it is a member."""
        if identity not in self.followers and identity != self._log.identity:
            self.followers[identity] = FollowerProgress(
                identity, address, self._log.last_seq + 1, self._now()
            )

    def set_standbys(self, spares: list[tuple[str, str]]) -> None:
        """Replicate to these spares and to no others."""
        names = [identity for identity, _ in spares]
        for identity in [
            identity
            for identity in self.followers
            if identity not in self.members and identity not in names
        ]:
            del self.followers[identity]
        for identity, address in spares:
            self.add_learner(identity, address)

    def is_responsive(self, identity: str) -> bool:
        """Whether a follower has adopted this epoch and was heard within `leader_suspicion_ms`."""
        follower = self.followers.get(identity)
        return (
            follower is not None
            and follower.adopted
            and self._now() - follower.last_heard_ms < self.settings.leader_suspicion_ms
        )

    def is_caught_up(self, identity: str) -> bool:
        """Whether a store is level: in touch, and with what was settled a pulse ago on its disk.

        Under load the settled end is always a little ahead of the reports of slower disks.
        """
        follower = self.followers.get(identity)
        return (
            follower is not None
            and follower.adopted
            and follower.flushed_seq >= self._level_seq[0]
            and self._now() - follower.last_heard_ms < self.settings.failure_timeout_ms
        )

    def count_caught_up(self) -> int:
        """Return how many members, this store among them, are level and in touch."""
        own = self._log.flushed_seq >= self._level_seq[0]
        return own + sum(self.is_caught_up(name) for name in self.members)

    def has_quorum(self) -> bool:
        """Whether f members have answered within `leader_suspicion_ms`: a quorum is in touch."""
        floor_ms = self._now() - self.settings.leader_suspicion_ms
        return (
            sum(follower.last_heard_ms >= floor_ms for follower in self._voting())
            >= self.settings.store_faults
        )

    @property
    def members(self) -> list[str]:
        """The identities of the members in force."""
        return self._quorums.members

    def _voting(self) -> list[FollowerProgress]:
        return self._quorums.followers_of(self.members)

    def progress(self) -> None:
        """Settle, acknowledge and answer reads as far as the followers' answers allow."""
        f = self.settings.store_faults
        committed_seq = self._quorums.committed_seq(f, self._log.flushed_seq)
        if committed_seq > self._log.committed_seq and committed_seq >= self.base_seq:
            self._log.commit(committed_seq)
        replicated_seq = self._quorums.reached(f, held)
        ready = [
            pending for pending in self.pending_appends if self._is_ready(pending, replicated_seq)
        ]
        if ready:
            self.pending_appends = [
                pending for pending in self.pending_appends if pending not in ready
            ]
            for pending in ready:
                pending.done(Outcome.ACKNOWLEDGED)
        if self._on_adopted is not None and self.adopted():
            on_adopted, self._on_adopted = self._on_adopted, None
            on_adopted()
        probe = self._quorums.reached(f, confirmed_probe)
        while self._readers and self._readers[0][0] <= probe:
            self._readers.pop(0)[1](True)

    def _is_ready(self, pending: PendingAppend, replicated_seq: int) -> bool:
        if pending.durable or self._now() - pending.at_ms >= 2 * self.settings.delta_ms:
            return pending.seq <= self._log.committed_seq
        return pending.seq <= replicated_seq

    def member_with_disk_space(self) -> str | None:
        """Return a member in touch with room on its disk if this store has none, else None."""
        if self._log.disk.roomy(0):
            return None
        return self._quorums.member_with_disk_space(self._now() - self.settings.failure_timeout_ms)

    def adopted(self) -> bool:
        """Whether f followers have the recovered log on disk under this epoch."""
        count = sum(
            1
            for follower in self._voting()
            if follower.adopted and follower.flushed_seq >= self.base_seq
        )
        return count >= self.settings.store_faults and self._log.flushed_seq >= self.base_seq

    def begin_change(self, following: list[str]) -> None:
        """Start a change of members: from now on a quorum of both lists is needed."""
        self._quorums.begin_change(following, self._log.last_seq)
        self._bring_flush_forward()

    def is_change_ready(self) -> bool:
        """Whether the following members have on disk all that was acknowledged without them."""
        return self._quorums.is_change_ready(self.settings.store_faults, self._log.flushed_seq)

    def end_change(self, made: bool) -> None:
        """End a change of members; the following list is in force if it was `made`."""
        self._quorums.end_change(made)
        self.progress()

    def _bring_flush_forward(self) -> None:
        self._flush_wanted_seq = self._log.last_seq
        if not self._flush_asked:
            self._flush_asked = True
            self._log.flush(self._flushed)

    def _flushed(self, ok: bool) -> None:
        self._flush_asked = False
        if self.deposed:
            return
        self.progress()
        if ok and self._log.flushed_seq < self._flush_wanted_seq:
            self._flush_asked = True
            self._log.flush(self._flushed)

    def tick(self) -> None:
        """Do the periodic work: time out callers, flush what is due, resend, and take snapshots."""
        now_ms = self._now()
        if now_ms - self._level_seq[2] >= self.settings.leader_heartbeat_ms:
            self._level_seq = (self._level_seq[1], self._log.committed_seq, now_ms)
        if any(
            now_ms - pending.at_ms >= 2 * self.settings.delta_ms for pending in self.pending_appends
        ):
            self._bring_flush_forward()
        given_up = [
            pending
            for pending in self.pending_appends
            if now_ms - pending.at_ms >= self.settings.request_timeout_ms
        ]
        self.pending_appends = [
            pending for pending in self.pending_appends if pending not in given_up
        ]
        for pending in given_up:
            pending.done(Outcome.UNKNOWN)
        while self._readers and now_ms - self._readers[0][2] >= self.settings.request_timeout_ms:
            self._readers.pop(0)[1](False)
        if self._log.is_flush_due():
            self._bring_flush_forward()
        for follower in self.followers.values():
            behind = (
                follower.last_seq < self._log.last_seq
                or follower.probe < self._probe
                or not follower.adopted
            )
            silent_ms = now_ms - follower.last_sent_ms
            if (
                behind and silent_ms >= 2 * self.settings.delta_ms
            ) or silent_ms >= self.settings.leader_heartbeat_ms:
                if behind:
                    follower.next_seq = (
                        follower.last_seq + 1
                        if follower.adopted
                        else min(follower.next_seq, self.base_seq + 1)
                    )
                self._send(follower)
        self.progress()
        self._log.maintain_snapshot()

    def _depose(self, fence: int) -> None:
        if not self.deposed:
            self.stop()
            self._on_deposed(fence)

    def stop(self) -> None:
        """Step down: report the outcome of all waiting callers as unknown."""
        self.deposed = True
        pending_appends, self.pending_appends = self.pending_appends, []
        readers, self._readers = self._readers, []
        for pending in pending_appends:
            pending.done(Outcome.UNKNOWN)
        for _, done, _ in readers:
            done(False)
