"""Which control nodes a node that is not a voter sends its digests to.

A few are chosen, of its own zone first and spread by rendezvous hashing, and kept as long as they
reply as nodes in contact with a majority. One that falls silent or is disconnected from the other
voters is avoided for removal_timeout_ms; a nearer one is tried again from time to time.
"""

from collections.abc import Iterable
from typing import Any

from membership import Membership, rendezvous_weight

__all__ = ["DigestTargets", "candidates", "nearness"]

Candidate = tuple[str, str, str]


def nearness(zone: str, region: str, own_zone: str, own_region: str) -> int:
    """Return 0 in the same zone, 1 in the same region, 2 elsewhere."""
    return 0 if zone == own_zone else 1 if region == own_region else 2


def candidates(
    listed: dict[str, Any] | None, neighbours: Membership, within_ms: int
) -> list[Candidate]:
    """Return address, zone and region of the control nodes that may be chosen as contacts.

    They are the listed voters or, before there is a list, the control nodes whose cards came within
    `within_ms`.
    """
    if listed:
        return [
            (row["address"], row.get("zone", ""), row.get("region", "")) for row in listed["voters"]
        ]
    return [
        (card.address, card.zone, card.region)
        for card in neighbours.nodes_in_role("control", within_ms)
    ]


class DigestTargets:
    """The chosen contacts of one node, nearest first.

    `node` gives the clock, the settings and this node's address. The feed reports which contacts
    were sent a digest (`asked`) and which replied (`heard`).
    """

    __slots__ = (
        "_asked_ms",
        "_chosen",
        "_left_until_ms",
        "_node",
        "_probe",
        "_probed_ms",
        "_rank",
        "_told",
    )

    def __init__(self, node: Any) -> None:
        self._node = node
        self._chosen: list[str] = []
        self._told: list[str] = []
        self._asked_ms: dict[str, int] = {}
        self._left_until_ms: dict[str, int] = {}
        self._probe = ""
        self._probed_ms = -1 << 40
        self._rank: dict[str, tuple] = {}

    def rank(self, address: str) -> int:
        """Return 1 for the first contact, 2 for a further one, 0 for any other address."""
        return 0 if address not in self._chosen else 1 if address == self._chosen[0] else 2

    def choose(self, among: Iterable[Candidate]) -> list[str]:
        """Return the addresses to send a digest to now, the first contact first.

        After the contacts come sometimes a nearer candidate that is tried, and the contacts given
        up since the last call.
        """
        node = self._node
        now_ms = node.env.now()
        settings = node.settings
        self._rank = {
            address: (
                nearness(zone, region, settings.zone, settings.region),
                -rendezvous_weight(address, node.address),
            )
            for address, zone, region in among
            if address != node.address
        }
        before = set(self._told)
        for address in [
            address
            for address, at_ms in self._asked_ms.items()
            if now_ms - at_ms > settings.failure_timeout_ms
        ]:
            self._leave(address)
        self._chosen = [address for address in self._chosen if address in self._rank][
            : settings.fan_out
        ]
        while len(self._chosen) < min(settings.fan_out, len(self._rank)):
            self._chosen.append(
                min(
                    set(self._rank) - set(self._chosen),
                    key=lambda row: (self._left(row), self._rank[row]),
                )
            )
        self._chosen.sort(key=self._rank.__getitem__)
        self._told = list(self._chosen)
        return [*self._chosen, *self._nearer(now_ms), *sorted(before - set(self._chosen))]

    def _left(self, address: str) -> int:
        until_ms = self._left_until_ms.get(address, 0)
        return until_ms if until_ms > self._node.env.now() else 0

    def _nearer(self, now_ms: int) -> list[str]:
        if now_ms - self._probed_ms >= self._node.settings.removal_timeout_ms:
            self._probed_ms = now_ms
            best = min(self._rank, key=self._rank.__getitem__, default="")
            self._probe = best if best and best not in self._chosen else ""
            return [self._probe] if self._probe else []
        return []

    def asked(self, address: str) -> None:
        """Note that a contact was sent a digest and has to reply within failure_timeout_ms."""
        if address in self._chosen:
            self._asked_ms.setdefault(address, self._node.env.now())

    def heard(self, address: str, sure: bool) -> None:
        """Note a reply; `sure` is whether the sender is in contact with a majority of the voters.

        A contact that is not is given up at once, if there is another one to choose.
        """
        if not sure:
            if address in self._chosen and len(self._rank) > len(self._chosen):
                self._leave(address)
            self._asked_ms.pop(address, None)
            return
        self._asked_ms.pop(address, None)
        self._left_until_ms.pop(address, None)
        if address == self._probe and self._chosen and address not in self._chosen:
            worst = max(self._chosen, key=lambda row: self._rank.get(row, (9,)))
            if self._rank[address] < self._rank.get(worst, (9,)):
                self._chosen[self._chosen.index(worst)] = address
        self._probe = "" if address == self._probe else self._probe

    def _leave(self, address: str) -> None:
        self._asked_ms.pop(address, None)
        self._left_until_ms[address] = self._node.env.now() + self._node.settings.removal_timeout_ms
        if address in self._chosen:
            self._chosen.remove(address)

    def resumed(self) -> None:
        """After a pause of this node, do not count missing replies against the contacts."""
        self._asked_ms.clear()
