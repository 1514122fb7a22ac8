"""The component of a control node that bootstraps and changes the voter list.

One timer runs the bootstrap while the node has no voter list, and the coordinator afterwards.
"""

from typing import cast

from config_feed import ConfigFeed
from membership import Membership
from messaging import Component, Message, Node, Origin

from control_store.acceptor import CONTROL_KEY, Acceptor
from control_store.bootstrap import Bootstrap
from control_store.coordinator import Coordinator
from control_store.key_owner import KeyOwner
from control_store.messages import BootstrapRequest

__all__ = ["VoterListManager"]


class VoterListManager(Component):
    """Runs the bootstrap while this node has no voter list, and then the coordinator."""

    __slots__ = ("_acceptor", "_bootstrap", "_coordinator", "_next_run_ms")
    HANDLES = (BootstrapRequest,)

    def __init__(
        self,
        acceptor: Acceptor,
        owner: KeyOwner,
        membership: Membership,
        config_feed: ConfigFeed,
    ) -> None:
        self._acceptor = acceptor
        self._bootstrap = Bootstrap(acceptor, membership, self._run_again_in)
        self._coordinator = Coordinator(
            acceptor, owner, membership, config_feed, self._run_again_in
        )
        self._next_run_ms = 0
        config_feed.watch(self._on_published)

    def attach(self, node: Node) -> None:
        """Attach the node to this component, the bootstrap and the coordinator."""
        super().attach(node)
        self._bootstrap.attach(node)
        self._coordinator.attach(node)

    def coordinator(self) -> str | None:
        """Return the identity of the coordinator, or None if no voter is live."""
        return self._coordinator.identity()

    def _on_published(self, key: str, version: int, body: str) -> None:
        if key == CONTROL_KEY:
            self._acceptor.adopt_list(body, lambda ok: None)

    def _run_again_in(self, delay_ms: int) -> None:
        self._next_run_ms = self.node.env.now() + delay_ms

    def receive(self, message: Message, origin: Origin) -> None:
        """Vote on a proposed first list."""
        self._bootstrap.receive(cast(BootstrapRequest, message), origin)

    def tick(self) -> None:
        """Run the bootstrap or the coordinator, every two heartbeat periods or as scheduled."""
        self._coordinator.observe()
        if self.node.env.now() < self._next_run_ms:
            return
        self._run_again_in(self.node.settings.heartbeat_ms * 2)
        if not self._acceptor.metadata.list_body:
            self._bootstrap.run()
        elif not self._coordinator.busy:
            self._coordinator.run()

    def resumed(self, gap_ms: int) -> None:
        """Restart the coordinator's observation after the process was paused for `gap_ms`."""
        self._coordinator.restart_observation()
