"""The leader of the log for one epoch.

An append is written without a flush, sent to the followers and acknowledged once f of them have it
in memory. After 2 delta it is acknowledged only once it is committed, that is durable on f+1 disks;
after `request_timeout_ms` its outcome is unknown. A caller may wait for the commit from the start,
which brings the flush forward. Reads wait until f followers have confirmed that this epoch isn't
fenced.
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

# What an entry takes on the disk beyond its encoded form, at most.
_ENTRY_OVERHEAD_BYTES = 64
_ALL_BYTES = 1 << 62


def _do_nothing() -> None:
    return None


class Leader:
    """Appends, reads and replication of one epoch, until a higher epoch deposes the leader.

    `state` includes records that aren't committed yet; `base_seq` is the end of the recovered log.
    `members` are the stores to replicate to, this one among them. `now` is the leader's clock and
    `wall` the time of day, both in milliseconds; `send` sends a message to an address. The leader
    calls `on_adopted` once f followers have adopted the recovered log, and `on_deposed` with the
    higher fence that a follower has answered with.
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
        """Take over changed settings."""
        self.settings = self._replicator.settings = self.health.settings = settings

    @property
    def committed_state(self) -> BatchState:
        """The state after the last committed record."""
        return self._log.state

    @property
    def members(self) -> list[str]:
        """The identities of the members in force."""
        return self._quorums.members

    @property
    def followers(self) -> dict[str, FollowerProgress]:
        """What is known of each store that is sent the log, by identity."""
        return self._replicator.followers

    def drop_archived(self, entry: JobArchived | KeyArchived) -> None:
        """Drop what was archived in a file from `state`, if it is over there too."""
        if isinstance(entry, JobArchived):
            known = entry.job_id in self.state.jobs
        else:
            known = entry.key in self.state.keys
        if known:
            self.state.apply(entry)

    # -- appending -----------------------------------------------------------------------------

    def append(
        self,
        entries: list[Message],
        durable: bool,
        done: AppendCallback,
        urgent: bool = False,
    ) -> bool:
        """Append all entries or none; `done` gets the outcome of the last. False if refused.

        With `durable` the append is acknowledged only once it is committed. An `urgent` one may use
        the reserved part of the disks.
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
        """Write the entries to this store's log, all or none."""
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
        """Whether callers wait for the acknowledgement of appends."""
        return bool(self._appends)

    # -- reading -------------------------------------------------------------------------------

    def read(self, done: ReadCallback) -> None:
        """Call back with True once f followers have confirmed this epoch after now, else False."""
        self._reads.add(done, self._now())
        self._replicator.probe = self._reads.last_probe
        self._replicator.send_to_all()

    # -- replication ---------------------------------------------------------------------------

    def add_learner(self, identity: str, address: str) -> None:
        """Start to replicate to a standby, which counts in no quorum until it is a member."""
        self._replicator.add(identity, address)

    def set_standbys(self, standbys: list[ReplicaAddress]) -> None:
        """Replicate to these standby replicas and to no others."""
        self._replicator.remove_others([*self.members, *(standby.identity for standby in standbys)])
        for identity, address in standbys:
            self._replicator.add(identity, address)

    def handle_response(self, message: AppendResponse, address: str) -> None:
        """Take in a follower's response; a higher fence in it deposes this leader."""
        if message.fence > self.epoch:
            self._depose(message.fence)
            return
        follower = self.followers.get(message.identity)
        if follower is not None and not self.deposed:
            self._replicator.handle_response(follower, message, address)
            self.progress()

    def progress(self) -> None:
        """Commit, acknowledge and answer reads as far as the followers' responses allow."""
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
        """Whether an append may be acknowledged; `replicated` is in the memory of f followers."""
        if pending.durable or self._now() - pending.at_ms >= 2 * self.settings.delta_ms:
            return pending.seq <= self._log.committed_seq
        return pending.seq <= replicated

    def adopted(self) -> bool:
        """Whether f followers have the recovered log on disk under this epoch."""
        count = sum(
            follower.adopted and follower.flushed_seq >= self.base_seq
            for follower in self._quorums.voting_followers()
        )
        return count >= self.settings.store_faults and self._log.flushed_seq >= self.base_seq

    # -- changing the members ------------------------------------------------------------------

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

    # -- flushing ------------------------------------------------------------------------------

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

    # -- periodic work -------------------------------------------------------------------------

    def tick(self) -> None:
        """Do the periodic work: time out callers, flush what is due, resend, and take snapshots."""
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
        """Step down: report the outcome of all waiting callers as unknown."""
        self.deposed = True
        appends, reads = self._appends.take_all(), self._reads.take_all()
        for pending in appends:
            pending.done(Outcome.UNKNOWN)
        for read_done in reads:
            read_done(False)
