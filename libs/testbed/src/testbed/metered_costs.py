"""The processor time and bytes that operations cost groups of nodes of a metered fleet.

The cost of an idle span of the same length is subtracted.
"""

from collections.abc import Callable
from typing import Any

from testbed.measure_scale import MeteredFleet, meter_span

__all__ = ["NODES", "EdgeClient", "MeteredCosts", "large_disk_settings", "store_groups"]

NODES = 12
_KINDS = ("tick", "receive", "packing", "report", "disk", "append")


class EdgeClient:
    """A stand-in for an edge that sends requests to the log's leader.

    It answers no messages, and keeps each response until `request` returns it.
    """

    up, frozen = True, False

    def __init__(self, fleet: MeteredFleet) -> None:
        self.node = self
        self.address = "10.8.0.1:7000"
        self.responses: dict[int, Any] = {}
        self._fleet, self._next_request_id = fleet, 0
        fleet.network.hosts[self.address] = self

    def receive(self, sender: str, request_id: int, in_reply_to: int, message: Any) -> None:
        """Keep a response."""
        self.responses[in_reply_to] = message

    def request(self, message: Any, limit_ms: float = 4000) -> Any:
        """Send a request to the leader and return the response.

        Raises AssertionError if there is none within `limit_ms` of virtual time.
        """
        self._next_request_id += 1
        request_id = self._next_request_id
        self._fleet.network.send(self.address, self._fleet.leader().address, request_id, 0, message)
        if not self._fleet.run_until_true(lambda: request_id in self.responses, limit_ms):
            raise AssertionError(
                f"no response to {type(message).__name__} within {limit_ms} ms of virtual time"
            )
        return self.responses.pop(request_id)


class MeteredCosts:
    """Measures operations by groups of nodes, given as addresses by the name of the group.

    The idle cost is measured over 4 s of virtual time at the start.
    """

    def __init__(self, fleet: MeteredFleet, groups: dict[str, list[str]]) -> None:
        self._fleet, self._groups = fleet, groups
        meter_span(fleet, 4000)
        self._idle = {name: value / 4000 for name, value in self._totals(0).items()}

    def _totals(self, since_ms: float) -> dict[str, float]:
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
        """Return the cost of one of the `count` operations of `work`, for each whole group."""
        self._fleet.meter.clear()
        began_ms = self._fleet.time.now_ms
        work()
        span_ms = self._fleet.time.now_ms - began_ms
        return {
            name: (value - self._idle[name] * span_ms) / count
            for name, value in self._totals(0).items()
        }


def store_groups(fleet: MeteredFleet) -> dict[str, list[str]]:
    """Return the addresses of the log's leader and of the other stores, as groups."""
    leader = fleet.leader().address
    return {
        "holder": [leader],
        "peers": [host.address for host in fleet.with_role("store") if host.address != leader],
    }


def large_disk_settings() -> dict[str, Any]:
    """Return settings of disks that do not fill up during a measurement."""
    return {"disk_bytes": 1 << 30, "segment_bytes": 1 << 22}
