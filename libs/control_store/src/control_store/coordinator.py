"""The coordinator: the control node that proposes changes of the voter list.

It proposes the next list (`control_store.voter_succession`) as a change of the key `control`, after
every key has been replicated to a majority of the current list (`control_store.key_sweep`).
"""

import json
from collections.abc import Callable
from typing import Any

from config_feed import ConfigFeed
from membership import Membership
from messaging import Node

from control_store.acceptor import CONTROL_KEY, Acceptor
from control_store.key_owner import KeyOwner
from control_store.key_sweep import RETIRED_KEY, KeySweep
from control_store.messages import Change, ChangeResult, Outcome, VoterListDecided
from control_store.voter_list import NodeLocation, VoterList
from control_store.voter_succession import next_list_of_all_nodes, next_list_of_fixed_size

__all__ = ["Coordinator"]

COORDINATOR_KEY = "steward"  # has no value; its owner is the coordinator


class _Observations:
    """What this node has observed of the control nodes.

    Parameters
    ----------
    acceptor
        Holds the identity of this node and the current voters.
    membership
        The control nodes that this node knows.
    node
        Provides the clock and the settings.
    running_since_ms
        When this node started, or resumed after its last pause, on its clock.
    """

    __slots__ = ("_identity", "_membership", "_now_ms", "_running_since_ms", "_settings", "_voters")

    def __init__(
        self, acceptor: Acceptor, membership: Membership, node: Node, running_since_ms: int
    ) -> None:
        self._identity = acceptor.identity
        self._voters = acceptor.voters
        self._membership = membership
        self._settings = node.settings
        self._now_ms: int = node.env.now()
        self._running_since_ms = running_since_ms

    def can_detect_losses(self) -> bool:
        """Whether this node has run for removal_timeout_ms, so that it can tell a lost voter."""
        return bool(self._now_ms - self._running_since_ms >= self._settings.removal_timeout_ms)

    def is_silent(self, identity: str) -> bool:
        """Whether a voter was silent for removal_timeout_ms in which this node was running."""
        return self.can_detect_losses() and not self._membership.is_live(
            identity, self._settings.removal_timeout_ms
        )

    def is_stable(self, node: NodeLocation) -> bool:
        """Whether a node has been known for longer than a request can be in flight."""
        known_ms = self._now_ms - self._membership.known_since_ms(node.identity)
        return bool(known_ms > self._settings.request_timeout_ms)

    def all_voters_heard_since(self, node: NodeLocation) -> bool:
        """Whether every voter was heard from, directly or not, after a node was first known.

        Only what came at least one heartbeat period after that counts.
        """
        known_ms = max(self._membership.known_since_ms(node.identity), self._running_since_ms)
        since_ms = known_ms + self._settings.heartbeat_ms
        return all(
            identity == self._identity or self._membership.last_heard_ms(identity) >= since_ms
            for identity in self._voters
        )

    def has_returned(self, identity: str) -> bool | None:
        """Whether a voter sent this node a message within failure_timeout_ms.

        None if it has not, and this node has not run for longer than that.
        """
        if self._membership.is_heard_directly(identity, self._settings.failure_timeout_ms):
            return True
        return (
            False
            if self._now_ms - self._running_since_ms > self._settings.failure_timeout_ms
            else None
        )


