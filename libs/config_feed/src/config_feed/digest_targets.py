"""Which control nodes a node that is not a voter sends its digests to.

A few are chosen, of its own zone first and spread by rendezvous hashing, and kept as long as they
reply as nodes in contact with a majority. One that falls silent or is disconnected from the other
voters is avoided for removal_timeout_ms; a nearer one is tried again from time to time.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

from membership import Membership, rendezvous_weight

__all__ = ["DigestTargets", "candidates", "nearness"]

_NEVER_MS = -1 << 40
_SAME_ZONE, _SAME_REGION, _ELSEWHERE = range(3)
_WORST = (_ELSEWHERE + 1, 0)


class Candidate(NamedTuple):
    """A control node that may be chosen: its link address, zone and region."""

    address: str
    zone: str
    region: str


def nearness(zone: str, region: str, own_zone: str, own_region: str) -> int:
    """Return 0 in the same zone, 1 in the same region, 2 elsewhere."""
    if zone == own_zone:
        return _SAME_ZONE
    return _SAME_REGION if region == own_region else _ELSEWHERE


def candidates(
    voter_list: dict[str, Any] | None, membership: Membership, within_ms: int
) -> list[Candidate]:
    """Return the control nodes that may be chosen as targets.

    They are the listed voters or, before there is a list, the control nodes whose descriptions came
    within `within_ms`.
    """
    if voter_list:
        return [
            Candidate(row["address"], row.get("zone", ""), row.get("region", ""))
            for row in voter_list["voters"]
        ]
    return [
        Candidate(info.address, info.zone, info.region)
        for info in membership.nodes_in_role("control", within_ms)
    ]


class DigestTargets:
    """The chosen contacts of one node, nearest first.

    `node` gives the clock, the settings and this node's address. The feed reports which contacts
    were sent a digest (`sent_to`) and which replied (`replied`).
    """

    __slots__ = (
        "_avoided_until_ms",
        "_chosen",
        "_node",
        "_preference",
        "_previous",
        "_probe",
        "_probed_ms",
        "_unanswered_since_ms",
    )

    def __init__(self, node: Any) -> None:
        self._node = node
        self._chosen: list[str] = []
        self._previous: list[str] = []
        self._unanswered_since_ms: dict[str, int] = {}
        self._avoided_until_ms: dict[str, int] = {}
        self._probe = ""
        self._probed_ms = _NEVER_MS
        self._preference: dict[str, tuple[int, int]] = {}

    def rank(self, address: str) -> int:
        """Return 1 for the first contact, 2 for a further one, 0 for any other address."""
        return 0 if address not in self._chosen else 1 if address == self._chosen[0] else 2

    def choose(self, among: Iterable[Candidate]) -> list[str]:
        """Return the addresses to send a digest to now, the first contact first.

        After the contacts come sometimes a nearer candidate that is tried, and the contacts given
        up since the last call.
        """
        previous = set(self._previous)
        self._preference = self._preferences(among)
        self._avoid_silent()
        self._fill_chosen()
        self._previous = list(self._chosen)
        return [*self._chosen, *self._probe_nearer(), *sorted(previous - set(self._chosen))]

    def _preferences(self, among: Iterable[Candidate]) -> dict[str, tuple[int, int]]:
        """Return by address what candidates are compared by: nearness, then rendezvous weight."""
        node, settings = self._node, self._node.settings
        return {
            address: (
                nearness(zone, region, settings.zone, settings.region),
                -rendezvous_weight(address, node.address),
            )
            for address, zone, region in among
            if address != node.address
        }

    def _avoid_silent(self) -> None:
        """Give up the contacts that have not replied in time."""
        now_ms, timeout_ms = self._node.env.now(), self._node.settings.failure_timeout_ms
        silent = [
            address
            for address, since_ms in self._unanswered_since_ms.items()
            if now_ms - since_ms > timeout_ms
        ]
        for address in silent:
            self._avoid(address)

    def _fill_chosen(self) -> None:
        """Keep the contacts that are still candidates and add others up to fan_out."""
        fan_out = self._node.settings.fan_out
        still = [address for address in self._chosen if address in self._preference]
        self._chosen = still[:fan_out]
        while len(self._chosen) < min(fan_out, len(self._preference)):
            others = set(self._preference) - set(self._chosen)
            self._chosen.append(
                min(
                    others,
                    key=lambda address: (self._avoided_until(address), self._preference[address]),
                )
            )
        self._chosen.sort(key=self._preference.__getitem__)

    def _avoided_until(self, address: str) -> int:
        until_ms = self._avoided_until_ms.get(address, 0)
        return until_ms if until_ms > self._node.env.now() else 0

    def _probe_nearer(self) -> list[str]:
        """Return the best candidate, if it is not chosen and it is time to try it again."""
        now_ms = self._node.env.now()
        if now_ms - self._probed_ms >= self._node.settings.removal_timeout_ms:
            self._probed_ms = now_ms
            best = min(self._preference, key=self._preference.__getitem__, default="")
            self._probe = best if best and best not in self._chosen else ""
            return [self._probe] if self._probe else []
        return []

    def sent_to(self, address: str) -> None:
        """Note that a contact was sent a digest and has to reply within failure_timeout_ms."""
        if address in self._chosen:
            self._unanswered_since_ms.setdefault(address, self._node.env.now())

    def replied(self, address: str, in_contact: bool) -> None:
        """Note a reply; `in_contact` is whether its sender is in contact with a majority.

        A contact that is not is given up at once, if there is another one to choose.
        """
        if not in_contact:
            if address in self._chosen and len(self._preference) > len(self._chosen):
                self._avoid(address)
            self._unanswered_since_ms.pop(address, None)
            return
        self._unanswered_since_ms.pop(address, None)
        self._avoided_until_ms.pop(address, None)
        if address == self._probe and self._chosen and address not in self._chosen:
            worst = max(self._chosen, key=lambda row: self._preference.get(row, _WORST))
            if self._preference[address] < self._preference.get(worst, _WORST):
                self._chosen[self._chosen.index(worst)] = address
        self._probe = "" if address == self._probe else self._probe

    def _avoid(self, address: str) -> None:
        self._unanswered_since_ms.pop(address, None)
        self._avoided_until_ms[address] = (
            self._node.env.now() + self._node.settings.removal_timeout_ms
        )
        if address in self._chosen:
            self._chosen.remove(address)

    def resumed(self) -> None:
        """After a pause of this node, do not count missing replies against the contacts."""
        self._unanswered_since_ms.clear()
