"""The replicated log under the explorer: stores with the real cores of `replicated_log`.

A single control node, with a real acceptor and key owner, makes the log's control key a register
that decides each change at once; agreement of several voters is explored in `control_model`. Stubs
replace the config feed, whose updates may be lost and reach the stores in any order, and the
failure detector. Invariants:

L1  records that are committed at the same position of the log, at any store, are the same;
L2  a record acknowledged as committed is in the log of every store that begins to serve after that;
L3  at most one store serves in each epoch;
L4  a read confirmed by the leader returns every record acknowledged before the read began;
L5  a store's fence and log epoch are never lower than those that it sent, even after restarts that
    keep its disk.
"""

import json
from typing import Any, NamedTuple, cast

from batch_state.entries import JobCancelled
from config_feed import ConfigFeed
from control_store import Acceptor, Change, ControlClient, KeyOwner
from control_store.messages import AcceptorMetadata
from membership import Membership
from messaging import Node, encode
from replicated_log import Leader, LocalLog, LogReplica, Outcome
from replicated_log.messages import (
    AppendResponse,
    LeaderHeartbeat,
    Record,
    StartRecoveryResponse,
)
from replicated_log.records import decode_entry
from replicated_log.role import Role
from runtime import Settings
from storage import frame

from modelcheck.actions import ActionKind
from modelcheck.control_stubs import FixedFailureDetector
from modelcheck.log_operations import AppendRecord, UpdateFleetView
from modelcheck.log_stubs import BroadcastFeed, FleetView
from modelcheck.model_environment import BootImage, Envelope, ModelDisk
from modelcheck.system_model import (
    Bounds,
    InvariantViolationError,
    Observation,
    Operation,
    OperationSubmitted,
    PreludeStep,
    RunningNode,
    SystemModel,
)

__all__ = ["LogModel"]

_CONTROL = 0
_FIRST_LEADER = 1
_LOG_KEY = "log"
_START_MS = 1_000_000
_BOOTSTRAP_OPERATION = 0
_FIRST_INCARNATION = 1
_SECOND_INCARNATION = 2
_FIRST_TOKEN = 1


class RecordCommitted(NamedTuple):
    """A record that is committed at a store: its position, its stamp and its name."""

    seq: int
    stamp: tuple[int, int]
    name: str


class AppendAcknowledged(NamedTuple):
    """An append that was acknowledged as committed, with the record's name."""

    operation: int
    name: str


class ReadConfirmed(NamedTuple):
    """A read that the leader has confirmed, with the names of the records that it returns."""

    operation: int
    names: frozenset[str]


class ServingBegun(NamedTuple):
    """A store that has begun to serve in an epoch, with the names of the records in its log."""

    epoch: int
    identity: str
    names: frozenset[str]


class FenceSent(NamedTuple):
    """The fence and the log epoch that a store has sent to another."""

    identity: str
    fence: int
    log_epoch: int


class Server(NamedTuple):
    """A store that served in an epoch."""

    epoch: int
    identity: str


class OperationBegun(NamedTuple):
    """An operation, and the records that had been acknowledged when it was submitted."""

    operation: int
    acknowledged: frozenset[str]


class StoreState(NamedTuple):
    """A store's identity, fence and log epoch."""

    identity: str
    fence: int
    log_epoch: int


class LogGhost:
    """The ghost variable: the observations of the log so far.

    These are the names of the records acknowledged, the records committed, the stores that served
    in each epoch, the highest fence and log epoch that each store sent, the operations begun, and
    the numbers of the operations answered.
    """

    __slots__ = ("acknowledged", "answered", "begun", "committed", "fences", "servers")

    def __init__(
        self,
        acknowledged: frozenset[str] = frozenset(),
        committed: frozenset[RecordCommitted] = frozenset(),
        servers: frozenset[Server] = frozenset(),
        fences: frozenset[FenceSent] = frozenset(),
        begun: frozenset[OperationBegun] = frozenset(),
        answered: frozenset[int] = frozenset(),
    ) -> None:
        self.acknowledged = acknowledged
        self.committed = committed
        self.servers = servers
        self.fences = fences
        self.begun = begun
        self.answered = answered

    def _key(self) -> tuple[frozenset[Any], ...]:
        return (
            self.acknowledged,
            self.committed,
            self.servers,
            self.fences,
            self.begun,
            self.answered,
        )

    def __eq__(self, other: object) -> bool:
        return isinstance(other, LogGhost) and self._key() == other._key()

    def __hash__(self) -> int:
        return hash(self._key())


