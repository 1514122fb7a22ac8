"""A voter: the acceptor of the ballots, with one register for each key.

Every vote is on disk before it is sent. Prepare promises a ballot, Accept takes a value under it,
and Confirm only reports whether the promise still holds. Records are framed and appended to a log
beside a snapshot. A damaged disk is refused and becomes a new, empty identity. The list of voters
is kept with the identity, and older lists are refused.
"""

import json
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from messaging import Component, Message, Origin, decode, encode
from storage import DamageError, Disk, DiskFullError, frame, scan

from control_store.messages import (
    Accept,
    AcceptorMetadata,
    Confirm,
    ListKeys,
    ListKeysResponse,
    Prepare,
    RegisterRecord,
    Value,
    Vote,
    VoterListDecided,
)

__all__ = ["CONTROL_KEY", "Register", "Acceptor"]

CONTROL_KEY = "control"
_META, _SNAP, _LOG = "meta", "keys-snapshot", "keys-log"
Done = Callable[[bool], None]


def _flushed_to(data: bytes) -> int:
    """Return the furthest offset that any whole record in a damaged tail notes as flushed."""
    marks = [0]
    while data:
        frames, _, behind = scan(data)
        marks += [decode(payload).flushed_bytes for _, payload in frames]
        data = data[behind:] if behind is not None else b""
    return max(marks)


def _stub(version: int) -> bytes:
    """Return an encoded value with the version but without the body, which may be long."""
    return (
        encode(Value(version=version, body="", change_ids=[], change_versions=[]))
        if version
        else b""
    )


class Register:
    """A voter's promise and accepted value for one key.

    `kept` is the ballot and version of the newest value known to be flushed; later ones may be
    lost.
    """

    __slots__ = ("accepted", "kept", "promised", "value", "version")

    def __init__(self) -> None:
        self.promised: tuple[int, str] = (0, "")
        self.accepted: tuple[int, str] = (0, "")
        self.value = b""
        self.version = 0
        self.kept: tuple[tuple[int, str], int] = ((0, ""), 0)

    def age(self) -> tuple[tuple[int, str], tuple[int, str], int]:
        """Return a sort key that rises with each record that a voter writes of a key."""
        return self.promised, self.accepted, self.version

    def row(self, key: str, flushed_bytes: int = 0) -> RegisterRecord:
        """Return the register as a record of the log; `flushed_bytes` as in `RegisterRecord`."""
        return RegisterRecord(
            key=key,
            promised_epoch=self.promised[0],
            promised_by=self.promised[1],
            accepted_epoch=self.accepted[0],
            accepted_by=self.accepted[1],
            value=self.value,
            flushed_bytes=flushed_bytes,
        )

    @classmethod
    def of(cls, row: RegisterRecord) -> "Register":
        """Return the register that a record describes."""
        register = cls()
        register.promised = (row.promised_epoch, row.promised_by)
        register.accepted = (row.accepted_epoch, row.accepted_by)
        register.value = row.value
        register.version = decode(row.value).version if row.value else 0
        return register


