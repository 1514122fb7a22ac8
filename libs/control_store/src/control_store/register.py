"""The register of one key at an acceptor, and its conversion to and from stored records."""

from typing import NamedTuple

from messaging import decode_as, encode

from control_store.messages import RegisterRecord, Value
from control_store.proposal_number import NO_PROPOSAL, ProposalNumber

__all__ = ["AcceptedVersion", "Register", "encoded_version", "version_without_body"]


class AcceptedVersion(NamedTuple):
    """A version of a key and the proposal under which it was accepted."""

    proposal: ProposalNumber
    version: int


class Register:
    """An acceptor's promise and accepted value for one key.

    `value` is an encoded `Value`, empty if none was accepted, and `version` its version. `flushed`
    is the newest version known to be flushed to disk; a later one may be lost in a power failure.
    """

    __slots__ = ("accepted", "flushed", "promised", "value", "version")

    def __init__(self) -> None:
        self.promised = NO_PROPOSAL
        self.accepted = NO_PROPOSAL
        self.value = b""
        self.version = 0
        self.flushed = AcceptedVersion(NO_PROPOSAL, 0)

    def with_promise(self, proposal: ProposalNumber) -> "Register":
        """Return a copy that promises to accept no lower proposal than `proposal`."""
        register = Register()
        register.promised = proposal
        register.accepted = self.accepted
        register.value = self.value
        register.version = self.version
        register.flushed = self.flushed
        return register

    def with_value(self, proposal: ProposalNumber, value: bytes) -> "Register":
        """Return a copy that has promised `proposal` and accepted an encoded `Value` under it."""
        register = self.with_promise(proposal)
        register.accepted = proposal
        register.value = value
        register.version = encoded_version(value)
        return register

    def sort_key(self) -> tuple[ProposalNumber, ProposalNumber, int]:
        """Return a sort key that never decreases from one record of a register to the next."""
        return self.promised, self.accepted, self.version

    def to_record(self, key: str, flushed_bytes: int = 0) -> RegisterRecord:
        """Return the register as a record; `flushed_bytes` is described in `RegisterRecord`."""
        return RegisterRecord(
            key=key,
            promised_epoch=self.promised.epoch,
            promised_proposer=self.promised.proposer,
            accepted_epoch=self.accepted.epoch,
            accepted_proposer=self.accepted.proposer,
            value=self.value,
            flushed_bytes=flushed_bytes,
        )

    @classmethod
    def from_record(cls, record: RegisterRecord) -> "Register":
        """Return the register stored in a record, with no version known to be flushed."""
        register = cls()
        register.promised = record.promised
        register.accepted = record.accepted
        register.value = record.value
        register.version = encoded_version(record.value)
        return register


def encoded_version(value: bytes) -> int:
    """Return the version of an encoded `Value`; 0 if there is none."""
    return decode_as(Value, value).version if value else 0


def version_without_body(version: int) -> bytes:
    """Return an encoded `Value` with a version and no body, or empty bytes for version 0."""
    if not version:
        return b""
    return encode(Value(version=version, body="", change_ids=[], change_versions=[]))
