"""Processor time and bytes that work costs groups of nodes of a metered fleet.

What the same span costs them when idle is subtracted.
"""

from collections.abc import Callable
from typing import Any

from testbed.measure_scale import MeteredFleet, sample

__all__ = ["NODES", "EdgeClient", "MeteredCosts", "big_disks", "store_groups"]

NODES = 12
_KINDS = ("tick", "receive", "packing", "report", "disk", "append")


class EdgeClient:
    """An edge as the holder sees it, which answers nothing and keeps the answers that it gets."""

    up, frozen = True, False

    def __init__(self, fleet: MeteredFleet) -> None:
        self.node = self
        self.address = "10.8.0.1:7000"
        self.answers: dict[int, Any] = {}
        self._fleet, self._next_request_id = fleet, 0
        fleet.network.hosts[self.address] = self

    def receive(self, sender: str, request_id: int, in_reply_to: int, message: Any) -> None:
        """Keep an answer."""
        self.answers[in_reply_to] = message

    def ask(self, message: Any, limit_ms: float = 4000) -> Any:
        """Send a message to the holder and return its answer; AssertionError after `limit_ms`."""
        self._next_request_id += 1
        request_id = self._next_request_id
        self._fleet.network.send(self.address, self._fleet.leader().address, request_id, 0, message)
        if not self._fleet.run_until_true(lambda: request_id in self.answers, limit_ms):
            raise AssertionError(f"no answer to {type(message).__name__}")
        return self.answers.pop(request_id)


class MeteredCosts:
    """Processor time of groups of nodes over a span, less what they spend when idle."""

    def __init__(self, fleet: MeteredFleet, groups: dict[str, list[str]]) -> None:
        self._fleet, self._groups = fleet, groups
        sample(fleet, 4000)
        self._idle = {name: value / 4000 for name, value in self._now(0).items()}

    def _now(self, since_ms: float) -> dict[str, float]:
        meter = self._fleet.meter
        rows = {
            f"{name} ms": sum(meter.work_s[address, kind] for address in group for kind in _KINDS)
            * 1000
            for name, group in self._groups.items()
        }
        rows.update(
            {
                f"{name} kB sent": sum(meter.counts[address, "bytes"] for address in group) / 1000
                for name, group in self._groups.items()
            }
        )
        return rows

    def of(self, work: Callable[[], None], count: int) -> dict[str, float]:
        """Return the cost of one of the `count` operations of `work`, for each group as a whole."""
        self._fleet.meter.clear()
        began_ms = self._fleet.time.now_ms
        work()
        span_ms = self._fleet.time.now_ms - began_ms
        return {
            name: (value - self._idle[name] * span_ms) / count
            for name, value in self._now(0).items()
        }


def store_groups(fleet: MeteredFleet) -> dict[str, list[str]]:
    """Return the addresses of the holder and of the other stores, as groups."""
    holder = fleet.leader().address
    return {
        "holder": [holder],
        "peers": [host.address for host in fleet.with_role("store") if host.address != holder],
    }


def big_disks() -> dict[str, Any]:
    """Return settings for disks that don't fill up during a measurement."""
    return {"disk_bytes": 1 << 30, "segment_bytes": 1 << 22}
