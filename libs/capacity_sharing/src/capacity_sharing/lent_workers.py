"""Loans of whole workers as an edge follows them.

A worker that is lent, or about to be, is sent nothing new from the moment that the edge has the
loan from the feed, and for as long as it hears nothing newer. Where slots may be lent, the edge
reports each heartbeat to control and the other edges what it has running at each worker, and which
version of the loans it has. Slots that live calls lately needed at once at a worker are lent to no
sample.
"""

from collections.abc import Callable, Iterable
from typing import Any, cast

from config_feed import ConfigFeed
from messaging import Component, Message, Origin
from request_routing import RequestRouter, WorkerRegistry

from capacity_sharing.load import EdgeLoad, LiveLoad, load_report
from capacity_sharing.loan_table import LOANS_KEY, LoanTable

__all__ = ["LentWorkers"]

_LONG_AGO_MS = -1 << 40


class LentWorkers(Component):
    """The component of an edge that withholds lent workers and reports its load.

    `lends` returns whether any profile lends, `at_risk` whether a batch job may miss its deadline;
    `recipients` gives the addresses that are sent the reports.
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
        self._sent_ms = _LONG_AGO_MS
        config_feed.watch(self._published)

    def attach(self, node: Any) -> None:
        """Join the node and start to watch the live load over its `force_ms`."""
        super().attach(node)
        self._load = LiveLoad(node.settings.failure_timeout_ms, lambda: self.node.settings.force_ms)

    def receive(self, message: Message, origin: Origin) -> None:
        """Take another edge's report of its load."""
        self._load.record_report(origin.sender, cast(EdgeLoad, message), self.node.env.now())
        self._update_samples()

    def _update_samples(self) -> None:
        samples = self._load.samples_elsewhere(self.node.address)
        for worker in self._registry.all():
            worker.borrowed_elsewhere = samples.get(worker.identity, 0)

    def live_peak(self, worker: str) -> int | None:
        """Return the most live calls lately running at once at a worker; None while unknown."""
        return self._load.peak(worker)

    def resumed(self, gap_ms: int) -> None:
        """Forget all reports; called after the process was frozen."""
        self._load.reset()
        self._update_samples()

    def _published(self, key: str, number: int, body: str) -> None:
        if key == LOANS_KEY and body:
            lent = LoanTable.from_body(body).withheld()
            for identity in sorted(lent ^ self._registry.lent):
                self.node.env.log(
                    "worker-withheld" if identity in lent else "worker-serves-again",
                    worker=identity,
                    number=number,
                )
            self._registry.lent = lent

    def tick(self) -> None:
        """Report this edge's load once each `heartbeat_ms`, where slots or workers may be lent."""
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
        self._update_samples()
        for address in self._recipients():
            self.node.send(address, report)