class Acceptor(Component):
    """The acceptor at one control node; opening a damaged disk raises DamageError."""

    __slots__ = (
        "_disk",
        "_flushed_bytes",
        "_flushing",
        "_left_logs",
        "_list",
        "_log_bytes",
        "_log_name",
        "_unflushed",
        "_waiting",
        "meta",
        "registers",
    )
    HANDLES = (Prepare, Accept, Confirm, VoterListDecided, ListKeys)

    def __init__(self, disk: Disk, token: Callable[[], str]) -> None:
        self._disk = disk
        self._waiting: list[Done] = []
        self._unflushed: list[tuple[str, Register]] = []
        self._left_logs: list[str] = []
        self._flushing = False
        self._log_bytes = self._flushed_bytes = 0
        self._list: tuple[str, int, dict[str, str]] = ("", 0, {})
        self._log_name = f"{_LOG}-{0:012d}"
        self.registers: dict[str, Register] = {}
        self._open(token)

    def _open(self, token: Callable[[], str]) -> None:
        names = self._disk.names()
        self.meta = AcceptorMetadata(identity=f"control-{token()}", found_vote="", list_body="")
        if _META in names:
            frames, _, _ = scan(self._disk.read(_META))
            if not frames:
                raise DamageError(_META, 0)
            self.meta = decode(frames[0][1])
        elif any(name.startswith(_LOG) for name in names):
            raise DamageError(_META, 0)
        if _SNAP in names:
            data = self._disk.read(_SNAP)
            frames, end, _ = scan(data)
            if end != len(data):
                raise DamageError(_SNAP, end)
            self._take_rows(frames)
        for name in [name for name in names if name.startswith(_LOG)]:
            data = self._disk.read(name)
            frames, end, behind = scan(data)
            if behind is not None and _flushed_to(data[behind:]) > end:
                raise DamageError(name, end)
            self._take_rows(frames)
            self._disk.truncate(name, end)
            self._left_logs.append(name)
            self._log_name, self._log_bytes = name, end
        self._left_logs = self._left_logs[:-1]
        self._unflushed = list(self.registers.items())

    def attach(self, node: Any) -> None:
        """Flush the records read at the start, which a killed process may not have flushed."""
        super().attach(node)
        if self._unflushed:
            self._flush()

    def _take_rows(self, frames: list[tuple[int, bytes]]) -> None:
        for _, payload in frames:
            row = decode(payload)
            fresh, held = Register.of(row), self.registers.get(row.key, Register())
            if fresh.age() >= held.age():
                self.registers[row.key] = fresh

    # -- the list of voters --------------------------------------------------------------------

    @property
    def identity(self) -> str:
        """The durable identity of this node."""
        return self.meta.identity

    @property
    def voters(self) -> dict[str, str]:
        """The present voters, identity to link address; empty before the first list."""
        return self._read_list()[1]

    @property
    def list_number(self) -> int:
        """The number of the present list of voters; 0 before the first."""
        return self._read_list()[0]

    def _read_list(self) -> tuple[int, dict[str, str]]:
        if self._list[0] != self.meta.list_body:
            listed = json.loads(self.meta.list_body)
            self._list = (
                self.meta.list_body,
                listed["number"],
                {row["identity"]: row["address"] for row in listed["voters"]},
            )
        return self._list[1:]

    def take_list(self, body: str, done: Done) -> None:
        """Adopt a list of voters if it is newer; it counts once it is on disk."""
        listed = json.loads(body)
        if listed["number"] <= self.list_number:
            done(True)
            return

        self.keep_meta(
            AcceptorMetadata(
                identity=self.identity, found_vote=self.meta.found_vote, list_body=body
            ),
            done,
        )

    def keep_meta(self, meta: AcceptorMetadata, done: Done) -> None:
        """Write `meta` to disk and adopt it, unless a newer list was adopted meanwhile."""

        def kept(ok: bool) -> None:
            if ok and (
                not self.meta.list_body
                or (meta.list_body and json.loads(meta.list_body)["number"] >= self.list_number)
            ):
                self.meta = meta
            done(ok)

        self._disk.replace(_META, frame(encode(meta)), kept)

    # -- votes ---------------------------------------------------------------------------------

    def receive(self, message: Message, origin: Origin) -> None:
        """Answer a ballot message, after checking the list of voters that it counts under."""
        if isinstance(message, VoterListDecided):
            self.take_list(message.list_body, lambda ok: None)
            return
        if isinstance(message, ListKeys):
            ok = message.list_number == self.list_number
            self.node.reply(
                origin, ListKeysResponse(identity=self.identity, ok=ok, keys=sorted(self.registers))
            )
            return
        if (
            not self.meta.list_body
            or message.list_number < self.list_number
            or self.identity not in self.voters
        ):
            self.node.reply(origin, self._voted(message.key, False, "list"))
        elif message.list_number > self.list_number:
            self.node.reply(origin, self._voted(message.key, False, "behind"))
        else:
            self._on(message, origin)

    @singledispatchmethod
    def _on(self, message: Message, origin: Origin) -> None:
        raise TypeError(type(message).__name__)

    @_on.register
    def _(self, message: Prepare, origin: Origin) -> None:
        register = self.registers.setdefault(message.key, Register())
        ballot = (message.epoch, message.by)
        if ballot < register.promised:
            self.node.reply(origin, self._voted(message.key, False, "epoch"))
            return
        self._put(
            message.key,
            promised=ballot,
            done=lambda ok: self.node.reply(
                origin,
                self._voted(
                    message.key,
                    ok and self.registers[message.key].promised == ballot,
                    "epoch",
                    True,
                ),
            ),
        )

    @_on.register
    def _(self, message: Confirm, origin: Origin) -> None:
        register = self.registers.get(message.key, Register())
        ok = register.promised == (message.epoch, message.by)
        self.node.reply(origin, self._voted(message.key, ok, "epoch"))

    @_on.register
    def _(self, message: Accept, origin: Origin) -> None:
        register = self.registers.setdefault(message.key, Register())
        ballot = (message.epoch, message.by)
        # Accepts of one epoch may be delayed or duplicated: an accepted version is never undone.
        version = decode(message.value).version
        if ballot < register.promised or (
            ballot == register.accepted and version < register.version
        ):
            self.node.reply(origin, self._voted(message.key, False, "epoch"))
            return
        self._put(
            message.key,
            promised=ballot,
            accepted=ballot,
            value=message.value,
            done=lambda ok: self.node.reply(origin, self._voted(message.key, ok, "disk")),
        )

    def _voted(self, key: str, ok: bool, reason: str, whole: bool = False) -> Vote:
        register = self.registers.get(key, Register())
        accepted, version = (register.accepted, register.version) if whole else register.kept
        return Vote(
            identity=self.identity,
            ok=ok,
            reason="" if ok else reason,
            promised_epoch=register.promised[0],
            promised_by=register.promised[1],
            accepted_epoch=accepted[0],
            accepted_by=accepted[1],
            value=register.value if whole else _stub(version),
            list_body=self.meta.list_body if reason == "list" else "",
        )

    # -- the disk ------------------------------------------------------------------------------

    def _put(
        self,
        key: str,
        promised: tuple[int, str],
        done: Done,
        accepted: tuple[int, str] | None = None,
        value: bytes | None = None,
    ) -> None:
        register = self.registers[key]
        fresh = Register()
        fresh.promised = promised
        fresh.accepted = register.accepted if accepted is None else accepted
        fresh.value = register.value if value is None else value
        fresh.version = register.version if value is None else decode(value).version
        fresh.kept = register.kept
        data = frame(encode(fresh.row(key, self._flushed_bytes)))
        try:
            self._disk.write(self._log_name, self._log_bytes, data, urgent=len(data) < 4096)
        except DiskFullError:
            done(False)
            return
        self._log_bytes += len(data)
        self.registers[key] = fresh
        self._unflushed.append((key, fresh))
        self._waiting.append(done)
        if not self._flushing:
            self._flush()

    def _flush(self) -> None:
        self._flushing = True
        waiting, self._waiting = self._waiting, []
        written, self._unflushed = self._unflushed, []
        names, up_to = [*self._left_logs, self._log_name], self._log_bytes

        def flushed(ok: bool) -> None:
            self._flushing = False
            if ok:
                self._note_flushed(written, names, up_to)
            for done in waiting:
                done(ok)
            if self._flushing:
                return
            if self._log_bytes > self.node.settings.segment_bytes:
                self._snapshot()
            if self._waiting:
                self._flush()

        self._disk.flush(names, flushed)

    def _note_flushed(
        self, written: list[tuple[str, Register]], names: list[str], up_to: int
    ) -> None:
        if names[-1] == self._log_name:
            self._flushed_bytes = up_to
        self._left_logs = [name for name in self._left_logs if name not in names]
        for key, register in written:
            kept = (register.accepted, register.version)
            self.registers[key].kept = max(self.registers[key].kept, kept)

    def tick(self) -> None:
        """Let the disk write, and start a snapshot if the log is longer than segment_bytes."""
        self._disk.push()
        if self._log_bytes > self.node.settings.segment_bytes and not self._flushing:
            self._snapshot()

    def _snapshot(self) -> None:
        """Replace the snapshot by all registers atomically, then remove the logs that led to it.

        Records not flushed yet are also in the log that is left, which the next flush includes.
        """
        old = self._log_name
        self._left_logs.append(old)
        self._log_name = f"{_LOG}-{int(old.rpartition('-')[2]) + 1:012d}"
        self._log_bytes = self._flushed_bytes = 0
        data = b"".join(
            frame(encode(register.row(key))) for key, register in self.registers.items()
        )

        def kept(ok: bool) -> None:
            if ok:
                for name in [
                    name for name in self._disk.names() if name.startswith(_LOG) and name <= old
                ]:
                    self._disk.remove(name)

        self._disk.replace(_SNAP, data, kept)
