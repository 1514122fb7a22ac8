"""The acceptor at a control node: it votes on proposals for each key.

A promise or an accepted value is on disk before the positive reply is sent. Prepare asks for the
promise of a proposal number, Accept for the acceptance of a value under it, and Confirm only
whether the promise still holds. Requests made under another voter list than the acceptor's are
rejected. Damaged files are refused on opening; the node then starts with a new, blank identity.
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

CONTROL_KEY = "control"  # its value is the voter list


class Acceptor(Component):
    """The acceptor of one control node; raises DamageError if its files are damaged.

    Parameters
    ----------
    disk
        Holds the metadata, the logs and the snapshot.
    new_token
        Returns the random part of a new identity, used if the disk has none.
    """

    __slots__ = ("_metadata_file", "_store")
    HANDLES = (Prepare, Accept, Confirm, VoterListDecided, ListKeys)

    def __init__(self, disk: Disk, new_token: Callable[[], str]) -> None:
        self._metadata_file = MetadataFile(disk, new_token)
        self._store = RegisterStore(disk)
        self._store.recover()

    def attach(self, node: Node) -> None:
        """Attach the node, and flush the records read during recovery."""
        super().attach(node)
        self._store.attach(node)

    def tick(self) -> None:
        """Start writeback, and replace the log by a snapshot if it is too long."""
        self._store.tick()

    @property
    def registers(self) -> dict[str, Register]:
        """The register of each key."""
        return self._store.registers

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
        """Link address of each current voter, by identity; empty before the first list."""
        return self._metadata_file.voters

    @property
    def list_number(self) -> int:
        """The number of the current voter list; 0 before the first."""
        return self._metadata_file.list_number

    def adopt_list(self, body: str, done: WriteCallback) -> None:
        """Adopt a voter list if it is newer than the current one.

        It takes effect once it is on disk. `done` gets whether the write succeeded, or True at once
        for a list that is not newer.
        """
        self._metadata_file.adopt_list(body, done)

    def save_bootstrap_vote(self, members: str, done: WriteCallback) -> None:
        """Store the vote for `members`, a JSON array of voters, as the first voter list.

        `done` gets whether the vote is on disk.
        """
        self._metadata_file.save(
            AcceptorMetadata(identity=self.identity, bootstrap_vote=members, list_body=""), done
        )

    @singledispatchmethod
    def receive(self, message: Message, origin: Origin) -> None:
        """Vote on a proposer's request, or reject it if it was made under another voter list."""
        request = cast(Prepare | Accept | Confirm, message)
        reason = self._list_mismatch(request.list_number)
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

    def _list_mismatch(self, list_number: int) -> RejectReason | None:
        """Return the reason to reject a request made under a voter list, or None to accept it."""
        if (
            not self.metadata.list_body
            or list_number < self.list_number
            or self.identity not in self.voters
        ):
            return RejectReason.LIST
        return RejectReason.BEHIND if list_number > self.list_number else None

    @singledispatchmethod
    def _vote_on(self, message: Message, origin: Origin) -> None:
        raise TypeError(f"expected Prepare, Accept or Confirm, got {type(message).__name__}")

    @_vote_on.register
    def _(self, message: Prepare, origin: Origin) -> None:
        key, proposal = message.key, message.proposal
        register = self.registers.setdefault(key, Register())
        if proposal < register.promised:
            self._reject(message, origin, RejectReason.EPOCH)
            return

        def written(ok: bool) -> None:
            # A higher proposal may have been promised while this promise was being written.
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
        # A delayed or duplicated Accept of the same proposal must not undo a newer version.
        version = encoded_version(message.value)
        if proposal < register.promised or (
            proposal == register.accepted and version < register.version
        ):
            self._reject(message, origin, RejectReason.EPOCH)
            return

        def written(ok: bool) -> None:
            self.node.reply(origin, self._vote(key, None if ok else RejectReason.DISK))

        self._store.write(key, register.with_value(proposal, message.value), written)

    def _reject(
        self, request: Prepare | Accept | Confirm, origin: Origin, reason: RejectReason
    ) -> None:
        self.node.reply(origin, self._vote(request.key, reason))

    def _vote(self, key: str, reason: RejectReason | None, with_body: bool = False) -> Vote:
        """Return a vote, which is positive if `reason` is None.

        With `with_body` it has the accepted value, otherwise only the newest version that is known
        to be flushed to disk.
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
