"""Records of the other nodes of the fleet, kept by each node in memory."""

from collections.abc import Iterator

from membership.messages import NodeInfo

__all__ = ["NEVER_MS", "KnownNodes", "NodeRecord"]

NEVER_MS = -1 << 40
"""A time before all others; stands for a node that was never heard from."""

_MAX_COUNTERS = 4096
_NO_COUNTER = -1


class NodeRecord:
    """The record of one other node; times are milliseconds of the local node's boot clock.

    `info` is the newest description of the node, received at `updated_ms` from the node itself or
    forwarded by another. The record has existed without interruption since `known_since_ms`.
    `has_refused` is True if the node's address refused a connection after the last message from the
    node itself.
    """

    __slots__ = ("has_refused", "info", "known_since_ms", "updated_ms")

    def __init__(self, info: NodeInfo, now_ms: int) -> None:
        self.info = info
        self.updated_ms = now_ms
        self.known_since_ms = now_ms
        self.has_refused = False


class KnownNodes:
    """Node records, times of direct contact, and heartbeat counters, all by node identity.

    A heartbeat counter is kept when its record is dropped, so that an old description that other
    nodes still forward does not add a dropped node again.
    """

    __slots__ = ("_counters", "_heard_ms", "_records")

    def __init__(self) -> None:
        self._records: dict[str, NodeRecord] = {}
        self._heard_ms: dict[str, int] = {}
        self._counters: dict[str, int] = {}

    def __contains__(self, identity: str) -> bool:
        return identity in self._records

    def __iter__(self) -> Iterator[NodeRecord]:
        return iter(self._records.values())

    def get(self, identity: str) -> NodeRecord | None:
        """Return the record of a node, or None if it is not known."""
        return self._records.get(identity)

    def info(self, identity: str) -> NodeInfo:
        """Return the newest description of a node. Raises KeyError if the node is not known."""
        return self._records[identity].info

    def updated_ms(self, identity: str) -> int:
        """Return when the newest description was received, or NEVER_MS."""
        record = self._records.get(identity)
        return NEVER_MS if record is None else record.updated_ms

    def heard_ms(self, identity: str) -> int:
        """Return when the last message came from the node itself, or NEVER_MS."""
        return self._heard_ms.get(identity, NEVER_MS)

    def note_heard(self, identity: str, now_ms: int) -> None:
        """Record a message received from the node itself."""
        self._heard_ms[identity] = now_ms

    def counter(self, identity: str) -> int:
        """Return the newest heartbeat counter accepted from a node, or -1."""
        return self._counters.get(identity, _NO_COUNTER)

    def reset_counter(self, identity: str, counter: int) -> None:
        """Lower the counter of a node, so that descriptions from `counter` on are accepted."""
        self._counters[identity] = counter - 1

    def put(self, info: NodeInfo, now_ms: int) -> None:
        """Store a newer description of a node and its heartbeat counter."""
        record = self._records.get(info.identity)
        if record is None:
            self._records[info.identity] = NodeRecord(info, now_ms)
        else:
            record.info, record.updated_ms = info, now_ms
        self._counters[info.identity] = info.heartbeat

    def drop(self, identity: str) -> None:
        """Remove the record of a node, but keep its heartbeat counter."""
        self._records.pop(identity, None)
        self._heard_ms.pop(identity, None)

    def identities_at(self, address: str) -> list[str]:
        """Return the identities of the known nodes with this address."""
        return [
            identity for identity, record in self._records.items() if record.info.address == address
        ]

    def prune_counters(self) -> None:
        """Remove the oldest counters of dropped nodes if more than the maximum number are kept."""
        excess = max(0, len(self._counters) - _MAX_COUNTERS)
        for identity in list(self._counters)[:excess]:
            if identity not in self._records:
                del self._counters[identity]
