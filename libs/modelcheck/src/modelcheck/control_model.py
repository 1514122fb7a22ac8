"""Control keys under the explorer: the real acceptors and key owners of `control_store`.

The model fixes which node each node believes to be the key's owner, since a failure detector may
report anything; nodes that each believe themselves the owner race. Invariants:

C1  at most one value is chosen for each key and version, by a majority under one proposal number;
C2  in every majority, the newest accepted value contains each confirmed change: it remembers the
    change's id with the confirmed version, or only later changes;
C3  an acceptor's register is never older than a vote or promise that the acceptor sent, even after
    restarts that keep its disk;
C4  a change that was refused is never chosen, and one that was chosen is never refused;
C5  a confirmed change was chosen, as the version that each confirmation reports;
C6  a read returns a chosen value that is not older than any confirmed before the read began.
"""

import json
from collections.abc import Callable
from itertools import combinations
from typing import NamedTuple, cast

from config_feed import ConfigFeed
from control_store import Acceptor, Change, KeyOwner, Outcome
from control_store.messages import (
    Accept,
    AcceptorMetadata,
    ChangeResult,
    Prepare,
    RegisterRecord,
    Value,
    Vote,
)
from control_store.proposal_number import ProposalNumber
from control_store.quorum_round import QuorumRound
from membership import Membership
from messaging import Node, decode_as, encode
from runtime import Settings
from storage import frame, scan_frames

from modelcheck.control_stubs import FixedFailureDetector, NullConfigFeed
from modelcheck.model_environment import BootImage, Envelope, ModelDisk
from modelcheck.system_model import (
    Bounds,
    InvariantViolationError,
    Observation,
    Operation,
    OperationSubmitted,
    RunningNode,
    SystemModel,
)

__all__ = ["KEY", "ControlKeyModel"]

KEY = "key"
_METADATA_FILE = "meta"
_LOG_FILE_PREFIX = "keys-log"
_START_MS = 1_000_000
_FIRST_INCARNATION = 1


class VoteSent(NamedTuple):
    """An acceptor's vote for an encoded `Value` of this version."""

    identity: str
    proposal: ProposalNumber
    version: int
    value: bytes


class PromiseSent(NamedTuple):
    """An acceptor's promise to accept nothing below the proposal number."""

    identity: str
    proposal: ProposalNumber


class OperationAnswered(NamedTuple):
    """The result of an operation, as returned to its caller."""

    operation: int
    outcome: str
    version: int
    body: str


class OperationBegun(NamedTuple):
    """An operation, and the newest version that had been confirmed when it was submitted."""

    operation: int
    confirmed_version: int


class RegisterState(NamedTuple):
    """An acceptor's register of one key."""

    key: str
    promised: ProposalNumber
    accepted: ProposalNumber
    version: int
    value: bytes


class AcceptorState(NamedTuple):
    """An acceptor's identity and registers, by key."""

    identity: str
    registers: tuple[RegisterState, ...]


class ControlGhost:
    """The ghost variable: the observations of the control key so far.

    These are the votes and promises sent, the results of operations, and the operations begun.
    """

    __slots__ = ("answers", "begun", "promises", "votes")

    def __init__(
        self,
        votes: frozenset[VoteSent] = frozenset(),
        promises: frozenset[PromiseSent] = frozenset(),
        answers: frozenset[OperationAnswered] = frozenset(),
        begun: frozenset[OperationBegun] = frozenset(),
    ) -> None:
        self.votes = votes
        self.promises = promises
        self.answers = answers
        self.begun = begun

    def after(self, observations: tuple[Observation, ...]) -> "ControlGhost":
        """Return the ghost after the observations of one step."""
        votes, promises = set(self.votes), set(self.promises)
        answers, begun = set(self.answers), set(self.begun)
        for observation in observations:
            match observation:
                case VoteSent():
                    votes.add(observation)
                case PromiseSent():
                    promises.add(observation)
                case OperationAnswered():
                    answers.add(observation)
                case OperationSubmitted():
                    begun.add(OperationBegun(observation.operation, _confirmed_version(answers)))
        return ControlGhost(
            frozenset(votes), frozenset(promises), frozenset(answers), frozenset(begun)
        )

    def _key(self) -> tuple[frozenset[Observation], ...]:
        return (self.votes, self.promises, self.answers, self.begun)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, ControlGhost) and self._key() == other._key()

    def __hash__(self) -> int:
        return hash(self._key())