class _GhostUpdate:
    """Adds the observations of one step to a ghost, and checks L1 to L4."""

    __slots__ = ("_acknowledged", "_answered", "_begun", "_committed", "_fences", "_servers")

    def __init__(self, ghost: LogGhost) -> None:
        self._acknowledged = set(ghost.acknowledged)
        self._committed = set(ghost.committed)
        self._servers = set(ghost.servers)
        self._fences = set(ghost.fences)
        self._begun = set(ghost.begun)
        self._answered = set(ghost.answered)

    def ghost(self) -> LogGhost:
        """Return the ghost with the observations added."""
        return LogGhost(
            frozenset(self._acknowledged),
            frozenset(self._committed),
            frozenset(self._servers),
            frozenset(self._fences),
            frozenset(self._begun),
            frozenset(self._answered),
        )

    def add(self, observation: Observation) -> None:
        """Add an observation; raises InvariantViolationError if it violates L1 to L4."""
        match observation:
            case OperationSubmitted():
                acknowledged = frozenset(self._acknowledged)
                self._begun.add(OperationBegun(observation.operation, acknowledged))
            case AppendAcknowledged():
                self._acknowledged.add(observation.name)
                self._answered.add(observation.operation)
            case ServingBegun():
                self._add_server(observation)
            case FenceSent():
                self._add_fence(observation)
            case ReadConfirmed():
                self._add_read(observation)
            case RecordCommitted():
                self._add_committed(observation)

    def _add_server(self, begun: ServingBegun) -> None:
        others = {server.identity for server in self._servers if server.epoch == begun.epoch} - {
            begun.identity
        }
        if others:
            raise InvariantViolationError(
                "L3", f"{begun.identity} and {others} serve in epoch {begun.epoch}"
            )
        lacking = self._acknowledged - begun.names
        if lacking:
            raise InvariantViolationError(
                "L2",
                f"{begun.identity} serves in epoch {begun.epoch} "
                f"without the acknowledged records {sorted(lacking)}",
            )
        self._servers.add(Server(begun.epoch, begun.identity))

    def _add_fence(self, sent: FenceSent) -> None:
        known = next(
            (fence for fence in self._fences if fence.identity == sent.identity),
            FenceSent(sent.identity, 0, 0),
        )
        self._fences.discard(known)
        self._fences.add(
            FenceSent(
                sent.identity,
                max(sent.fence, known.fence),
                max(sent.log_epoch, known.log_epoch),
            )
        )

    def _add_read(self, read: ReadConfirmed) -> None:
        acknowledged = dict(self._begun).get(read.operation, frozenset())
        lacking = acknowledged - read.names
        if lacking:
            raise InvariantViolationError(
                "L4", f"a read lacks the records {sorted(lacking)}, acknowledged before it began"
            )
        self._answered.add(read.operation)

    def _add_committed(self, committed: RecordCommitted) -> None:
        other = next(
            (
                record
                for record in self._committed
                if record.seq == committed.seq and record != committed
            ),
            None,
        )
        if other is not None:
            raise InvariantViolationError(
                "L1", f"position {committed.seq} was committed as {other} and as {committed}"
            )
        self._committed.add(committed)