class Coordinator:
    """Proposes voter lists if this node is the coordinator, and repairs the keys that it owns.

    `busy` is set while a change of the list is in progress.

    Parameters
    ----------
    acceptor
        Holds the identity of this node and the current voter list.
    owner
        Executes operations on control keys.
    membership
        The control nodes that this node knows.
    config_feed
        Provides the values of the keys `control` and `retired`.
    run_again_in
        Sets the delay until the next call of `run`, in ms.
    """

    __slots__ = (
        "_acceptor",
        "_config_feed",
        "_key_sweep",
        "_membership",
        "_node",
        "_owner",
        "_run_again_in",
        "_running_since_ms",
        "busy",
    )
    _node: Node

    def __init__(
        self,
        acceptor: Acceptor,
        owner: KeyOwner,
        membership: Membership,
        config_feed: ConfigFeed,
        run_again_in: Callable[[int], None],
    ) -> None:
        self._acceptor = acceptor
        self._owner = owner
        self._membership = membership
        self._config_feed = config_feed
        self._run_again_in = run_again_in
        self._key_sweep = KeySweep(acceptor, owner, config_feed)
        self._running_since_ms = -1
        self.busy = False

    def attach(self, node: Node) -> None:
        """Set the node that provides the clock, the settings and messaging."""
        self._node = node
        self._key_sweep.attach(node)

    def identity(self) -> str | None:
        """Return the identity of the coordinator, or None if no voter is live."""
        return self._owner.owner_of(COORDINATOR_KEY)

    def restart_observation(self) -> None:
        """Restart the observation, since heartbeats may have been missed during a pause."""
        self._running_since_ms = self._node.env.now()

    def observe(self) -> None:
        """Start the observation on the first call."""
        if self._running_since_ms < 0:
            self.restart_observation()

    def run(self) -> None:
        """Read and repair the keys that this node owns.

        The coordinator also proposes the next voter list if a change is due.
        """
        self._key_sweep.read_missing_values()
        if self.identity() != self._acceptor.identity:
            self._key_sweep.repair_owned()
            return
        if self._config_feed.version(CONTROL_KEY) == 0:
            self._store_first_list()
            return
        next_list = self._next_list()
        if next_list is None:
            self._key_sweep.repair_owned()
            return
        self.busy = True
        self._key_sweep.ensure_all_replicated(lambda ok: self._on_swept(next_list, ok))

    def _store_first_list(self) -> None:
        body = _canonical(json.loads(self._acceptor.metadata.list_body))
        self._owner.submit(
            Change(key=CONTROL_KEY, version=0, change_id="founding", hops=0, body=body),
            lambda result: None,
        )

    def _next_list(self) -> VoterList | None:
        """Return the next voter list, one step from the current one; None if no change is due."""
        settings = self._node.settings
        observations = _Observations(
            self._acceptor, self._membership, self._node, self._running_since_ms
        )
        retired = set((self._config_feed.value(RETIRED_KEY) or {}).get("identities", []))
        current = VoterList.from_body(self._acceptor.metadata.list_body)
        standbys = [
            node
            for node in self._membership.nodes_in_role("control", settings.failure_timeout_ms)
            if node.identity not in self._acceptor.voters and node.identity not in retired
        ]
        if not settings.control_count:
            return next_list_of_all_nodes(current, standbys, retired, observations)
        if not observations.can_detect_losses():
            return None
        return next_list_of_fixed_size(
            current, standbys, retired, observations, settings.control_count
        )

    def _on_swept(self, next_list: VoterList, ok: bool) -> None:
        if ok and next_list.number == self._acceptor.list_number + 1:
            self._propose(next_list)
        else:
            self.busy = False

    def _propose(self, next_list: VoterList) -> None:
        self._node.env.log(
            "voters-changing",
            "WARNING",
            number=next_list.number,
            voters=next_list.identities(),
        )
        self._owner.submit(
            Change(
                key=CONTROL_KEY,
                version=self._config_feed.version(CONTROL_KEY),
                change_id=f"voters-{next_list.number}-{self._acceptor.identity}",
                body=_canonical(next_list.to_json()),
                hops=0,
            ),
            lambda result: self._on_changed(next_list, result),
        )

    def _on_changed(self, next_list: VoterList, result: ChangeResult) -> None:
        self.busy = False
        if result.outcome != Outcome.OK:
            return
        if VoterList.from_body(result.body).number != next_list.number:
            return
        self._run_again_in(self._node.settings.heartbeat_ms // 4)
        for voter in next_list.voters:
            self._node.send(voter.address, VoterListDecided(list_body=result.body))


def _canonical(value: Any) -> str:
    return json.dumps(value, sort_keys=True)
