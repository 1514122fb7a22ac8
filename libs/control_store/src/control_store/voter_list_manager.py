"""The list of voters at a control node: its bootstrap, and the changes that follow.

One timer runs either the bootstrap, as long as the node has no list of voters, or the coordinator.
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
    """Bootstraps the list of voters at a blank node, and then has the coordinator maintain it."""

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
        config_feed.watch(self._published)

    def attach(self, node: Node) -> None:
        """Attach the node to this component and its parts."""
        super().attach(node)
        self._bootstrap.attach(node)
        self._coordinator.attach(node)

    def coordinator(self) -> str | None:
        """Return the identity of the coordinator, or None if no voter is live."""
        return self._coordinator.identity()

    def _published(self, key: str, number: int, body: str) -> None:
        if key == CONTROL_KEY:
            self._acceptor.adopt_list(body, lambda ok: None)

    def _run_again_in(self, delay_ms: int) -> None:
        self._next_run_ms = self.node.env.now() + delay_ms

    def receive(self, message: Message, origin: Origin) -> None:
        """Vote for a proposed first list."""
        self._bootstrap.receive(cast(BootstrapRequest, message), origin)

    def tick(self) -> None:
        """Bootstrap the list of voters, or maintain it and the keys once there is one."""
        self._coordinator.observe()
        if self.node.env.now() < self._next_run_ms:
            return
        self._run_again_in(self.node.settings.heartbeat_ms * 2)
        if not self._acceptor.metadata.list_body:
            self._bootstrap.run()
        elif not self._coordinator.busy:
            self._coordinator.run()

    def resumed(self, gap_ms: int) -> None:
        """Restart the coordinator's observations after a pause of the process of `gap_ms`."""
        self._coordinator.restart_observation()
