"""The leader of the log for one epoch, called the holder.

An append is written without a flush, sent to the followers and acknowledged once f of them have it
in memory. After 2 delta it is acknowledged only once it is settled, that is durable on f+1 disks;
after `ask_ms` its outcome is unknown. A caller may wait for settling from the start, which brings
the flush forward. Reads wait until f followers have confirmed that this epoch isn't fenced.
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
from replicated_log.records import entry_of

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
        "peers",
        "waiters",
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
        self.peers = {
            identity: FollowerProgress(identity, address, log.last_seq + 1, now())
            for identity, address in members
            if identity != log.identity
        }
        self._quorums = Quorums([identity for identity, _ in members], self.peers)
        self.waiters: list[PendingAppend] = []
        self._readers: list[tuple[int, Callable[[bool], None], int]] = []
        self._probe = 0
        self._wires = EncodedRecordCache()
        self._flush_asked = False
        self._flush_wanted_seq = 0
        self._level_seq = (log.settled_seq, log.settled_seq, now())
        self.deposed = False
        self.state = log.state.copy()
        for record in log.since(log.settled_seq + 1, 1 << 62):
            self.state.apply(entry_of(record))

    @property
    def settled(self) -> BatchState:
        """The ledger folded up to the last settled record."""
        return self._log.state

    def let_go(self, entry: Message) -> None:
        """Drop what was archived in a file from the unsettled ledger, if it is over there too."""
        known = self.state.jobs if isinstance(entry, JobArchived) else self.state.keys
        if (entry.job_id if isinstance(entry, JobArchived) else entry.key) in known:
            self.state.apply(entry)

    def append(
        self,
        entries: list[Message],
        settled: bool,
        done: Callable[[Outcome], None],
        urgent: bool = False,
    ) -> bool:
        """Append all entries or none; `done` gets the outcome of the last. False if refused."""
        bodies = [encode(entry) for entry in entries]
        need_bytes = sum(len(body) + 64 for body in bodies)
        if (
            self.deposed
            or not self._log.disk.roomy(need_bytes, urgent)
            or (not urgent and self._peers_full())
        ):
            done(Outcome.UNKNOWN if self.deposed else Outcome.FULL)
            return False
        before = self._log.last_seq
        try:
            for body, entry in zip(bodies, entries, strict=True):
                self._log.write(self._log.make(self._stamp(), body), urgent, entry)
        except DiskFullError:
            self._log.cut_after(before)
            self._wires.clear()
            done(Outcome.FULL)
            return False
        for entry in entries:
            self.state.apply(entry)
        self.waiters.append(PendingAppend(self._log.last_seq, settled, self._now(), done))
        if settled:
            self._bring_flush_forward()
        for peer in self.peers.values():
            self._send(peer)
        return True

    def _stamp(self) -> tuple[int, int]:
        return (self.epoch, max(self._wall(), self._log.last_stamp[1] + 1))

    def _peers_full(self) -> bool:
        roomy = sum(1 for name in self.members if name in self.peers and not self.peers[name].full)
        return roomy < self.settings.store_faults

    def read(self, done: Callable[[bool], None]) -> None:
        """Call back with True once f followers have confirmed this epoch after now, else False."""
        self._probe += 1
        self._readers.append((self._probe, done, self._now()))
        for peer in self.peers.values():
            self._send(peer)

    def _send(self, peer: FollowerProgress, flush: bool = False) -> None:
        log = self._log
        peer.sent_ms = self._now()
        if self._now() - peer.heard_ms > self.settings.dead_ms:
            peer.next_seq = log.last_seq + 1
        previous = log.stamp_at(peer.next_seq - 1)
        if previous is None or peer.next_seq < log.first_seq:
            self._snapshots.send(peer, self._probe)
            return
        records = log.since(peer.next_seq, _CHUNK_BYTES)
        peer.asked_seq = peer.next_seq - 1
        wanted = flush or self._flush_wanted_seq > peer.flushed_seq
        self._post(
            peer.address,
            AppendRequest(
                epoch=self.epoch,
                base_seq=self.base_seq,
                prev_seq=peer.next_seq - 1,
                prev_epoch=previous[0],
                prev_ms=previous[1],
                records=[self._wires.bytes_of(record) for record in records],
                settled_seq=log.settled_seq,
                flush=wanted,
                probe=self._probe,
            ),
        )
        peer.next_seq += len(records)

    def answered(self, message: AppendResponse, address: str) -> None:
        """Take in a follower's answer; a higher fence in it deposes this holder."""
        if message.fence > self.epoch:
            self._depose(message.fence)
            return
        peer = self.peers.get(message.identity)
        if peer is None or self.deposed:
            return
        peer.address = address
        peer.heard_ms = self._now()
        if message.ok or message.reason in _SNAPSHOT_ENDS:
            peer.snapshot = b""
        elif peer.snapshot and message.reason in ("busy", "part"):
            self._snapshots.answered(peer, message, self._probe)
        peer.full = message.reason == "full" or not message.roomy
        peer.probe = max(peer.probe, message.probe)
        if message.ok:
            peer.last_seq = message.last_seq
            peer.flushed_seq = message.flushed_seq
            peer.adopted = message.log_epoch == self.epoch
            peer.next_seq = max(peer.next_seq, message.last_seq + 1)
            if peer.next_seq <= self._log.last_seq:
                self._send(peer)
        elif message.reason == "installed":
            peer.next_seq = message.last_seq + 1
            self._send(peer)
        elif message.reason == "full":
            peer.next_seq = min(peer.next_seq, message.last_seq + 1)
        elif message.reason == "gap" and message.asked_seq == peer.asked_seq and not peer.snapshot:
            self._step_back(peer, message)
        self.progress()

    def _step_back(self, peer: FollowerProgress, message: AppendResponse) -> None:
        """Go one record back, but not behind the follower's snapshot, which is settled throughout.

        Answers to sends before the last one are ignored, or each would cause a send of its own.
        """
        if message.asked_seq <= message.snap_seq and message.asked_seq < self._log.snap_seq:
            self._snapshots.send(peer, self._probe)
            return
        peer.next_seq = max(1, message.snap_seq + 1, min(message.last_seq + 1, message.asked_seq))
        self._send(peer)

    def learn(self, identity: str, address: str) -> None:
        """Start to replicate to a spare, which counts in no quorum until it is a member."""
        if identity not in self.peers and identity != self._log.identity:
            self.peers[identity] = FollowerProgress(
                identity, address, self._log.last_seq + 1, self._now()
            )

    def keep_spares(self, spares: list[tuple[str, str]]) -> None:
        """Replicate to these spares and to no others."""
        names = [identity for identity, _ in spares]
        for identity in [
            identity
            for identity in self.peers
            if identity not in self.members and identity not in names
        ]:
            del self.peers[identity]
        for identity, address in spares:
            self.learn(identity, address)

    def in_touch(self, identity: str) -> bool:
        """Whether a follower has adopted this epoch and was heard within `doubt_ms`."""
        peer = self.peers.get(identity)
        return (
            peer is not None
            and peer.adopted
            and self._now() - peer.heard_ms < self.settings.doubt_ms
        )

    def is_level(self, identity: str) -> bool:
        """Whether a store is level: in touch, and with what was settled a pulse ago on its disk.

        Under load the settled end is always a little ahead of the reports of slower disks.
        """
        peer = self.peers.get(identity)
        return (
            peer is not None
            and peer.adopted
            and peer.flushed_seq >= self._level_seq[0]
            and self._now() - peer.heard_ms < self.settings.dead_ms
        )

    def level_members(self) -> int:
        """Return how many members, this store among them, are level and in touch."""
        own = self._log.flushed_seq >= self._level_seq[0]
        return own + sum(self.is_level(name) for name in self.members)

    def sure(self) -> bool:
        """Whether f members have answered within `doubt_ms`, so that a quorum is in touch."""
        floor_ms = self._now() - self.settings.doubt_ms
        return (
            sum(peer.heard_ms >= floor_ms for peer in self._voting()) >= self.settings.store_faults
        )

    @property
    def members(self) -> list[str]:
        """The identities of the members in force."""
        return self._quorums.members

    def _voting(self) -> list[FollowerProgress]:
        return self._quorums.peers_of(self.members)

    def progress(self) -> None:
        """Settle, acknowledge and answer reads as far as the followers' answers allow."""
        f = self.settings.store_faults
        settled_seq = self._quorums.settled_seq(f, self._log.flushed_seq)
        if settled_seq > self._log.settled_seq and settled_seq >= self.base_seq:
            self._log.settle(settled_seq)
        held_seq = self._quorums.reached(f, held)
        ready = [waiter for waiter in self.waiters if self._is_ready(waiter, held_seq)]
        if ready:
            self.waiters = [waiter for waiter in self.waiters if waiter not in ready]
            for waiter in ready:
                waiter.done(Outcome.KEPT)
        if self._on_adopted is not None and self.adopted():
            on_adopted, self._on_adopted = self._on_adopted, None
            on_adopted()
        probe = self._quorums.reached(f, confirmed_probe)
        while self._readers and self._readers[0][0] <= probe:
            self._readers.pop(0)[1](True)

    def _is_ready(self, waiter: PendingAppend, held_seq: int) -> bool:
        if waiter.settled or self._now() - waiter.at_ms >= 2 * self.settings.delta_ms:
            return waiter.seq <= self._log.settled_seq
        return waiter.seq <= held_seq

    def roomier(self) -> str | None:
        """Return a member in touch with room on its disk if this store has none, else None."""
        if self._log.disk.roomy(0):
            return None
        return self._quorums.roomy_member(self._now() - self.settings.dead_ms)

    def adopted(self) -> bool:
        """Whether f followers have the recovered log on disk under this epoch."""
        count = sum(
            1 for peer in self._voting() if peer.adopted and peer.flushed_seq >= self.base_seq
        )
        return count >= self.settings.store_faults and self._log.flushed_seq >= self.base_seq

    def begin_change(self, following: list[str]) -> None:
        """Start a change of members: from now on a quorum of both lists is needed."""
        self._quorums.begin_change(following, self._log.last_seq)
        self._bring_flush_forward()

    def may_change(self) -> bool:
        """Whether the following members have on disk all that was acknowledged without them."""
        return self._quorums.may_change(self.settings.store_faults, self._log.flushed_seq)

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
        if now_ms - self._level_seq[2] >= self.settings.pulse_ms:
            self._level_seq = (self._level_seq[1], self._log.settled_seq, now_ms)
        if any(now_ms - waiter.at_ms >= 2 * self.settings.delta_ms for waiter in self.waiters):
            self._bring_flush_forward()
        given_up = [
            waiter for waiter in self.waiters if now_ms - waiter.at_ms >= self.settings.ask_ms
        ]
        self.waiters = [waiter for waiter in self.waiters if waiter not in given_up]
        for waiter in given_up:
            waiter.done(Outcome.UNKNOWN)
        while self._readers and now_ms - self._readers[0][2] >= self.settings.ask_ms:
            self._readers.pop(0)[1](False)
        if self._log.flush_due():
            self._bring_flush_forward()
        for peer in self.peers.values():
            behind = (
                peer.last_seq < self._log.last_seq or peer.probe < self._probe or not peer.adopted
            )
            quiet_ms = now_ms - peer.sent_ms
            if (
                behind and quiet_ms >= 2 * self.settings.delta_ms
            ) or quiet_ms >= self.settings.pulse_ms:
                if behind:
                    peer.next_seq = (
                        peer.last_seq + 1 if peer.adopted else min(peer.next_seq, self.base_seq + 1)
                    )
                self._send(peer)
        self.progress()
        self._log.tidy()

    def _depose(self, fence: int) -> None:
        if not self.deposed:
            self.stop()
            self._on_deposed(fence)

    def stop(self) -> None:
        """Step down: report the outcome of all waiting callers as unknown."""
        self.deposed = True
        waiters, self.waiters = self.waiters, []
        readers, self._readers = self._readers, []
        for waiter in waiters:
            waiter.done(Outcome.UNKNOWN)
        for _, done, _ in readers:
            done(False)