class LogModel(SystemModel):
    """Members of the log and standby replicas; the first member is the first leader.

    Node 0 is the control node, and the stores are numbered from 1, the members first. The prelude
    bootstraps the log before the steps of `prelude`.

    Parameters
    ----------
    members, standbys
        The number of stores of each kind.
    retired
        The numbers of the stores that are being retired.
    """

    dropped_types = (LeaderHeartbeat,)
    reliable_nodes = frozenset({_CONTROL})
    immediate_self_delivery = True
    fifo_links = True

    def __init__(
        self,
        members: int,
        standbys: int,
        operations: list[Operation],
        bounds: Bounds,
        retired: tuple[int, ...] = (),
        prelude: tuple[PreludeStep, ...] = (),
    ) -> None:
        count = members + standbys
        self.addresses = [f"10.0.0.{index + 1}:7000" for index in range(count + 1)]
        self.identities = [f"store-n{index}" for index in range(count + 1)]
        self._stores = [
            {"identity": self.identities[index], "address": self.addresses[index], "zone": "a"}
            for index in range(1, count + 1)
        ]
        self._retired = self._names(retired)
        self.operations = [self._bootstrap(self._stores[:members]), *operations]
        self.bounds = bounds
        self._settings = self._make_settings("store")
        self.tick_ms = self._settings.leader_heartbeat_ms
        self.timeout_ms = self._settings.request_timeout_ms
        self.freeze_ms = self._settings.freeze_threshold_ms + 1
        self.prelude = (
            PreludeStep(ActionKind.SUBMIT, _CONTROL, _BOOTSTRAP_OPERATION),
            PreludeStep(ActionKind.TICK, _FIRST_LEADER),
            PreludeStep(ActionKind.TICK, _FIRST_LEADER),
            *(PreludeStep(ActionKind.TICK, index) for index in range(2, count + 1)),
            *prelude,
        )

    def _bootstrap(self, members: list[dict[str, str]]) -> Operation:
        """Return the change of the log's key that sets the first members and leader."""
        value = {
            "epoch": 1,
            "holder": self.identities[_FIRST_LEADER],
            "phase": "recovering",
            "members": members,
            "prev": members,
        }
        change = Change(key=_LOG_KEY, version=0, change_id="found", body=json.dumps(value), hops=0)
        return Operation("found", _CONTROL, change)

    def _make_settings(self, role: str) -> Settings:
        return Settings.model_validate(
            {
                "role": role,
                "link": self.addresses[_CONTROL],
                "http": "10.0.0.1:7001",
                "zone": "a",
                "seeds": [self.addresses[_CONTROL]],
                "data_folder": "disk",
                "control_count": 1,
                "first_start": True,
            }
        )

    def boot_image(self, index: int) -> BootImage:
        """Return the disk of a bootstrapped acceptor, or of a store with an empty log."""
        if index == _CONTROL:
            address = self.addresses[_CONTROL]
            row = {"identity": "control", "address": address, "zone": "a", "region": ""}
            list_body = json.dumps({"number": 1, "voters": [row]})
            metadata = AcceptorMetadata(identity="control", bootstrap_vote="", list_body=list_body)
            files = {"meta": frame(encode(metadata))}
            return BootImage(files, _START_MS, _FIRST_INCARNATION)
        disk = ModelDisk({})
        LocalLog(disk, self._settings, lambda: _START_MS, lambda: f"n{index}")
        while disk.is_flushing:
            disk.complete()
        return BootImage(disk.durable, _START_MS, _FIRST_INCARNATION)

    def start(self, index: int, running: RunningNode) -> Node:
        """Start the control node or a store."""
        if index == _CONTROL:
            return self._start_control(running)
        running.env.on_send = _FenceObserver(running)
        log = LocalLog(running.disk, self._settings, running.env.now, running.env.token)
        client = ControlClient(lambda: self.addresses[:1])
        view = FleetView(self._stores, self._retired)
        replica = LogReplica(log, client, view, _ServingObserver(running, log))
        return Node(running.env, self._settings, [replica, client, view])

    def _start_control(self, running: RunningNode) -> Node:
        acceptor = Acceptor(running.disk, running.env.token)
        feed = BroadcastFeed(self.addresses[1:])
        owner = KeyOwner(
            acceptor,
            cast(Membership, FixedFailureDetector(acceptor.identity)),
            cast(ConfigFeed, feed),
        )
        return Node(running.env, self._make_settings("control"), [owner, acceptor, feed])

    def submit(self, index: int, running: RunningNode, number: int) -> None:
        """Submit an operation to a store, or the bootstrap change to the control node.

        An append or read at a store that does not serve has no effect.
        """
        message = self.operations[number].message
        if isinstance(message, Change):
            owner = cast(KeyOwner, running.node.components[0])
            owner.submit(type(message)(**message.as_dict()), _IgnoredResult())
            return
        if isinstance(message, UpdateFleetView):
            view = cast(FleetView, running.node.components[2])
            view.update(self._rows_after_wipe(message.wiped), self._names(message.retired))
            return
        replica = _replica(running)
        if replica.role != Role.SERVING or replica.leader is None:
            return
        if isinstance(message, AppendRecord):
            entry = JobCancelled(job_id=message.name, at_ms=0)
            replica.leader.append([entry], True, _AppendObserver(running, number, message.name))
        else:
            replica.leader.read(_ReadObserver(running, number, replica.leader, replica.log))

    def _rows_after_wipe(self, wiped: tuple[int, ...]) -> list[dict[str, str]]:
        """Return the stores' rows; `wiped` stores have the identity generated at their restart."""
        rows = [dict(row) for row in self._stores]
        for index in wiped:
            identity = f"{self.identities[index]}-{_SECOND_INCARNATION}-{_FIRST_TOKEN}"
            rows[index - 1]["identity"] = identity
        return rows

    def _names(self, indexes: tuple[int, ...]) -> list[str]:
        return [self.identities[index] for index in indexes]

    def observe(self, index: int, running: RunningNode) -> StoreState:
        """Return a store's identity, fence and log epoch."""
        if index == _CONTROL:
            return StoreState("", 0, 0)
        metadata = _replica(running).log.metadata
        return StoreState(metadata.identity, metadata.fence, metadata.log_epoch)

    def facts(self, index: int, running: RunningNode) -> frozenset[Observation]:
        """Return the records that are committed at a store."""
        if index == _CONTROL:
            return frozenset()
        log = _replica(running).log
        return frozenset(
            RecordCommitted(record.seq, record.stamp, _record_name(record))
            for record in log.records
            if record.seq <= log.committed_seq
        )

    def initial_ghost(self) -> LogGhost:
        """Return the ghost before the first step."""
        return LogGhost()

    def next_ghost(self, ghost: LogGhost, observations: tuple[Observation, ...]) -> LogGhost:
        """Return the ghost after one step; raises InvariantViolationError for L1 to L4."""
        update = _GhostUpdate(ghost)
        for observation in observations:
            update.add(observation)
        return update.ghost()

    def answered(self, ghost: LogGhost) -> frozenset[int]:
        """Return the numbers of the operations that were acknowledged."""
        return ghost.answered

    def check(self, ghost: LogGhost, observed: tuple[StoreState, ...]) -> None:
        """Check the fences on the nodes; raises InvariantViolationError for L5."""
        sent = {fence.identity: fence for fence in ghost.fences}
        for state in observed:
            fence = sent.get(state.identity)
            if fence is None:
                continue
            if state.fence < fence.fence or state.log_epoch < fence.log_epoch:
                raise InvariantViolationError(
                    "L5",
                    f"{state.identity} sent fence and log epoch {fence.fence, fence.log_epoch}, "
                    f"but has {state.fence, state.log_epoch}",
                )


