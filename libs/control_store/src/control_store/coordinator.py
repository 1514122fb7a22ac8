"""The coordinator: the control node that coordinates the changes of the list of voters.

It proposes each list that follows (`control_store.voter_succession`) as a change of the key
`control`, after a sweep over all keys (`control_store.key_sweep`).
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

COORDINATOR_KEY = "steward"


class _Observations:
    """What this node has observed of the control nodes while it was awake, since `awake_ms`."""

    __slots__ = ("_awake_ms", "_identity", "_membership", "_now_ms", "_settings", "_voters")

    def __init__(
        self, acceptor: Acceptor, membership: Membership, node: Node, awake_ms: int
    ) -> None:
        self._identity = acceptor.identity
        self._voters = acceptor.voters
        self._membership = membership
        self._settings = node.settings
        self._now_ms: int = node.env.now()
        self._awake_ms = awake_ms

    def is_long_awake(self) -> bool:
        """Whether this node has been awake for long enough to take a voter for lost."""
        return bool(self._now_ms - self._awake_ms >= self._settings.removal_timeout_ms)

    def is_silent(self, identity: str) -> bool:
        """Whether a voter has sent no heartbeat for removal_timeout_ms."""
        return self.is_long_awake() and not self._membership.is_live(
            identity, self._settings.removal_timeout_ms
        )

    def is_stable(self, node: NodeLocation) -> bool:
        """Whether a node has been known for longer than a request may be under way."""
        known_ms = self._now_ms - self._membership.known_since_ms(node.identity)
        return bool(known_ms > self._settings.request_timeout_ms)

    def all_voters_heard_since(self, node: NodeLocation) -> bool:
        """Whether every voter has sent a heartbeat, one period after a node was first known."""
        known_ms = max(self._membership.known_since_ms(node.identity), self._awake_ms)
        since_ms = known_ms + self._settings.heartbeat_ms
        return all(
            identity == self._identity or self._membership.last_heard_ms(identity) >= since_ms
            for identity in self._voters
        )

    def has_returned(self, identity: str) -> bool | None:
        """Whether a voter sends heartbeats itself; None before this node could have heard one."""
        if self._membership.is_heard_directly(identity, self._settings.failure_timeout_ms):
            return True
        return False if self._now_ms - self._awake_ms > self._settings.failure_timeout_ms else None


class Coordinator:
    """Proposes the lists of voters, if this node is the coordinator, and keeps keys replicated.

    `busy` is set while a change of the list is under way. `run_again_in` asks for the next run
    after some ms.
    """

    __slots__ = (
        "_acceptor",
        "_awake_ms",
        "_config_feed",
        "_key_sweep",
        "_membership",
        "_node",
        "_owner",
        "_run_again_in",
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
        self._awake_ms = -1
        self.busy = False

    def attach(self, node: Node) -> None:
        """Set the node, which gives the clock, the settings and the messages."""
        self._node = node
        self._key_sweep.attach(node)

    def identity(self) -> str | None:
        """Return the identity of the coordinator, or None if no voter is live."""
        return self._owner.owner_of(COORDINATOR_KEY)

    def restart_observation(self) -> None:
        """Forget how long this node has been awake: others may have sent heartbeats meanwhile."""
        self._awake_ms = self._node.env.now()

    def observe(self) -> None:
        """Begin to observe the other nodes, once."""
        if self._awake_ms < 0:
            self.restart_observation()

    def run(self) -> None:
        """Maintain the keys that this node owns and, as the coordinator, the list of voters."""
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
        self._key_sweep.ensure_all_replicated(lambda ok: self._swept(next_list, ok))

    def _store_first_list(self) -> None:
        body = _canonical(json.loads(self._acceptor.metadata.list_body))
        self._owner.submit(
            Change(key=CONTROL_KEY, version=0, change_id="founding", hops=0, body=body),
            lambda result: None,
        )

    def _next_list(self) -> VoterList | None:
        """Return the next list of voters, one step from the present one, or None without cause."""
        settings = self._node.settings
        observations = _Observations(self._acceptor, self._membership, self._node, self._awake_ms)
        retired = set((self._config_feed.value(RETIRED_KEY) or {}).get("identities", []))
        current = VoterList.from_body(self._acceptor.metadata.list_body)
        standbys = [
            node
            for node in self._membership.nodes_in_role("control", settings.failure_timeout_ms)
            if node.identity not in self._acceptor.voters and node.identity not in retired
        ]
        if not settings.control_count:
            return next_list_of_all_nodes(current, standbys, retired, observations)
        if not observations.is_long_awake():
            return None
        return next_list_of_fixed_size(
            current, standbys, retired, observations, settings.control_count
        )

    def _swept(self, next_list: VoterList, ok: bool) -> None:
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
            lambda result: self._changed(next_list, result),
        )

    def _changed(self, next_list: VoterList, result: ChangeResult) -> None:
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
