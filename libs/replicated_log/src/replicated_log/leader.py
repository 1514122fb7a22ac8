"""The leader of the log for one epoch.

An append is written without a flush, sent to the followers and acknowledged once f of them have it
in memory. After 2 `delta_ms` it is acknowledged only once it is committed, that is durable on f+1
disks; after `request_timeout_ms` its outcome is UNKNOWN. A caller may require the commit from the
start (`durable`), which requests a flush at once. A read completes once f followers have confirmed
that no higher epoch has fenced them.
"""

from collections.abc import Callable

from batch_state.entries import JobArchived, KeyArchived
from batch_state.state import BatchState
from messaging import Message, encode
from runtime.settings import Settings
from storage import DiskFullError

from replicated_log.configuration import ReplicaAddress
from replicated_log.follower_progress import FollowerProgress
from replicated_log.local_log import LocalLog
from replicated_log.messages import AppendResponse, Stamp
from replicated_log.pending_appends import AppendCallback, Outcome, PendingAppend, PendingAppends
from replicated_log.pending_reads import PendingReads, ReadCallback
from replicated_log.quorums import Quorums, confirmed_probe, replicated_seq
from replicated_log.records import decode_entry
from replicated_log.replica_health import ReplicaHealth
from replicated_log.replicator import Replicator

__all__ = ["Leader", "Outcome"]

# Upper bound of the disk space that an entry takes in addition to its encoded form.
_ENTRY_OVERHEAD_BYTES = 64
_ALL_BYTES = 1 << 62


def _do_nothing() -> None:
    return None