class _IgnoredResult:
    """A callback that ignores the result of a change."""

    __slots__ = ()

    def __call__(self, result: Any) -> None:
        return None


class _AppendObserver:
    """Adds an append to the observations once it is acknowledged as committed."""

    __slots__ = ("_name", "_number", "_running")

    def __init__(self, running: RunningNode, number: int, name: str) -> None:
        self._running = running
        self._number = number
        self._name = name

    def __call__(self, outcome: Outcome) -> None:
        if outcome is Outcome.ACKNOWLEDGED:
            self._running.observations.append(AppendAcknowledged(self._number, self._name))


class _ReadObserver:
    """Adds a read to the observations once the leader has confirmed that it is still the leader.

    The reference to the leader makes pending reads at two leaders different local states.
    """

    __slots__ = ("_leader", "_log", "_number", "_running")

    def __init__(self, running: RunningNode, number: int, leader: Leader, log: LocalLog) -> None:
        self._running = running
        self._number = number
        self._leader = leader
        self._log = log

    def __call__(self, ok: bool) -> None:
        if ok:
            self._running.observations.append(ReadConfirmed(self._number, _names(self._log)))


class _ServingObserver:
    """Adds to the observations that a store begins to serve."""

    __slots__ = ("_log", "_running")

    def __init__(self, running: RunningNode, log: LocalLog) -> None:
        self._running = running
        self._log = log

    def __call__(self, leader: Leader | None) -> None:
        if leader is not None:
            names = _names(self._log)
            begun = ServingBegun(leader.epoch, self._log.identity, names)
            self._running.observations.append(begun)


class _FenceObserver:
    """Adds the fences and log epochs that a store sends to the observations."""

    __slots__ = ("_running",)

    def __init__(self, running: RunningNode) -> None:
        self._running = running

    def __call__(self, envelope: Envelope) -> None:
        message = envelope.message
        if isinstance(message, (AppendResponse, StartRecoveryResponse)) and message.ok:
            sent = FenceSent(message.identity, message.fence, message.log_epoch)
            self._running.observations.append(sent)


def _replica(running: RunningNode) -> LogReplica:
    return cast(LogReplica, running.node.components[0])


def _names(log: LocalLog) -> frozenset[str]:
    return frozenset(_record_name(record) for record in log.records)


def _record_name(record: Record) -> str:
    return cast(JobCancelled, decode_entry(record)).job_id
