"""The registry of the workers that this edge knows.

Workers become known by their own heartbeats and leaves, which arrive at any edge and are flooded to
all edges, or by a list that the control service keeps. A worker is identified by its identity and
incarnation, so a replacement at the same address or with the same identity is a different worker. A
leave is final for its incarnation. A worker that is silent, failed a connection or is leaving gets
no new requests, and neither does one that no profile in force allows.
"""

import json
from collections.abc import Callable, Iterable
from typing import Any

from messaging import Component, Origin

from request_routing.worker import NEVER_MS, Worker, WorkerUpdate

__all__ = ["Worker", "WorkerRegistry", "WorkerUpdate"]

# The first backoff, as a fraction of `request_timeout_ms`; it doubles with each further failure.
_BACKOFF_SHARE = 0.5
_MAX_BACKOFF_STEPS = 5
# Listed workers have no incarnations.
_LISTED_INCARNATION = 0
# A silent worker is removed after this many times `resume_ms`, and the record of a departed one
# after _FORGET_DEPARTED_TIMES times as long.
_FORGET_AFTER_RESUMES = 10
_FORGET_DEPARTED_TIMES = 10
_SERVING = "serving"

Instance = tuple[str, int]
"""A worker's identity and its incarnation."""


class WorkerRegistry(Component):
    """The known workers, and which of them may be used.

    `lent` has the identities of the workers that are lent to rollouts as a whole and so get no
    other requests. `list_number` is the number of the list that was applied last.

    Parameters
    ----------
    peers
        Returns the addresses of the other edges.
    allowed
        Whether any profile in force allows a worker with this identity and these labels.
    worker_list
        Returns the number and the JSON body of the control service's list of workers; the number
        is 0 if there is none.
    """

    __slots__ = (
        "_allowed",
        "_by_label",
        "_departed",
        "_ignore_heartbeats_until_ms",
        "_peers",
        "_worker_list",
        "_workers",
        "lent",
        "list_number",
    )
    HANDLES = (WorkerUpdate,)

    def __init__(
        self,
        peers: Callable[[], Iterable[str]],
        allowed: Callable[[str, frozenset[str]], bool],
        worker_list: Callable[[], tuple[int, str]] = lambda: (0, ""),
    ) -> None:
        self._peers = peers
        self._allowed = allowed
        self._worker_list = worker_list
        self.list_number = 0
        self.lent: frozenset[str] = frozenset()
        self._by_label: dict[str, list[Worker]] = {}
        self._workers: dict[str, Worker] = {}
        self._departed: dict[Instance, int] = {}
        self._ignore_heartbeats_until_ms = NEVER_MS

    def receive(self, message: Any, origin: Origin) -> None:
        """Handle a worker's update from another edge."""
        self.apply_update(message, origin.sender)

    def apply_update(self, update: WorkerUpdate, sender: str = "") -> bool:
        """Apply a heartbeat or a leave, and forward it to the other edges if it is new.

        Updates that arrive within `heartbeat_ms` after a freeze are not forwarded. Returns false
        for a heartbeat of an incarnation that has left, and for any update of one that was
        replaced. `sender` is the address of the edge that sent the update, which does not get it
        again.
        """
        known = self._workers.get(update.identity)
        instance = (update.identity, update.incarnation)
        if instance in self._departed and not update.leaving:
            return False
        if known is not None and known.incarnation > update.incarnation:
            return False
        if known is not None and _is_old(update, known):
            return True
        now_ms = self.node.env.now()
        if not update.leaving and not self._owns_its_address(update, now_ms):
            return False
        if update.leaving:
            if instance in self._departed:
                return True
            self._departed[instance] = now_ms
            self._log("worker-leaving", update)
        self._store(update, known, now_ms)
        if now_ms >= self._ignore_heartbeats_until_ms:
            self._flood(update, sender)
        return True

    def _store(self, update: WorkerUpdate, known: Worker | None, now_ms: int) -> None:
        heard_ms = now_ms if now_ms >= self._ignore_heartbeats_until_ms else NEVER_MS
        if known is None or known.incarnation < update.incarnation:
            self._workers[update.identity] = Worker(update, heard_ms)
            self._log("worker-registered", update, address=update.address)
        else:
            known.apply_update(update, heard_ms)

    def _flood(self, update: WorkerUpdate, sender: str) -> None:
        for address in self._peers():
            if address != sender:
                self.node.send(address, update)

    def _owns_its_address(self, update: WorkerUpdate, now_ms: int) -> bool:
        """Whether this worker is the one at its address; if so, others at the address are removed.

        A known worker keeps the address if it is usable and started later, which shows in its
        incarnation. The loser is recorded as departed and never comes back, as old updates of it
        may still be in flight.
        """
        for other in [
            other
            for other in self._workers.values()
            if other.address == update.address and other.identity != update.identity
        ]:
            if self.is_usable(other) and other.incarnation > update.incarnation:
                self._departed[(update.identity, update.incarnation)] = now_ms
                return False
            del self._workers[other.identity]
            self._departed[(other.identity, other.incarnation)] = now_ms
            self.node.env.log("worker-replaced", worker=other.identity, by=update.identity)
        return True

    def _log(
        self, event: str, worker: Worker | WorkerUpdate, level: str = "INFO", **fields: Any
    ) -> None:
        self.node.env.log(
            event, level, worker=worker.identity, incarnation=worker.incarnation, **fields
        )

    def replace_list(self, rows: dict[str, dict[str, Any]]) -> None:
        """Apply a new list of workers from the control service.

        A listed worker that is no longer in the list or is draining gets no new requests; its
        requests in flight go on. Heartbeats and silence of listed workers are ignored, as the
        control service evaluates them.

        Parameters
        ----------
        rows
            The list's entries by the identities of the workers.
        """
        now_ms = self.node.env.now()
        for identity in [
            worker.identity
            for worker in self._workers.values()
            if worker.listed and worker.identity not in rows
        ]:
            self._workers.pop(identity).leaving = True
        for identity, row in rows.items():
            if (identity, _LISTED_INCARNATION) not in self._departed:
                self._apply_row(_listed_update(identity, row), row, now_ms)
        self._index()

    def _apply_row(self, update: WorkerUpdate, row: dict[str, Any], now_ms: int) -> None:
        worker = self._workers.get(update.identity)
        if worker is None or not worker.listed or worker.address != update.address:
            if worker is not None:
                worker.leaving = True
            worker = self._workers[update.identity] = Worker(update, now_ms)
            worker.listed = True
        worker.zone, worker.labels = update.zone, frozenset(update.labels)
        worker.heard_ms = now_ms
        worker.leaving = row.get("state", _SERVING) != _SERVING

    def _read_list(self) -> None:
        number, body = self._worker_list()
        if number != self.list_number:
            self.list_number = number
            self.replace_list(json.loads(body)["workers"])

    def _index(self) -> None:
        self._by_label = {}
        for worker in self._workers.values():
            if worker.listed and not worker.leaving:
                for label in worker.labels:
                    self._by_label.setdefault(label, []).append(worker)

    def record_answer(self, worker: Worker) -> None:
        """Record that a worker completed a response, which resets its backoff."""
        worker.failures = 0
        worker.retry_at_ms = NEVER_MS
        worker.answered_ms = self.node.env.now()

    def record_connection_failure(self, worker: Worker) -> None:
        """Exclude a worker after a failed connection or a stall.

        A worker known by heartbeats is usable again from the second heartbeat after the failure on,
        as the first one may have been sent before it, or after twice `force_ms`. A listed worker
        stays usable. Both back off for a time that grows with each consecutive failure. Failures
        during a backoff are of the same outage, such as those of all requests that were in flight,
        so they do not count as consecutive ones.
        """
        now_ms = self.node.env.now()
        worker.down_heartbeat = worker.beat
        worker.down_ms = now_ms
        if now_ms >= worker.retry_at_ms:
            worker.failures += 1
            worker.retry_at_ms = now_ms + self._backoff_ms(worker)
        self._log("worker-down", worker, "WARNING")

    def _backoff_ms(self, worker: Worker) -> int:
        steps = min(worker.failures, _MAX_BACKOFF_STEPS)
        return int(self.node.settings.request_timeout_ms * _BACKOFF_SHARE * 2 ** (steps - 1))

    def record_overload(self, worker: Worker) -> None:
        """Record that a worker rejected a request because it had no free slot.

        Until its next report its slots and as many queue places are assumed to be taken. For
        `delta_ms` it gets no forwarded batch items and no live requests beyond its slots.
        """
        now_ms = self.node.env.now()
        worker.running = worker.waiting = worker.slots
        worker.in_flight_at_report = worker.in_flight
        worker.other_load = float(max(0, 2 * worker.slots - worker.in_flight))
        worker.load_reported_ms = now_ms
        worker.full_until_ms = now_ms + self.node.settings.delta_ms

    def record_mismatch(self, worker: Worker) -> None:
        """Remove a worker for good, as another one responded at its address."""
        if self._workers.get(worker.identity) is worker:
            del self._workers[worker.identity]
            self._departed[(worker.identity, worker.incarnation)] = self.node.env.now()
            self._index()
            self._log("worker-mismatch", worker, "WARNING")

    def is_backing_off(self, worker: Worker) -> bool:
        """Whether a worker's backoff after consecutive failures is still running."""
        return bool(self.node.env.now() < worker.retry_at_ms)

    def is_silent(self, worker: Worker) -> bool:
        """Whether no heartbeat of an unlisted worker came for longer than `worker_timeout_ms`.

        A listed worker is never silent.
        """
        silent_ms = self.node.env.now() - worker.heard_ms
        return not worker.listed and bool(silent_ms > self.node.settings.worker_timeout_ms)

    def last_heard_ms(self, profile: Any) -> int:
        """Return when a worker that this profile allows was last heard of, usable or not.

        NEVER_MS if there is none.
        """
        return max(
            (
                worker.heard_ms
                for worker in self._workers.values()
                if profile.allows(worker.identity, worker.labels)
            ),
            default=NEVER_MS,
        )

    def is_usable(self, worker: Worker) -> bool:
        """Whether new requests may be sent to this worker."""
        if worker.leaving or self.is_silent(worker):
            return False
        if worker.identity in self.lent or self._workers.get(worker.identity) is not worker:
            return False
        if worker.listed or worker.beat > worker.down_heartbeat + 1:
            return True
        down_for_ms = self.node.env.now() - worker.down_ms
        return bool(down_for_ms > 2 * self.node.settings.force_ms)

    def workers(self) -> list[Worker]:
        """Return the usable workers that any profile in force allows."""
        self._read_list()
        return [
            worker
            for worker in self._workers.values()
            if self.is_usable(worker) and self._allowed(worker.identity, worker.labels)
        ]

    def listed(self, labels: frozenset[str]) -> list[Worker]:
        """Return the listed workers with any of these labels, without checking the profiles.

        Draining workers and workers lent to rollouts are left out.
        """
        self._read_list()
        if len(labels) == 1 and not self.lent:
            return self._by_label.get(next(iter(labels)), [])
        return [
            worker
            for label in sorted(labels)
            for worker in self._by_label.get(label, [])
            if worker.identity not in self.lent
        ]

    def all(self) -> list[Worker]:
        """Return every known worker."""
        return list(self._workers.values())

    def resumed(self, gap_ms: int) -> None:
        """Handle the end of a freeze of this process that lasted `gap_ms` milliseconds.

        Heartbeats received before the freeze, or buffered during it, do not prove that a worker is
        alive, so they are discarded: those that arrive within `heartbeat_ms` do not count either.
        """
        now_ms = self.node.env.now()
        self._ignore_heartbeats_until_ms = now_ms + self.node.settings.heartbeat_ms
        for worker in self._workers.values():
            worker.heard_ms = NEVER_MS
            worker.down_ms = min(worker.down_ms, now_ms - gap_ms)
            if worker.failures:
                backoff_ms = self._backoff_ms(worker)
                worker.retry_at_ms = min(worker.retry_at_ms, now_ms - gap_ms + backoff_ms)
            worker.other_load = 0.0

    def tick(self) -> None:
        """Remove workers that have been silent for long, and old records of departed ones."""
        now_ms = self.node.env.now()
        keep_ms = _FORGET_AFTER_RESUMES * self.node.settings.resume_ms
        for identity in [
            worker.identity
            for worker in self._workers.values()
            if not worker.listed
            and now_ms - worker.heard_ms > keep_ms
            and now_ms > self._ignore_heartbeats_until_ms + keep_ms
        ]:
            del self._workers[identity]
        keep_departed_ms = _FORGET_DEPARTED_TIMES * keep_ms
        for instance in [
            instance
            for instance, departed_ms in self._departed.items()
            if now_ms - departed_ms > keep_departed_ms
        ]:
            del self._departed[instance]


def _is_old(update: WorkerUpdate, known: Worker) -> bool:
    """Whether this update has nothing newer than what is known of its worker."""
    return (
        known.incarnation == update.incarnation
        and known.beat >= update.beat
        and (known.leaving or not update.leaving)
    )


def _listed_update(identity: str, row: dict[str, Any]) -> WorkerUpdate:
    """Convert an entry of the worker list to a worker update."""
    return WorkerUpdate(
        identity=identity,
        incarnation=_LISTED_INCARNATION,
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
