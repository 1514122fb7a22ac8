"""The workers that this edge knows. Beats and leaves arrive at any edge and are flooded to all; a
worker is a pair of identity and incarnation, so one that replaces another, at the same address or
under the same name, is a different one. A leave is final for its incarnation. Silence, a failed
connection or a leave takes a worker out; only what the profiles in force allow is enrolled."""

from collections.abc import Callable, Iterable
from typing import Any

from vellum import Arr, Flag, Long, Message, Origin, Part, Real, Text

__all__ = ["Roster", "Worker", "WorkerNews"]


class WorkerNews(Message):
    identity: Text
    incarnation: Long
    address: Text
    zone: Text
    labels: Arr(Text)
    beat: Long
    running: Long
    waiting: Long
    slots: Long
    cache_use: Real
    leaving: Flag


class Worker:
    __slots__ = ("address", "beat", "cache_use", "down_beat", "down_ms", "heard_ms", "identity", "incarnation", "labels",
                 "leaving", "reported", "running", "sending", "sending_then", "slots", "waiting", "zone")

    def __init__(self, news: WorkerNews) -> None:
        self.identity = news.identity
        self.incarnation = news.incarnation
        self.leaving = False
        self.sending = 0
        self.down_beat = -1
        self.down_ms = -1 << 40
        self.beat = -1

    def take(self, news: WorkerNews, now_ms: int) -> None:
        self.address = news.address
        self.zone = news.zone
        self.labels = frozenset(news.labels)
        self.beat = news.beat
        self.running, self.waiting, self.slots = news.running, news.waiting, max(1, news.slots)
        self.cache_use = news.cache_use
        self.sending_then = self.sending
        self.heard_ms = now_ms
        self.leaving = self.leaving or news.leaving

    @property
    def weight(self) -> int:
        """What it probably has to do: its own report, moved by what this edge began or ended since."""
        return max(self.sending, self.running + self.waiting + self.sending - self.sending_then)

    @property
    def stamp(self) -> str:
        return f"{self.identity}/{self.incarnation}"


class Roster(Part):
    """`allowed` says whether any profile in force allows a worker."""

    __slots__ = ("_allowed", "_fellows", "_gone", "_quiet_until_ms", "_workers")
    HANDLES = (WorkerNews,)

    def __init__(self, fellows: Callable[[], Iterable[str]], allowed: Callable[[str, frozenset], bool]) -> None:
        self._fellows = fellows
        self._allowed = allowed
        self._workers: dict[str, Worker] = {}
        self._gone: dict[tuple[str, int], int] = {}
        self._quiet_until_ms = -1 << 40

    def receive(self, message: Any, origin: Origin) -> None:
        self.hear(message, origin.sender)

    def hear(self, news: WorkerNews, sender: str = "") -> bool:
        """Takes in a beat or a leave, and passes it on if it was new. False: an outdated incarnation."""
        held = self._workers.get(news.identity)
        if (news.identity, news.incarnation) in self._gone and not news.leaving:
            return False
        if held is not None and held.incarnation > news.incarnation:
            return False
        if held is not None and held.incarnation == news.incarnation and held.beat >= news.beat \
                and (held.leaving or not news.leaving):
            return True
        now_ms = self.node.env.now()
        if not news.leaving and not self._displaces(news, now_ms):
            return False
        if news.leaving:
            if (news.identity, news.incarnation) in self._gone:
                return True
            self._gone[(news.identity, news.incarnation)] = now_ms
            self.node.env.log("worker-leaving", worker=news.identity, incarnation=news.incarnation)
        if held is None or held.incarnation < news.incarnation:
            held = Worker(news)
            self.node.env.log("worker-enrolled", worker=news.identity, incarnation=news.incarnation,
                              address=news.address)
        self._workers[news.identity] = held
        held.take(news, now_ms if now_ms >= self._quiet_until_ms else -1 << 40)
        for address in self._fellows() if now_ms >= self._quiet_until_ms else ():
            if address != sender:
                self.node.post(address, news)
        return True

    def _displaces(self, news: WorkerNews, now_ms: int) -> bool:
        """Of two workers at one address the one begun later is there, and the other never comes back;
        old news of it may still be under way."""
        for other in [other for other in self._workers.values()
                      if other.address == news.address and other.identity != news.identity]:
            if self.usable(other) and other.incarnation > news.incarnation:
                self._gone[(news.identity, news.incarnation)] = now_ms
                return False
            del self._workers[other.identity]
            self._gone[(other.identity, other.incarnation)] = now_ms
            self.node.env.log("worker-replaced", worker=other.identity, by=news.identity)
        return True

    def connection_failed(self, worker: Worker) -> None:
        """Out until a beat that was sent after the failure shows it alive."""
        worker.down_beat = worker.beat
        worker.down_ms = self.node.env.now()
        self.node.env.log("worker-down", "WARNING", worker=worker.identity, incarnation=worker.incarnation)

    def full(self, worker: Worker) -> None:
        """It refused for want of room, which its last beat did not show: until the next one it is full."""
        worker.running = worker.waiting = worker.slots
        worker.sending_then = worker.sending

    def mismatched(self, worker: Worker) -> None:
        """Another worker answers at its address."""
        if self._workers.get(worker.identity) is worker:
            del self._workers[worker.identity]
            self._gone[(worker.identity, worker.incarnation)] = self.node.env.now()
            self.node.env.log("worker-mismatch", "WARNING", worker=worker.identity, incarnation=worker.incarnation)

    def silent(self, worker: Worker) -> bool:
        return self.node.env.now() - worker.heard_ms > self.node.params.worker_ms

    def usable(self, worker: Worker) -> bool:
        now_ms = self.node.env.now()
        params = self.node.params
        if worker.leaving or self.silent(worker):
            return False
        if self._workers.get(worker.identity) is not worker:
            return False
        return worker.beat > worker.down_beat + 1 or now_ms - worker.down_ms > 2 * params.force_ms

    def workers(self) -> list[Worker]:
        return [worker for worker in self._workers.values()
                if self.usable(worker) and self._allowed(worker.identity, worker.labels)]

    def all(self) -> list[Worker]:
        return list(self._workers.values())

    def woke(self, gap_ms: int) -> None:
        """What was heard before is old, and so is what waited in buffers: it proves nobody alive."""
        self._quiet_until_ms = self.node.env.now() + self.node.params.beat_ms
        for worker in self._workers.values():
            worker.heard_ms = -1 << 40

    def tick(self) -> None:
        now_ms = self.node.env.now()
        keep_ms = 10 * self.node.params.resume_ms
        for identity in [worker.identity for worker in self._workers.values() if now_ms - worker.heard_ms > keep_ms and now_ms > self._quiet_until_ms + keep_ms]:
            del self._workers[identity]
        for stamp in [stamp for stamp, at_ms in self._gone.items() if now_ms - at_ms > 10 * keep_ms]:
            del self._gone[stamp]
