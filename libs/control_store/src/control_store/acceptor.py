"""The acceptor at a control node: it votes on proposals for each key.

Every vote is on disk before it is sent. Prepare promises a proposal number, Accept accepts a value
under it, and Confirm only reports whether the promise still holds. A damaged disk is refused, so
that the node becomes a new, blank identity. A request counts only under the list of voters that
the acceptor has itself.
"""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import cast

from messaging import Component, Message, Node, Origin
from storage import Disk

from control_store.messages import (
    Accept,
    AcceptorMetadata,
    Confirm,
    ListKeys,
    ListKeysResponse,
    Prepare,
    RejectReason,
    Vote,
    VoterListDecided,
)
from control_store.metadata_file import MetadataFile
from control_store.register import Register, encoded_version, version_without_body
from control_store.register_store import RegisterStore, WriteCallback

__all__ = ["CONTROL_KEY", "Acceptor"]

CONTROL_KEY = "control"


class Acceptor(Component):
    """The acceptor at one control node, with its files on `disk`.

    `new_token` gives the random part of a new identity. Opening a damaged disk raises DamageError.
    """

    __slots__ = ("_metadata_file", "_store")
    HANDLES = (Prepare, Accept, Confirm, VoterListDecided, ListKeys)

    def __init__(self, disk: Disk, new_token: Callable[[], str]) -> None:
        self._metadata_file = MetadataFile(disk, new_token)
        self._store = RegisterStore(disk)
        self._store.recover()

    def attach(self, node: Node) -> None:
        """Attach the node, and flush the records that were recovered."""
        super().attach(node)
        self._store.attach(node)

    def tick(self) -> None:
        """Let the disk write, and replace a long log by a snapshot."""
        self._store.tick()

    @property
    def registers(self) -> dict[str, Register]:
        """The register of each key."""
        return self._store.registers

    # -- metadata ------------------------------------------------------------------------------

    @property
    def metadata(self) -> AcceptorMetadata:
        """The durable metadata of this node."""
        return self._metadata_file.metadata

    @property
    def identity(self) -> str:
        """The durable identity of this node."""
        return self.metadata.identity

    @property
    def voters(self) -> dict[str, str]:
        """The present voters, identity to link address; empty before the first list."""
        return self._metadata_file.voters

    @property
    def list_number(self) -> int:
        """The number of the present list of voters; 0 before the first."""
        return self._metadata_file.list_number

    def adopt_list(self, body: str, done: WriteCallback) -> None:
        """Adopt a list of voters if it is newer; it counts once it is on disk."""
        self._metadata_file.adopt_list(body, done)

    def save_bootstrap_vote(self, members: str, done: WriteCallback) -> None:
        """Record the vote for `members` (JSON rows) as the first list of voters."""
        self._metadata_file.save(
            AcceptorMetadata(identity=self.identity, bootstrap_vote=members, list_body=""), done
        )

    # -- requests ------------------------------------------------------------------------------

    @singledispatchmethod
    def receive(self, message: Message, origin: Origin) -> None:
        """Answer a proposer's request, if it counts under this node's list of voters."""
        request = cast(Prepare | Accept | Confirm, message)
        reason = self._reject_list(request.list_number)
        if reason is not None:
            self._reject(request, origin, reason)
        else:
            self._vote_on(message, origin)

    @receive.register
    def _(self, message: VoterListDecided, origin: Origin) -> None:
        self.adopt_list(message.list_body, lambda ok: None)

    @receive.register
    def _(self, message: ListKeys, origin: Origin) -> None:
        self.node.reply(
            origin,
            ListKeysResponse(
                identity=self.identity,
                ok=message.list_number == self.list_number,
                keys=sorted(self.registers),
            ),
        )

    def _reject_list(self, list_number: int) -> RejectReason | None:
        """Return why a request under a list of voters does not count, or None if it does."""
        if (
            not self.metadata.list_body
            or list_number < self.list_number
            or self.identity not in self.voters
        ):
            return RejectReason.LIST
        return RejectReason.BEHIND if list_number > self.list_number else None

    @singledispatchmethod
    def _vote_on(self, message: Message, origin: Origin) -> None:
        raise TypeError(type(message).__name__)

    @_vote_on.register
    def _(self, message: Prepare, origin: Origin) -> None:
        key, proposal = message.key, message.proposal
        register = self.registers.setdefault(key, Register())
        if proposal < register.promised:
            self._reject(message, origin, RejectReason.EPOCH)
            return

        def written(ok: bool) -> None:
            # A higher proposal may have been promised while this promise was written.
            promised = ok and self.registers[key].promised == proposal
            vote = self._vote(key, None if promised else RejectReason.EPOCH, with_body=True)
            self.node.reply(origin, vote)

        self._store.write(key, register.with_promise(proposal), written)

    @_vote_on.register
    def _(self, message: Confirm, origin: Origin) -> None:
        promised = self._store.get(message.key).promised == message.proposal
        self.node.reply(origin, self._vote(message.key, None if promised else RejectReason.EPOCH))

    @_vote_on.register
    def _(self, message: Accept, origin: Origin) -> None:
        key, proposal = message.key, message.proposal
        register = self.registers.setdefault(key, Register())
        # Accepts of one epoch may be delayed or duplicated: an accepted version is never undone.
        version = encoded_version(message.value)
        if proposal < register.promised or (
            proposal == register.accepted and version < register.version
        ):
            self._reject(message, origin, RejectReason.EPOCH)
            return

        def written(ok: bool) -> None:
            self.node.reply(origin, self._vote(key, None if ok else RejectReason.DISK))

        self._store.write(key, register.with_value(proposal, message.value), written)

    # -- votes ---------------------------------------------------------------------------------

    def _reject(
        self, request: Prepare | Accept | Confirm, origin: Origin, reason: RejectReason
    ) -> None:
        self.node.reply(origin, self._vote(request.key, reason))

    def _vote(self, key: str, reason: RejectReason | None, with_body: bool = False) -> Vote:
        """Return a vote, positive without a `reason`.

        Unless the accepted value is sent with its body, only what has been flushed is reported.
        """
        register = self._store.get(key)
        accepted, version = (register.accepted, register.version) if with_body else register.flushed
        return Vote(
            identity=self.identity,
            ok=reason is None,
            reason="" if reason is None else reason.value,
            promised_epoch=register.promised.epoch,
            promised_proposer=register.promised.proposer,
            accepted_epoch=accepted.epoch,
            accepted_proposer=accepted.proposer,
            value=register.value if with_body else version_without_body(version),
            list_body=self.metadata.list_body if reason is RejectReason.LIST else "",
        )