def _confirmed_version(answers: set[OperationAnswered]) -> int:
    """Return the newest version confirmed by a change or a read."""
    versions = (answer.version for answer in answers if answer.outcome == Outcome.OK)
    return max(versions, default=0)


class ControlKeyModel(SystemModel):
    """Control nodes that vote on one key.

    Parameters
    ----------
    voters
        The number of control nodes; each of them is a voter.
    owners
        The node that each node believes to be the key's owner, by default itself.
    connected
        Whether messages between two nodes are delivered in the order of sending, and messages of a
        node to itself at once.
    """

    skipped_slots = frozenset(
        {
            ("RegisterStore", "_log_bytes"),
            ("RegisterStore", "_flushed_bytes"),
            ("MetadataFile", "_parsed_body"),
            ("MetadataFile", "_number"),
            ("MetadataFile", "_addresses"),
        }
    )
    opaque_types = (NullConfigFeed, FixedFailureDetector)

    def __init__(
        self,
        voters: int,
        operations: list[Operation],
        bounds: Bounds,
        owners: dict[int, int] | None = None,
        connected: bool = False,
    ) -> None:
        self.fifo_links = self.immediate_self_delivery = connected
        self.addresses = [f"10.0.0.{index + 1}:7000" for index in range(voters)]
        self.operations = operations
        self.bounds = bounds
        self._settings = Settings.model_validate(
            {
                "role": "control",
                "link": self.addresses[0],
                "http": "10.0.0.1:7001",
                "zone": "a",
                "seeds": [self.addresses[0]],
                "data_folder": "disk",
                "control_count": voters,
            }
        )
        self.timeout_ms = self._settings.request_timeout_ms
        self.freeze_ms = self._settings.freeze_threshold_ms + 1
        self._owners = owners or {}
        self.identities = [f"control-n{index}" for index in range(voters)]
        rows = [
            {"identity": name, "address": address, "zone": "a", "region": ""}
            for name, address in zip(self.identities, self.addresses, strict=True)
        ]
        self._list_body = json.dumps({"number": 1, "voters": rows})

    def boot_image(self, index: int) -> BootImage:
        """Return the disk of an acceptor that has the first list of voters and no registers."""
        metadata = AcceptorMetadata(
            identity=self.identities[index], bootstrap_vote="", list_body=self._list_body
        )
        files = {_METADATA_FILE: frame(encode(metadata))}
        return BootImage(files, _START_MS, _FIRST_INCARNATION)

    def start(self, index: int, running: RunningNode) -> Node:
        """Start a control node with an acceptor and a key owner."""
        acceptor = Acceptor(running.disk, running.env.token)
        trusted = (
            self.identities[self._owners[index]] if index in self._owners else acceptor.identity
        )
        owner = KeyOwner(
            acceptor,
            cast(Membership, FixedFailureDetector(trusted)),
            cast(ConfigFeed, NullConfigFeed()),
        )
        running.env.on_send = _VoteObserver(running)
        return Node(running.env, self._settings, [acceptor, owner])

    def submit(self, index: int, running: RunningNode, number: int) -> None:
        """Submit an operation to a node's key owner."""
        message = self.operations[number].message
        copy = type(message)(**message.as_dict())
        _owner(running).submit(copy, _ResultObserver(running.observations, number))

    def observe(self, index: int, running: RunningNode) -> AcceptorState:
        """Return an acceptor's identity and registers."""
        acceptor = _acceptor(running)
        registers = [
            RegisterState(
                key, register.promised, register.accepted, register.version, register.value
            )
            for key, register in sorted(acceptor.registers.items())
        ]
        return AcceptorState(acceptor.identity, tuple(registers))

    def is_obsolete(self, done: Callable[..., object]) -> bool:
        """Whether the quorum round to which a pending reply belongs has ended."""
        quorum_round = next(
            (
                cell.cell_contents
                for cell in getattr(done, "__closure__", None) or ()
                if isinstance(cell.cell_contents, QuorumRound)
            ),
            None,
        )
        return quorum_round is not None and quorum_round._done is None

    def disk_key(self, disk: ModelDisk) -> object:
        """Return what an acceptor reads at its start: its metadata and each key's newest record.

        The durable content is added if not all writes have been flushed.
        """
        return (
            _newest_records(disk.files),
            _newest_records(disk.durable) if disk.pending else None,
        )

    def initial_ghost(self) -> ControlGhost:
        """Return the ghost before the first step."""
        return ControlGhost()

    def next_ghost(
        self, ghost: ControlGhost, observations: tuple[Observation, ...]
    ) -> ControlGhost:
        """Return the ghost after one step; raises InvariantViolationError for C1 and C4 to C6."""
        following = ghost.after(observations)
        chosen = self._chosen(following)
        self._check_chosen(chosen)
        self._check_answers(following, chosen)
        return following

    def answered(self, ghost: ControlGhost) -> frozenset[int]:
        """Return the numbers of the operations that have been answered."""
        return frozenset(answer.operation for answer in ghost.answers)

    def _chosen(self, ghost: ControlGhost) -> dict[int, set[bytes]]:
        """Return by version the values that a majority voted for under one proposal number."""
        voters: dict[tuple[ProposalNumber, int, bytes], set[str]] = {}
        for vote in ghost.votes:
            voters.setdefault((vote.proposal, vote.version, vote.value), set()).add(vote.identity)
        chosen: dict[int, set[bytes]] = {}
        for (_, version, value), names in voters.items():
            if 2 * len(names & set(self.identities)) > len(self.identities):
                chosen.setdefault(version, set()).add(value)
        return chosen

    def _check_chosen(self, chosen: dict[int, set[bytes]]) -> None:
        for version, values in chosen.items():
            if len(values) > 1:
                raise InvariantViolationError(
                    "C1", f"{len(values)} values were chosen as version {version}"
                )

    def _check_answers(self, ghost: ControlGhost, chosen: dict[int, set[bytes]]) -> None:
        chosen_changes = {
            change_id: version
            for values in chosen.values()
            for value in values
            for change_id, version in _changes(value)
        }
        confirmed_before = dict(ghost.begun)
        for answer in ghost.answers:
            message = self.operations[answer.operation].message
            if isinstance(message, Change):
                self._check_change(message.change_id, answer, chosen_changes)
            elif answer.outcome == Outcome.OK:
                self._check_read(answer, chosen, confirmed_before[answer.operation])

    def _check_change(
        self, change_id: str, answer: OperationAnswered, chosen_changes: dict[str, int]
    ) -> None:
        chosen_version = chosen_changes.get(change_id)
        refused = answer.outcome in (Outcome.LOST, Outcome.REFUSED)
        if refused and chosen_version is not None:
            raise InvariantViolationError(
                "C4", f"change {change_id} was refused, but chosen as version {chosen_version}"
            )
        if answer.outcome == Outcome.OK and chosen_version != answer.version:
            raise InvariantViolationError(
                "C5",
                f"change {change_id} was confirmed as version {answer.version}, "
                f"but the version chosen for it is {chosen_version}",
            )

    def _check_read(
        self, answer: OperationAnswered, chosen: dict[int, set[bytes]], confirmed_before: int
    ) -> None:
        version = answer.version
        if version < confirmed_before:
            raise InvariantViolationError(
                "C6", f"read of version {version} after version {confirmed_before} was confirmed"
            )
        bodies = {decode_as(Value, value).body for value in chosen.get(version, ())}
        if version and answer.body not in bodies:
            raise InvariantViolationError(
                "C6", f"read of a value of version {version} that was not chosen"
            )

    def check(self, ghost: ControlGhost, observed: tuple[AcceptorState, ...]) -> None:
        """Check the acceptors' registers; raises InvariantViolationError for C2 and C3."""
        registers = {state.identity: state.registers for state in observed}
        self._check_votes(ghost, registers)
        confirmed = [
            (self.operations[answer.operation].message.change_id, answer.version)
            for answer in ghost.answers
            if answer.outcome == Outcome.OK
            and isinstance(self.operations[answer.operation].message, Change)
        ]
        if not confirmed:
            return
        names = [name for name in self.identities if name in registers]
        for majority in combinations(names, len(self.identities) // 2 + 1):
            remembered = _remembered_changes(
                [register for name in majority for register in registers[name]]
            )
            for change_id, version in confirmed:
                oldest = min(remembered.values(), default=0)
                forgotten = change_id not in remembered and version < oldest
                if not forgotten and remembered.get(change_id) != version:
                    raise InvariantViolationError(
                        "C2",
                        f"change {change_id} was confirmed as version {version}, but the newest "
                        f"value accepted by {majority} does not have it as that version",
                    )

    def _check_votes(
        self, ghost: ControlGhost, registers: dict[str, tuple[RegisterState, ...]]
    ) -> None:
        for vote in ghost.votes:
            for register in registers.get(vote.identity, ()):
                accepted = (register.accepted, register.version)
                if accepted < (vote.proposal, vote.version):
                    raise InvariantViolationError(
                        "C3",
                        f"{vote.identity} voted for {vote.proposal, vote.version}, "
                        f"but its register has accepted {accepted}",
                    )
        for promise in ghost.promises:
            identity = promise.identity
            if identity in registers and not registers[identity]:
                raise InvariantViolationError(
                    "C3", f"{identity} promised {promise.proposal}, but has no register"
                )
            for register in registers.get(identity, ()):
                if register.promised < promise.proposal:
                    raise InvariantViolationError(
                        "C3",
                        f"{identity} promised {promise.proposal}, "
                        f"but its register has promised {register.promised}",
                    )


class _ResultObserver:
    """Adds the result of an operation to the observations."""

    __slots__ = ("_number", "_observations")

    def __init__(self, observations: list[Observation], number: int) -> None:
        self._observations = observations
        self._number = number

    def __call__(self, result: ChangeResult) -> None:
        self._observations.append(
            OperationAnswered(self._number, result.outcome, result.version, result.body)
        )


class _VoteObserver:
    """Adds each vote and promise that a node sends to the observations.

    The proposal and value are those of the request that the message answers.
    """

    __slots__ = ("_running",)

    def __init__(self, running: RunningNode) -> None:
        self._running = running

    def __call__(self, envelope: Envelope) -> None:
        vote = envelope.message
        if not isinstance(vote, Vote) or not vote.ok:
            return
        request = self._running.env.requests.get((envelope.to, envelope.in_reply_to))
        if isinstance(request, Accept):
            version = decode_as(Value, request.value).version
            self._running.observations.append(
                VoteSent(vote.identity, request.proposal, version, request.value)
            )
        elif isinstance(request, Prepare):
            self._running.observations.append(PromiseSent(vote.identity, request.proposal))


def _acceptor(running: RunningNode) -> Acceptor:
    return cast(Acceptor, running.node.components[0])


def _owner(running: RunningNode) -> KeyOwner:
    return cast(KeyOwner, running.node.components[1])


def _changes(data: bytes) -> list[tuple[str, int]]:
    """Return the ids of the changes that an encoded `Value` remembers, with their versions."""
    value = decode_as(Value, data)
    return list(zip(value.change_ids, value.change_versions, strict=True))


def _remembered_changes(registers: list[RegisterState]) -> dict[str, int]:
    """Return the changes that the newest accepted value among registers remembers."""
    accepted = [
        (register.accepted, register.version, register.value)
        for register in registers
        if register.value
    ]
    if not accepted:
        return {}
    _, _, newest_value = max(accepted)
    return dict(_changes(newest_value))


def _newest_records(files: dict[str, bytes]) -> object:
    """Return the metadata, and the newest record of each key in all log files."""
    newest: dict[str, tuple[object, ...]] = {}
    for name, data in files.items():
        if not name.startswith(_LOG_FILE_PREFIX):
            continue
        for _, payload in scan_frames(data)[0]:
            record = decode_as(RegisterRecord, payload)
            age = (record.promised, record.accepted)
            newest[record.key] = max(newest.get(record.key, ()), (age, record.value))
    return (files.get(_METADATA_FILE, b""), tuple(sorted(newest.items())))
