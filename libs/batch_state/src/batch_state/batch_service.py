"""The store's service for batch jobs and idempotency keys.

It passes the requests of edges to the `LeaderService` while this store leads the log, and otherwise
responds with the leader that it knows.
"""

from collections import Counter
from collections.abc import Callable
from typing import Any

from messaging import Component, Message, Origin

from batch_state.interfaces import (
    ArchiveReader,
    DeadlineForecast,
    LogLeader,
    ProfileSource,
    RepairRequest,
)
from batch_state.leader_service import LeaderService
from batch_state.messages import (
    AdvanceListing,
    CancelJob,
    CloseKey,
    EdgeHeartbeat,
    GetItem,
    GetJob,
    ListForwardResults,
    ListResults,
    NotLeader,
    OpenKey,
    ReportItemOutcomes,
    ReportResult,
    RolloutHeartbeat,
    SubmitForwardJob,
    SubmitJob,
    SubmitRollout,
)
from batch_state.state import BatchState

__all__ = ["BatchService"]


class _NoArchive:
    """An archive without files, in use until the store sets its own."""

    def read_results(self, job: Any, from_index: int, limit: int, /) -> list[bytes] | None:
        """Return None, which means that the file can't be read."""
        return None

    def read_answer(self, key: Any, /) -> str | None:
        """Return None, which means that the file can't be read."""
        return None


class BatchService(Component):
    """Handles the requests of edges while this store leads the log.

    `counts` is the number of requests handled as leader, by the wire name of their type. The store
    sets `archive` and `request_repair`, and `make_forecast` if rollouts are to be dispatched.

    Parameters
    ----------
    profiles
        Returns the profiles in force.
    known_leader
        Returns the epoch and address of the leader that this store knows.
    committed_state
        Returns the state up to the last committed entry.
    """

    __slots__ = (
        "_committed_state",
        "_known_leader",
        "_profiles",
        "_service",
        "_swept_ms",
        "archive",
        "counts",
        "make_forecast",
        "request_repair",
    )
    HANDLES = (
        EdgeHeartbeat,
        RolloutHeartbeat,
        SubmitRollout,
        SubmitJob,
        GetJob,
        ListResults,
        CancelJob,
        ReportResult,
        AdvanceListing,
        OpenKey,
        CloseKey,
        SubmitForwardJob,
        ReportItemOutcomes,
        ListForwardResults,
        GetItem,
    )

    def __init__(
        self,
        profiles: ProfileSource,
        known_leader: Callable[[], tuple[int, str]],
        committed_state: Callable[[], BatchState],
    ) -> None:
        self._profiles = profiles
        self._known_leader = known_leader
        self._committed_state = committed_state
        self._service: LeaderService | None = None
        self._swept_ms = 0
        self.counts: dict[str, int] = {}
        self.archive: ArchiveReader = _NoArchive()
        self.request_repair: RepairRequest = lambda kind, name: None
        self.make_forecast: Callable[[], DeadlineForecast] | None = None

    def set_leader(self, leader: LogLeader | None) -> None:
        """Start to serve under a leader, or stop serving if it is None.

        Requests parked under the previous leader are answered with NotLeader.
        """
        if self._service is not None:
            self._service.close(self._not_leader())
        self._service = None
        if leader is not None:
            self._service = LeaderService(
                leader,
                self.node,
                self._profiles,
                self._committed_state,
                self.archive,
                self.request_repair,
                self.make_forecast() if self.make_forecast is not None else None,
            )

    def _not_leader(self) -> NotLeader:
        epoch, address = self._known_leader()
        return NotLeader(epoch=epoch, address=address)

    def _serving(self) -> LeaderService | None:
        """Return the service, or None unless this store leads the log."""
        if self._service is None or self._service.leader.deposed:
            return None
        return self._service

    def receive(self, message: Message, origin: Origin) -> None:
        """Handle a request of an edge, or respond with NotLeader."""
        service = self._serving()
        if service is None:
            self.node.reply(origin, self._not_leader())
            return
        wire_name = type(message).SCHEMA["name"]
        self.counts[wire_name] = self.counts.get(wire_name, 0) + 1
        service.receive(message, origin)

    def backlogs(self) -> dict[str, int]:
        """Return how many jobs other than rollouts are open on each path.

        It is empty unless this store is the leader.
        """
        service = self._serving()
        if service is None:
            return {}
        open_jobs = service.leader.state.open_jobs
        return dict(Counter(job.path for job in open_jobs.values() if not job.rollout))

    def tick(self) -> None:
        """Do the leader's periodic work; remove expired jobs and keys every `resume_ms`."""
        service = self._serving()
        if service is None:
            return
        service.tick()
        now_ms = self.node.env.now()
        if now_ms - self._swept_ms > self.node.settings.resume_ms:
            self._swept_ms = now_ms
            service.remove_expired()
