"""The holder of the log for one epoch. An append is written lazily, sent to the peers and
acknowledged once f of them hold it in memory; if 2 delta pass first, once it is flushed here and at
a peer; else its fate is unknown. Whoever needs it settled also waits until f+1 disks have it, and
brings the flush forward. Reads wait for f peers to confirm that nothing has fenced this epoch."""

from collections.abc import Callable
from enum import StrEnum
from typing import Any

from accession.local import LocalLog, entry_of
from accession.messages import Append, Appended, Install
from ledger import Ledger
from ledger.entries import LotShelved
from stacks import DiskFull
from vellum import Message, encode

__all__ = ["Holder", "Outcome", "Peer"]

_CHUNK_BYTES = 1 << 20


class Outcome(StrEnum):
    KEPT = "kept"
    FULL = "full"
    UNKNOWN = "unknown"


class Peer:
    __slots__ = ("address", "adopted", "askedSeq", "flushedSeq", "full", "heardMs", "identity", "installing", "lastSeq",
                 "nextSeq", "probe", "sentMs")

    def __init__(self, identity: str, address: str, nextSeq: int, nowMs: int) -> None:
        self.identity = identity
        self.address = address
        self.lastSeq = 0
        self.flushedSeq = 0
        self.nextSeq = nextSeq
        self.probe = 0
        self.askedSeq = -1
        self.sentMs = 0
        self.heardMs = nowMs
        self.adopted = False
        self.installing = False
        self.full = False


class _Waiter:
    __slots__ = ("atMs", "done", "seq", "settled")

    def __init__(self, seq: int, settled: bool, atMs: int, done: Callable[[Outcome], None]) -> None:
        self.seq = seq
        self.settled = settled
        self.atMs = atMs
        self.done = done


