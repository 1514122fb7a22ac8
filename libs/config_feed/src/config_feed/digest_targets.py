"""Selection of the control nodes to which a node that is not a voter sends its digests.

With the setting `fan_out` = n, a node selects n targets, those of its own zone first and then those
of its region, spread by rendezvous hashing. It keeps a target as long as that replies and is in
contact with a majority of the voters. A target that stops replying, or loses this contact, is
replaced and avoided for `removal_timeout_ms`. If the preferred candidate is not a target, it is
probed every `removal_timeout_ms`.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

from membership import Membership, rendezvous_weight

__all__ = ["DigestTargets", "digest_target_candidates", "nearness"]

_NEVER_MS = -1 << 40
_SAME_ZONE, _SAME_REGION, _ELSEWHERE = range(3)
_WORST = (_ELSEWHERE + 1, 0)


class Candidate(NamedTuple):
    """A control node that may be selected: its link address, zone and region."""

    address: str
    zone: str
    region: str


def nearness(zone: str, region: str, own_zone: str, own_region: str) -> int:
    """Return 0 for the same zone, 1 for the same region, 2 for any other."""
    if zone == own_zone:
        return _SAME_ZONE
    return _SAME_REGION if region == own_region else _ELSEWHERE


def digest_target_candidates(
    voter_list: dict[str, Any] | None, membership: Membership, within_ms: int
) -> list[Candidate]:
    """Return the control nodes that may be selected as targets.

    They are the listed voters or, before there is a list, the control nodes described to this node
    within the last `within_ms`.
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
    """The targets of one node's digests, the preferred one first.

    Candidates are preferred by nearness and then by rendezvous weight. The feed calls `sent_to`
    when it sends a digest to a target, and `replied` when a digest of a control node arrives.

    Parameters
    ----------
    node
        The node, of which the clock, the settings and the address are used.
    """

    __slots__ = (
        "_avoided_until_ms",
        "_node",
        "_preference",
        "_previous",
        "_probe",
        "_probed_ms",
        "_targets",
        "_unanswered_since_ms",
    )

    def __init__(self, node: Any) -> None:
        self._node = node
        self._targets: list[str] = []
        self._previous: list[str] = []
        self._unanswered_since_ms: dict[str, int] = {}
        self._avoided_until_ms: dict[str, int] = {}
        self._probe = ""
        self._probed_ms = _NEVER_MS
        self._preference: dict[str, tuple[int, int]] = {}

    def rank(self, address: str) -> int:
        """Return 1 for the preferred target, 2 for any other target, 0 for any other address."""
        return 0 if address not in self._targets else 1 if address == self._targets[0] else 2

    def choose(self, candidates: Iterable[Candidate]) -> list[str]:
        """Update the targets and return the addresses to send a digest to, the preferred one first.

        The targets are followed by the candidate to probe, if one is due, and by the targets that
        were replaced since the last call, so that these learn of their new rank.
        """
        previous = set(self._previous)
        self._preference = self._preferences(candidates)
        self._avoid_silent()
        self._fill_targets()
        self._previous = list(self._targets)
        return [*self._targets, *self._probe_nearer(), *sorted(previous - set(self._targets))]

    def _preferences(self, candidates: Iterable[Candidate]) -> dict[str, tuple[int, int]]:
        """Return the sort key of each candidate by address: nearness, then rendezvous weight."""
        node, settings = self._node, self._node.settings
        return {
            address: (
                nearness(zone, region, settings.zone, settings.region),
                -rendezvous_weight(address, node.address),
            )
            for address, zone, region in candidates
            if address != node.address
        }

    def _avoid_silent(self) -> None:
        """Give up the targets that have not replied within `failure_timeout_ms`."""
        now_ms, timeout_ms = self._node.env.now(), self._node.settings.failure_timeout_ms
        silent = [
            address
            for address, since_ms in self._unanswered_since_ms.items()
            if now_ms - since_ms > timeout_ms
        ]
        for address in silent:
            self._avoid(address)

    def _fill_targets(self) -> None:
        """Keep the targets that are still candidates, and add others up to `fan_out`."""
        fan_out = self._node.settings.fan_out
        kept = [address for address in self._targets if address in self._preference]
        self._targets = kept[:fan_out]
        while len(self._targets) < min(fan_out, len(self._preference)):
            others = set(self._preference) - set(self._targets)
            self._targets.append(
                min(
                    others,
                    key=lambda address: (self._avoided_until(address), self._preference[address]),
                )
            )
        self._targets.sort(key=self._preference.__getitem__)

    def _avoided_until(self, address: str) -> int:
        until_ms = self._avoided_until_ms.get(address, 0)
        return until_ms if until_ms > self._node.env.now() else 0

    def _probe_nearer(self) -> list[str]:
        """Return the preferred candidate if it is not a target and its next probe is due."""
        now_ms = self._node.env.now()
        if now_ms - self._probed_ms >= self._node.settings.removal_timeout_ms:
            self._probed_ms = now_ms
            best = min(self._preference, key=self._preference.__getitem__, default="")
            self._probe = best if best and best not in self._targets else ""
            return [self._probe] if self._probe else []
        return []

    def sent_to(self, address: str) -> None:
        """Record that a digest was sent; a target has to reply within `failure_timeout_ms`."""
        if address in self._targets:
            self._unanswered_since_ms.setdefault(address, self._node.env.now())

    def replied(self, address: str, in_contact: bool) -> None:
        """Record a digest received from a control node.

        A target without contact with a majority of the voters is given up at once if there is
        another candidate. A probed candidate with such contact replaces the least preferred target,
        if it is preferred to that.

        Parameters
        ----------
        address
            The address of the sender.
        in_contact
            Whether the sender is in contact with a majority of the voters.
        """
        if not in_contact:
            if address in self._targets and len(self._preference) > len(self._targets):
                self._avoid(address)
            self._unanswered_since_ms.pop(address, None)
            return
        self._unanswered_since_ms.pop(address, None)
        self._avoided_until_ms.pop(address, None)
        if address == self._probe and self._targets and address not in self._targets:
            worst = max(self._targets, key=lambda target: self._preference.get(target, _WORST))
            if self._preference[address] < self._preference.get(worst, _WORST):
                self._targets[self._targets.index(worst)] = address
        self._probe = "" if address == self._probe else self._probe

    def _avoid(self, address: str) -> None:
        self._unanswered_since_ms.pop(address, None)
        self._avoided_until_ms[address] = (
            self._node.env.now() + self._node.settings.removal_timeout_ms
        )
        if address in self._targets:
            self._targets.remove(address)

    def resumed(self) -> None:
        """Disregard missing replies after a pause of this node."""
        self._unanswered_since_ms.clear()
