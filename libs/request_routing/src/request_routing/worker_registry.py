"""The registry of the workers that this edge knows.

Heartbeats and leaves arrive at any edge and are flooded to all. A worker is a pair of identity and
incarnation, so one that replaces another, at the same address or under the same name, is a
different one. A leave is final for its incarnation. Silence, a failed connection or a leave takes a
worker out of use; only what the profiles in force allow is used.
"""

import json
from collections.abc import Callable, Iterable
from typing import Any

from messaging import Component, Origin

from request_routing.worker import Worker, WorkerUpdate

__all__ = ["WorkerRegistry", "Worker", "WorkerUpdate"]


_PAUSE_SHARE = 0.5
_MOST_PAUSES = 5


class WorkerRegistry(Component):
    """The workers by identity, and which of them may be used.

    `fellows` gives the other edges' addresses; `allowed` says whether any profile in force allows a
    worker; `listed` gives the number and the body of the list that control keeps, if it keeps one.
    `lent` are the identities of workers that are lent whole to rollouts.
    """

    __slots__ = (
        "_allowed",
        "_fellows",
        "_by_label",
        "_gone",
        "_listed",
        "_quiet_until_ms",
        "_workers",
        "lent",
        "list_number",
    )
    HANDLES = (WorkerUpdate,)

    def __init__(
        self,
        fellows: Callable[[], Iterable[str]],
        allowed: Callable[[str, frozenset], bool],
        listed: Callable[[], tuple[int, str]] = lambda: (0, ""),
    ) -> None:
        self._fellows = fellows
        self._allowed = allowed
        self._listed, self.list_number = listed, 0
        self.lent: frozenset[str] = frozenset()
        self._by_label: dict[str, list[Worker]] = {}
        self._workers: dict[str, Worker] = {}
        self._gone: dict[tuple[str, int], int] = {}
        self._quiet_until_ms = -1 << 40

    def receive(self, message: Any, origin: Origin) -> None:
        """Take a worker's news from another edge."""
        self.hear(message, origin.sender)

    def hear(self, news: WorkerUpdate, sender: str = "") -> bool:
        """Take a heartbeat or a leave and pass it on if new; false for an outdated incarnation."""
        held = self._workers.get(news.identity)
        if (news.identity, news.incarnation) in self._gone and not news.leaving:
            return False
        if held is not None and held.incarnation > news.incarnation:
            return False
        if (
            held is not None
            and held.incarnation == news.incarnation
            and held.beat >= news.beat
            and (held.leaving or not news.leaving)
        ):
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
            self.node.env.log(
                "worker-enrolled",
                worker=news.identity,
                incarnation=news.incarnation,
                address=news.address,
            )
        self._workers[news.identity] = held
        held.take(news, now_ms if now_ms >= self._quiet_until_ms else -1 << 40)
        for address in self._fellows() if now_ms >= self._quiet_until_ms else ():
            if address != sender:
                self.node.send(address, news)
        return True

    def _displaces(self, news: WorkerUpdate, now_ms: int) -> bool:
        """Settle which of two workers at one address is there: the one that started later.

        The other never comes back, though old news of it may still be in flight.
        """
        for other in [
            other
            for other in self._workers.values()
            if other.address == news.address and other.identity != news.identity
        ]:
            if self.usable(other) and other.incarnation > news.incarnation:
                self._gone[(news.identity, news.incarnation)] = now_ms
                return False
            del self._workers[other.identity]
            self._gone[(other.identity, other.incarnation)] = now_ms
            self.node.env.log("worker-replaced", worker=other.identity, by=news.identity)
        return True

    # -- the list ------------------------------------------------------------------------------

    def take_list(self, rows: dict[str, dict[str, Any]]) -> None:
        """Take the workers as control lists them.

        A worker that is not listed, or is draining, gets nothing new. Heartbeats and silence count
        for nothing here, as whoever lists the workers has judged that.
        """
        now_ms = self.node.env.now()
        for identity in [
            worker.identity
            for worker in self._workers.values()
            if worker.listed and worker.identity not in rows
        ]:
            self._workers.pop(identity).leaving = True
        for identity, row in rows.items():
            news = WorkerUpdate(
                identity=identity,
                incarnation=0,
                address=row["address"],
                zone=row.get("zone", ""),
                labels=[row["label"]],
                beat=row.get("seq", 0),
                running=0,
                waiting=0,
                slots=max(1, row.get("slots", 1)),
                cache_use=0.0,
                leaving=False,
            )
            held = self._workers.get(identity)
            if (identity, 0) in self._gone:
                continue
            if held is None or not held.listed or held.address != news.address:
                if held is not None:
                    held.leaving = True
                held = self._workers[identity] = Worker(news)
                held.listed = True
                held.take(news, now_ms)
            held.zone, held.labels, held.heard_ms = news.zone, frozenset(news.labels), now_ms
            held.leaving = row.get("state", "serving") != "serving"
        self._index()

    def answered(self, worker: Worker) -> None:
        """Record that a worker has answered, which ends its failures in a row."""
        worker.failures = 0
        worker.answered_ms = self.node.env.now()

    def resting(self, worker: Worker) -> bool:
        """Whether a worker is left out for a while, which grows with each failure in a row."""
        pauses = min(worker.failures, _MOST_PAUSES)
        return (
            pauses > 0
            and self.node.env.now() - worker.down_ms
            < self.node.settings.request_timeout_ms * _PAUSE_SHARE * 2 ** (pauses - 1)
        )

    def connection_failed(self, worker: Worker) -> None:
        """Take a worker out of use after a failed connection.

        It is back once a heartbeat sent after the failure shows it alive, or after twice
        `force_ms`. A listed one rests for a pause that grows with its failures in a row.
        """
        worker.down_beat = worker.beat
        worker.down_ms = self.node.env.now()
        worker.failures += 1
        self.node.env.log(
            "worker-down", "WARNING", worker=worker.identity, incarnation=worker.incarnation
        )

    def full(self, worker: Worker) -> None:
        """Record that a worker refused for want of room: full until its next report."""
        worker.running = worker.waiting = worker.slots
        worker.sending_then = worker.sending
        worker.others, worker.told_ms = (
            float(max(0, 2 * worker.slots - worker.sending)),
            self.node.env.now(),
        )
        worker.full_until_ms = self.node.env.now() + self.node.settings.delta_ms

    def mismatched(self, worker: Worker) -> None:
        """Remove a worker at whose address another one answers."""
        if self._workers.get(worker.identity) is worker:
            del self._workers[worker.identity]
            self._gone[(worker.identity, worker.incarnation)] = self.node.env.now()
            self._index()
            self.node.env.log(
                "worker-mismatch", "WARNING", worker=worker.identity, incarnation=worker.incarnation
            )

    def silent(self, worker: Worker) -> bool:
        """Whether an unlisted worker sent no heartbeat for longer than `worker_timeout_ms`."""
        return (
            not worker.listed
            and self.node.env.now() - worker.heard_ms > self.node.settings.worker_timeout_ms
        )

    def heard_lately(self, profile: Any) -> bool:
        """Whether a worker that this profile allows was heard lately, used or not."""
        return any(
            profile.allows(worker.identity, worker.labels) and not self.silent(worker)
            for worker in self._workers.values()
        )

    def usable(self, worker: Worker) -> bool:
        """Whether new requests may be sent to this worker."""
        now_ms = self.node.env.now()
        settings = self.node.settings
        if worker.leaving or self.silent(worker):
            return False
        if worker.identity in self.lent:
            return False
        if self._workers.get(worker.identity) is not worker:
            return False
        if worker.listed:
            return True
        return worker.beat > worker.down_beat + 1 or now_ms - worker.down_ms > 2 * settings.force_ms

    def workers(self) -> list[Worker]:
        """Return the usable workers that a profile in force allows."""
        self._read_list()
        return [
            worker
            for worker in self._workers.values()
            if self.usable(worker) and self._allowed(worker.identity, worker.labels)
        ]

    def listed(self, labels: frozenset[str]) -> list[Worker]:
        """Return the listed workers with any of these labels, even if no profile uses them."""
        self._read_list()
        if len(labels) == 1 and not self.lent:
            return self._by_label.get(next(iter(labels)), [])
        return [
            worker
            for label in sorted(labels)
            for worker in self._by_label.get(label, [])
            if worker.identity not in self.lent
        ]

    def _read_list(self) -> None:
        number, body = self._listed()
        if number != self.list_number:
            self.list_number = number
            self.take_list(json.loads(body)["workers"])

    def _index(self) -> None:
        self._by_label = {}
        for worker in self._workers.values():
            if worker.listed and not worker.leaving:
                for label in worker.labels:
                    self._by_label.setdefault(label, []).append(worker)

    def all(self) -> list[Worker]:
        """Return every known worker."""
        return list(self._workers.values())

    def resumed(self, gap_ms: int) -> None:
        """Discard what was heard before a freeze of `gap_ms`: it proves no worker alive."""
        self._quiet_until_ms = self.node.env.now() + self.node.settings.heartbeat_ms
        for worker in self._workers.values():
            worker.heard_ms = -1 << 40
            worker.down_ms, worker.others = min(worker.down_ms, self.node.env.now() - gap_ms), 0.0

    def tick(self) -> None:
        """Forget workers and leaves that are old enough."""
        now_ms = self.node.env.now()
        keep_ms = 10 * self.node.settings.resume_ms
        for identity in [
            worker.identity
            for worker in self._workers.values()
            if not worker.listed
            and now_ms - worker.heard_ms > keep_ms
            and now_ms > self._quiet_until_ms + keep_ms
        ]:
            del self._workers[identity]
        for stamp in [
            stamp for stamp, at_ms in self._gone.items() if now_ms - at_ms > 10 * keep_ms
        ]:
            del self._gone[stamp]