class Leader:
    """Appends, reads and replication of one epoch, until a higher epoch deposes the leader.

    `state` is the state after all records, including those that aren't committed yet; see
    `committed_state`. `base_seq` is the last record of the recovered log.

    Parameters
    ----------
    log
        The recovered log of this store.
    epoch
        The epoch to lead.
    members
        The members of the log, including this store.
    settings
        The settings of the process.
    now
        Returns the leader's clock in milliseconds.
    wall
        Returns the time of day in milliseconds, from which the stamps of records are made.
    send
        Sends a message to an address.
    on_deposed
        Called with the fence of the first response whose fence is higher than `epoch`.
    on_adopted
        Called once when f followers have the recovered log on disk under this epoch.
    """

    __slots__ = (
        "_appends",
        "_flush_requested",
        "_log",
        "_now",
        "_on_adopted",
        "_on_deposed",
        "_quorums",
        "_reads",
        "_replicator",
        "_wall",
        "base_seq",
        "deposed",
        "epoch",
        "health",
        "settings",
        "state",
    )

    def __init__(
        self,
        log: LocalLog,
        epoch: int,
        members: list[ReplicaAddress],
        settings: Settings,
        now: Callable[[], int],
        wall: Callable[[], int],
        send: Callable[[str, Message], None],
        on_deposed: Callable[[int], None],
        on_adopted: Callable[[], None] = _do_nothing,
    ) -> None:
        self._log = log
        self.epoch = epoch
        self.settings = settings
        self._now, self._wall = now, wall
        self._on_deposed = on_deposed
        self._on_adopted: Callable[[], None] | None = on_adopted
        self.base_seq = log.last_seq
        self.deposed = False
        self._appends = PendingAppends()
        self._reads = PendingReads()
        self._flush_requested = False
        self._replicator = Replicator(log, epoch, members, settings, now, send)
        names = [identity for identity, _ in members]
        self._quorums = Quorums(names, self.followers)
        self.health = ReplicaHealth(log, self.followers, self._quorums, settings, now)
        self.state = log.state.copy()
        for record in log.records_from(log.committed_seq + 1, _ALL_BYTES):
            self.state.apply(decode_entry(record))

    def apply_settings(self, settings: Settings) -> None:
        """Apply changed settings."""
        self.settings = self._replicator.settings = self.health.settings = settings

    @property
    def committed_state(self) -> BatchState:
        """The state after the last committed record."""
        return self._log.state

    @property
    def members(self) -> list[str]:
        """The identities of the present members."""
        return self._quorums.members

    @property
    def followers(self) -> dict[str, FollowerProgress]:
        """The replication progress of each follower, member or standby, by identity."""
        return self._replicator.followers

    def drop_archived(self, entry: JobArchived | KeyArchived) -> None:
        """Drop an archived job or key from `state` if `state` still holds it."""
        if isinstance(entry, JobArchived):
            known = entry.job_id in self.state.jobs
        else:
            known = entry.key in self.state.keys
        if known:
            self.state.apply(entry)

    def append(
        self,
        entries: list[Message],
        durable: bool,
        done: AppendCallback,
        urgent: bool = False,
    ) -> bool:
        """Append all entries or none, and return whether they were appended.

        Parameters
        ----------
        entries
            The entries, each of which becomes one record.
        durable
            Acknowledge the append only once it is committed.
        done
            Called once with the outcome; at once if the append is rejected, with FULL if a disk has
            no space and with UNKNOWN if the leader has been deposed.
        urgent
            Allow the append to use the reserved part of this disk, also while fewer than f other
            members have disk space.
        """
        bodies = [encode(entry) for entry in entries]
        if self.deposed or not self._has_space_for(bodies, urgent):
            done(Outcome.UNKNOWN if self.deposed else Outcome.FULL)
            return False
        if not self._write(entries, bodies, urgent):
            done(Outcome.FULL)
            return False
        for entry in entries:
            self.state.apply(entry)
        self._appends.add(PendingAppend(self._log.last_seq, durable, self._now(), done))
        if durable:
            self._bring_flush_forward()
        self._replicator.send_to_all()
        return True

    def _has_space_for(self, bodies: list[bytes], urgent: bool) -> bool:
        needed_bytes = sum(len(body) + _ENTRY_OVERHEAD_BYTES for body in bodies)
        return self._log.disk.has_room(needed_bytes, urgent) and (urgent or self.health.has_space())

    def _write(self, entries: list[Message], bodies: list[bytes], urgent: bool) -> bool:
        """Write all entries to this store's log, or none and return False if the disk is full."""
        last_seq = self._log.last_seq
        try:
            for body, entry in zip(bodies, entries, strict=True):
                self._log.append(self._log.next_record(self._next_stamp(), body), urgent, entry)
        except DiskFullError:
            self._log.truncate_after(last_seq)
            self._replicator.forget_encoded()
            return False
        return True

    def _next_stamp(self) -> Stamp:
        return Stamp(self.epoch, max(self._wall(), self._log.last_stamp.time_ms + 1))

    def has_pending_appends(self) -> bool:
        """Whether any append waits for its acknowledgement."""
        return bool(self._appends)

    def read(self, done: ReadCallback) -> None:
        """Confirm that this store still leads the log.

        `done` is called with True once f followers have confirmed the epoch after this call, and
        with False after `request_timeout_ms` or when the leader stops.
        """
        self._reads.add(done, self._now())
        self._replicator.probe = self._reads.last_probe
        self._replicator.send_to_all()

    def add_learner(self, identity: str, address: str) -> None:
        """Start to replicate to a standby; it counts for no quorum until it is a member."""
        self._replicator.add(identity, address)

    def set_standbys(self, standbys: list[ReplicaAddress]) -> None:
        """Replicate to the members and to these standby replicas only."""
        self._replicator.remove_others([*self.members, *(standby.identity for standby in standbys)])
        for identity, address in standbys:
            self._replicator.add(identity, address)

    def handle_response(self, message: AppendResponse, address: str) -> None:
        """Process a follower's response; a fence higher than this epoch deposes the leader."""
        if message.fence > self.epoch:
            self._depose(message.fence)
            return
        follower = self.followers.get(message.identity)
        if follower is not None and not self.deposed:
            self._replicator.handle_response(follower, message, address)
            self.progress()

    def progress(self) -> None:
        """Commit records, acknowledge appends and complete reads as far as the quorums allow.

        The first commit covers the whole recovered log.
        """
        faults = self.settings.store_faults
        committed_seq = self._quorums.committed_seq(faults, self._log.flushed_seq)
        if committed_seq > self._log.committed_seq and committed_seq >= self.base_seq:
            self._log.commit(committed_seq)
        replicated = self._quorums.reached(faults, replicated_seq)
        self._appends.finish(
            Outcome.ACKNOWLEDGED, lambda pending: self._is_ready(pending, replicated)
        )
        if self._on_adopted is not None and self.adopted():
            on_adopted, self._on_adopted = self._on_adopted, None
            on_adopted()
        self._reads.confirm(self._quorums.reached(faults, confirmed_probe))

    def _is_ready(self, pending: PendingAppend, replicated: int) -> bool:
        """Whether an append may be acknowledged.

        `replicated` is the last record that f followers have in memory.
        """
        if pending.durable or self._now() - pending.at_ms >= 2 * self.settings.delta_ms:
            return pending.seq <= self._log.committed_seq
        return pending.seq <= replicated

    def adopted(self) -> bool:
        """Whether this store and f members have the recovered log on disk under this epoch."""
        count = sum(
            follower.adopted and follower.flushed_seq >= self.base_seq
            for follower in self._quorums.voting_followers()
        )
        return count >= self.settings.store_faults and self._log.flushed_seq >= self.base_seq

    def begin_change(self, new_members: list[str]) -> None:
        """Start a change of members: from now on a quorum of each list is needed."""
        self._quorums.begin_change(new_members, self._log.last_seq)
        self._bring_flush_forward()

    def is_change_ready(self) -> bool:
        """Whether a quorum of the new members has on disk all records before the change."""
        return self._quorums.is_change_ready(self.settings.store_faults, self._log.flushed_seq)

    def end_change(self, applied: bool) -> None:
        """End a change of members; if it was `applied`, the new list replaces the present one."""
        self._quorums.end_change(applied)
        self.progress()

    def _bring_flush_forward(self) -> None:
        self._replicator.flush_wanted_seq = self._log.last_seq
        if not self._flush_requested:
            self._request_flush()

    def _request_flush(self) -> None:
        self._flush_requested = True
        self._log.flush(self._flushed)

    def _flushed(self, ok: bool) -> None:
        self._flush_requested = False
        if self.deposed:
            return
        self.progress()
        if ok and self._log.flushed_seq < self._replicator.flush_wanted_seq:
            self._request_flush()

    def tick(self) -> None:
        """Do the periodic work: time-outs, due flushes, resends, heartbeats and snapshots."""
        now_ms = self._now()
        self.health.tick()
        if self._appends.any_before(now_ms - 2 * self.settings.delta_ms):
            self._bring_flush_forward()
        expired_ms = now_ms - self.settings.request_timeout_ms
        self._appends.finish(Outcome.UNKNOWN, lambda pending: pending.at_ms <= expired_ms)
        self._reads.expire(expired_ms)
        if self._log.is_flush_due():
            self._bring_flush_forward()
        self._replicator.send_due()
        self.progress()
        self._log.maintain_snapshot()

    def _depose(self, fence: int) -> None:
        if not self.deposed:
            self.stop()
            self._on_deposed(fence)

    def stop(self) -> None:
        """Stop: end all pending appends with UNKNOWN and fail all pending reads."""
        self.deposed = True
        appends, reads = self._appends.take_all(), self._reads.take_all()
        for pending in appends:
            pending.done(Outcome.UNKNOWN)
        for read_done in reads:
            read_done(False)
