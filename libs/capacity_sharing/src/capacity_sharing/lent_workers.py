"""Loans of whole workers at an edge: it withholds lent workers and reports its load.

The edge sends no new requests to a worker from when the config feed delivers a version of the loans
in which the worker is being lent, is lent or is recalled, until it delivers one in which the worker
serves again. An edge that is cut off from control therefore goes on withholding the workers that it
knows to be lent.

While slots or workers may be lent, the edge reports in each heartbeat interval to the control nodes
and to the other edges how many requests it has running at each worker, and under which version of
the loans. From these reports each edge derives the peak of live calls at a worker; that many slots
are kept free of samples.
"""

from collections.abc import Callable, Iterable
from typing import Any, cast

from config_feed import ConfigFeed
from messaging import Component, Message, Origin
from request_routing import RequestRouter, WorkerRegistry

from capacity_sharing.load import EdgeLoad, LiveLoad, load_report
from capacity_sharing.loan_table import LOANS_KEY, LoanTable

__all__ = ["LentWorkers"]

_NEVER_MS = -1 << 40


class LentWorkers(Component):
    """The component of an edge that withholds lent workers and reports its load.

    Parameters
    ----------
    edge
        Identity of the edge.
    config_feed
        Provides the versions of the loans.
    registry
        The known workers; this component sets which of them are lent.
    router
        The requests of this edge that are running or waiting.
    lends
        Returns whether any usable profile lends slots.
    at_risk
        Returns whether a batch job may miss its deadline.
    recipients
        Returns the addresses that the reports are sent to.
    """

    __slots__ = (
        "_at_risk",
        "_config_feed",
        "_edge",
        "_lends",
        "_load",
        "_recipients",
        "_registry",
        "_router",
        "_sent_ms",
    )
    HANDLES = (EdgeLoad,)

    _load: LiveLoad

    def __init__(
        self,
        edge: str,
        config_feed: ConfigFeed,
        registry: WorkerRegistry,
        router: RequestRouter,
        lends: Callable[[], bool],
        at_risk: Callable[[], bool],
        recipients: Callable[[], Iterable[str]],
    ) -> None:
        self._edge = edge
        self._config_feed = config_feed
        self._registry = registry
        self._router = router
        self._lends = lends
        self._at_risk = at_risk
        self._recipients = recipients
        self._sent_ms = _NEVER_MS
        config_feed.watch(self._published)

    def attach(self, node: Any) -> None:
        """Attach the node and measure the live load over windows of `force_ms`."""
        super().attach(node)
        self._load = LiveLoad(node.settings.failure_timeout_ms, lambda: self.node.settings.force_ms)

    def receive(self, message: Message, origin: Origin) -> None:
        """Record another edge's report of its load."""
        self._load.record_report(origin.sender, cast(EdgeLoad, message), self.node.env.now())
        self._update_borrowed_elsewhere()

    def _update_borrowed_elsewhere(self) -> None:
        """Set for each worker in how many slots other edges run samples."""
        samples = self._load.samples_elsewhere(self.node.address)
        for worker in self._registry.all():
            worker.borrowed_elsewhere = samples.get(worker.identity, 0)

    def live_peak(self, worker: str) -> int | None:
        """Return the peak of live calls running at a worker in the window; None if unknown."""
        return self._load.peak(worker)

    def resumed(self, gap_ms: int) -> None:
        """Drop all reports, which are out of date after the process was frozen."""
        self._load.reset()
        self._update_borrowed_elsewhere()

    def _published(self, key: str, version: int, body: str) -> None:
        if key == LOANS_KEY and body:
            lent = LoanTable.from_body(body).withheld()
            for identity in sorted(lent ^ self._registry.lent):
                self.node.env.log(
                    "worker-withheld" if identity in lent else "worker-serves-again",
                    worker=identity,
                    number=version,
                )
            self._registry.lent = lent

    def tick(self) -> None:
        """Report this edge's load every `heartbeat_ms` while slots are lendable or workers lent."""
        now_ms = self.node.env.now()
        if now_ms - self._sent_ms < self.node.settings.heartbeat_ms or not (
            self._lends() or self._registry.lent
        ):
            return
        self._sent_ms = now_ms
        report = load_report(
            self._edge,
            self._config_feed.version(LOANS_KEY),
            self._registry,
            self._router,
            self._at_risk(),
        )
        self._load.record_report(self.node.address, report, now_ms)
        self._load.measure(now_ms)
        self._update_borrowed_elsewhere()
        for address in self._recipients():
            self.node.send(address, report)