class Holder:
    __slots__ = ("_flushAsked", "_flushWantedSeq", "_log", "_onDeposed", "_post", "_probe", "_readers",
                 "_wall", "_now", "baseSeq", "deposed", "epoch", "ledger", "members", "params", "peers",
                 "waiters")

    def __init__(self, log: LocalLog, epoch: int, members: list[tuple[str, str]], params: Any,
                 now: Callable[[], int], wall: Callable[[], int], post: Callable[[str, Message], None],
                 onDeposed: Callable[[int], None]) -> None:
        self._log = log
        self.epoch = epoch
        self.params = params
        self._now, self._wall, self._post = now, wall, post
        self._onDeposed = onDeposed
        self.baseSeq = log.lastSeq
        self.members = [identity for identity, _ in members]
        self.peers = {identity: Peer(identity, address, log.lastSeq + 1, now())
                      for identity, address in members if identity != log.identity}
        self.waiters: list[_Waiter] = []
        self._readers: list[tuple[int, Callable[[bool], None], int]] = []
        self._probe = 0
        self._flushAsked = False
        self._flushWantedSeq = 0
        self.deposed = False
        self.ledger = log.ledger.copy()
        for record in log.since(log.settledSeq + 1, 1 << 62):
            self.ledger.apply(entry_of(record))

    @property
    def settled(self) -> Ledger:
        """The ledger folded as far as f+1 disks have the log."""
        return self._log.ledger

    def let_go(self, entry: Message) -> None:
        """What is on a shelf leaves the logged ledger too, where it is over there as well."""
        known = self.ledger.lots if isinstance(entry, LotShelved) else self.ledger.keys
        if (entry.lotId if isinstance(entry, LotShelved) else entry.key) in known:
            self.ledger.apply(entry)

    # -- appending -----------------------------------------------------------------------------

    def append(self, entries: list[Message], settled: bool, done: Callable[[Outcome], None],
               urgent: bool = False) -> bool:
        """All entries or none; done tells of the last one. False if there was no room."""
        bodies = [encode(entry) for entry in entries]
        needBytes = sum(len(body) + 64 for body in bodies)
        if self.deposed or not self._log.disk.roomy(needBytes, urgent) or (not urgent and self._peers_full()):
            done(Outcome.UNKNOWN if self.deposed else Outcome.FULL)
            return False
        before = self._log.lastSeq
        try:
            for body in bodies:
                self._log.write(self._log.make(self._stamp(), body), urgent)
        except DiskFull:
            self._log.cut_after(before)
            done(Outcome.FULL)
            return False
        for entry in entries:
            self.ledger.apply(entry)
        self.waiters.append(_Waiter(self._log.lastSeq, settled, self._now(), done))
        if settled:
            self._bring_flush_forward()
        for peer in self.peers.values():
            self._send(peer)
        return True

    def _stamp(self) -> tuple[int, int]:
        return (self.epoch, max(self._wall(), self._log.lastStamp[1] + 1))

    def _peers_full(self) -> bool:
        roomy = sum(1 for name in self.members if name in self.peers and not self.peers[name].full)
        return roomy < self.params.storeFaults

    def read(self, done: Callable[[bool], None]) -> None:
        """Calls back once f peers have confirmed this epoch after now."""
        self._probe += 1
        self._readers.append((self._probe, done, self._now()))
        for peer in self.peers.values():
            self._send(peer)

    # -- sending -------------------------------------------------------------------------------

    def _send(self, peer: Peer, flush: bool = False) -> None:
        log = self._log
        peer.sentMs = self._now()
        silent = self._now() - peer.heardMs > self.params.deadMs
        if silent:
            peer.nextSeq = log.lastSeq + 1
        previous = log.stamp_at(peer.nextSeq - 1)
        if previous is None or peer.nextSeq < log.firstSeq:
            self._install(peer)
            return
        records = log.since(peer.nextSeq, _CHUNK_BYTES)
        peer.askedSeq = peer.nextSeq - 1
        wanted = flush or self._flushWantedSeq > peer.flushedSeq
        self._post(peer.address, Append(
            epoch=self.epoch, baseSeq=self.baseSeq, prevSeq=peer.nextSeq - 1, prevEpoch=previous[0],
            prevMs=previous[1], records=[encode(record) for record in records], settledSeq=log.settledSeq,
            flush=wanted, probe=self._probe))
        peer.nextSeq += len(records)

    def answered(self, message: Appended, address: str) -> None:
        if message.fence > self.epoch:
            self._depose(message.fence)
            return
        peer = self.peers.get(message.identity)
        if peer is None or self.deposed:
            return
        peer.address = address
        peer.heardMs = self._now()
        peer.installing = False
        peer.full = message.reason == "full" or not message.roomy
        peer.probe = max(peer.probe, message.probe)
        if message.ok:
            peer.lastSeq = message.lastSeq
            peer.flushedSeq = message.flushedSeq
            peer.adopted = message.logEpoch == self.epoch
            peer.nextSeq = max(peer.nextSeq, message.lastSeq + 1)
            if peer.nextSeq <= self._log.lastSeq:
                self._send(peer)
        elif message.reason == "installed":
            peer.nextSeq = message.lastSeq + 1
            self._send(peer)
        elif message.reason == "full":
            peer.nextSeq = min(peer.nextSeq, message.lastSeq + 1)
        elif message.reason == "gap" and message.askedSeq == peer.askedSeq:
            self._step_back(peer, message)
        self.progress()

    def _step_back(self, peer: Peer, message: Appended) -> None:
        """One place back, but not behind the peer's snapshot, which holds only what is settled; receipts
        of sends before the last one are not heeded, or each would cause a send of its own."""
        if message.askedSeq <= message.snapSeq and message.askedSeq < self._log.snapSeq:
            self._install(peer)
            return
        peer.nextSeq = max(1, message.snapSeq + 1, min(message.lastSeq + 1, message.askedSeq))
        self._send(peer)

    def _install(self, peer: Peer) -> None:
        if not peer.installing:
            peer.installing = True
            data = self._log.snapshot()
            for offset in range(0, len(data), _CHUNK_BYTES):
                self._post(peer.address, Install(epoch=self.epoch, snapshot=data[offset:offset + _CHUNK_BYTES],
                                                 offset=offset, total=len(data), probe=self._probe))

    def learn(self, identity: str, address: str) -> None:
        """A spare store: it is sent the log but counts for nothing until it is made a member."""
        if identity not in self.peers and identity != self._log.identity:
            self.peers[identity] = Peer(identity, address, self._log.lastSeq + 1, self._now())

    # -- acknowledging -------------------------------------------------------------------------

    def _voting(self) -> list[Peer]:
        return [self.peers[name] for name in self.members if name in self.peers]

    def progress(self) -> None:
        f = self.params.storeFaults
        flushed = sorted([peer.flushedSeq if peer.adopted else 0 for peer in self._voting()], reverse=True)
        copies = sorted([self._log.flushedSeq, *flushed], reverse=True)
        settledSeq = copies[f] if len(copies) > f else 0
        if settledSeq > self._log.settledSeq and settledSeq >= self.baseSeq:
            self._log.settle(settledSeq)
        held = sorted([peer.lastSeq if peer.adopted else 0 for peer in self._voting()], reverse=True)
        heldSeq = held[f - 1] if len(held) >= f else 0
        ready = [waiter for waiter in self.waiters if self._is_ready(waiter, heldSeq)]
        if ready:
            self.waiters = [waiter for waiter in self.waiters if waiter not in ready]
            for waiter in ready:
                waiter.done(Outcome.KEPT)
        probes = sorted([peer.probe for peer in self._voting()], reverse=True)
        probe = probes[f - 1] if len(probes) >= f else 0
        while self._readers and self._readers[0][0] <= probe:
            self._readers.pop(0)[1](True)

    def _is_ready(self, waiter: _Waiter, heldSeq: int) -> bool:
        if waiter.settled or self._now() - waiter.atMs >= 2 * self.params.deltaMs:
            return waiter.seq <= self._log.settledSeq
        return waiter.seq <= heldSeq

    def roomier(self) -> str | None:
        """A member in touch that has room, when this store has none."""
        if self._log.disk.roomy(0):
            return None
        nowMs = self._now()
        return next((peer.identity for peer in self._voting()
                     if peer.adopted and not peer.full and nowMs - peer.heardMs <= self.params.deadMs), None)

    def adopted(self) -> bool:
        """Whether f peers besides this store hold the recovered log under this epoch on disk."""
        count = sum(1 for peer in self._voting() if peer.adopted and peer.flushedSeq >= self.baseSeq)
        return count >= self.params.storeFaults and self._log.flushedSeq >= self.baseSeq

    # -- flushing ------------------------------------------------------------------------------

    def _bring_flush_forward(self) -> None:
        self._flushWantedSeq = self._log.lastSeq
        if not self._flushAsked:
            self._flushAsked = True
            self._log.flush(self._flushed)

    def _flushed(self, ok: bool) -> None:
        self._flushAsked = False
        if self.deposed:
            return
        self.progress()
        if ok and self._log.flushedSeq < self._flushWantedSeq:
            self._flushAsked = True
            self._log.flush(self._flushed)

    def tick(self) -> None:
        nowMs = self._now()
        late = [waiter for waiter in self.waiters if nowMs - waiter.atMs >= 2 * self.params.deltaMs]
        if late:
            self._bring_flush_forward()
        given_up = [waiter for waiter in self.waiters if nowMs - waiter.atMs >= self.params.askMs]
        self.waiters = [waiter for waiter in self.waiters if waiter not in given_up]
        for waiter in given_up:
            waiter.done(Outcome.UNKNOWN)
        while self._readers and nowMs - self._readers[0][2] >= self.params.askMs:
            self._readers.pop(0)[1](False)
        if self._log.flush_due():
            self._bring_flush_forward()
        for peer in self.peers.values():
            behind = peer.lastSeq < self._log.lastSeq or peer.probe < self._probe or not peer.adopted
            quietMs = nowMs - peer.sentMs
            if (behind and quietMs >= 2 * self.params.deltaMs) or quietMs >= self.params.beatMs:
                if behind:
                    peer.nextSeq = peer.lastSeq + 1 if peer.adopted else min(peer.nextSeq, self.baseSeq + 1)
                    peer.installing = peer.installing and quietMs < self.params.forceMs
                self._send(peer)
        self.progress()
        self._log.tidy()

    def _depose(self, fence: int) -> None:
        if not self.deposed:
            self.stop()
            self._onDeposed(fence)

    def stop(self) -> None:
        """Steps down: what still waits gets doubt, nothing more is acknowledged."""
        self.deposed = True
        waiters, self.waiters = self.waiters, []
        readers, self._readers = self._readers, []
        for waiter in waiters:
            waiter.done(Outcome.UNKNOWN)
        for _, done, _ in readers:
            done(False)
