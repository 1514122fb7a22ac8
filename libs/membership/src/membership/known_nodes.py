"""The records that a node keeps of the other nodes it knows."""

from collections.abc import Iterator

from membership.messages import NodeInfo

__all__ = ["NEVER_MS", "KnownNodes", "NodeRecord"]

NEVER_MS = -1 << 40
"""A time before all others: the node was never heard."""

_MAX_COUNTERS = 4096
_NO_COUNTER = -1


class NodeRecord:
    """What is known of one other node; times are milliseconds of the own node's boot clock.

    `info` is its newest description, which came at `updated_ms`, directly or forwarded. The node
    has been known without interruption since `known_since_ms`. `has_refused` is whether its address
    has refused a connection since it was last heard.
    """

    __slots__ = ("has_refused", "info", "known_since_ms", "updated_ms")

    def __init__(self, info: NodeInfo, now_ms: int) -> None:
        self.info = info
        self.updated_ms = now_ms
        self.known_since_ms = now_ms
        self.has_refused = False


class KnownNodes:
    """The records by identity, the times of direct signs of life, and heartbeat counters.

    Counters outlive the records, so that an old description that is still being forwarded does not
    bring back a node that was forgotten.
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
        """Return the record of a node, or None."""
        return self._records.get(identity)

    def info(self, identity: str) -> NodeInfo:
        """Return the newest description of a known node. Raises KeyError."""
        return self._records[identity].info

    def updated_ms(self, identity: str) -> int:
        """Return when the newest description came, or NEVER_MS."""
        record = self._records.get(identity)
        return NEVER_MS if record is None else record.updated_ms

    def heard_ms(self, identity: str) -> int:
        """Return when the node was last heard directly, or NEVER_MS."""
        return self._heard_ms.get(identity, NEVER_MS)

    def note_heard(self, identity: str, now_ms: int) -> None:
        """Note a direct sign of life."""
        self._heard_ms[identity] = now_ms

    def counter(self, identity: str) -> int:
        """Return the highest heartbeat counter seen of a node, or -1."""
        return self._counters.get(identity, _NO_COUNTER)

    def reset_counter(self, identity: str, counter: int) -> None:
        """Accept lower counters of a node again, from `counter` on."""
        self._counters[identity] = counter - 1

    def put(self, info: NodeInfo, now_ms: int) -> None:
        """Take a newer description of a node."""
        record = self._records.get(info.identity)
        if record is None:
            self._records[info.identity] = NodeRecord(info, now_ms)
        else:
            record.info, record.updated_ms = info, now_ms
        self._counters[info.identity] = info.heartbeat

    def drop(self, identity: str) -> None:
        """Forget a node, but not its counter."""
        self._records.pop(identity, None)
        self._heard_ms.pop(identity, None)

    def identities_at(self, address: str) -> list[str]:
        """Return the identities of the nodes known at an address."""
        return [
            identity for identity, record in self._records.items() if record.info.address == address
        ]

    def prune_counters(self) -> None:
        """Forget the oldest counters of unknown nodes beyond the limit."""
        excess = max(0, len(self._counters) - _MAX_COUNTERS)
        for identity in list(self._counters)[:excess]:
            if identity not in self._records:
                del self._counters[identity]
