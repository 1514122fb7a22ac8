"""The registers of an acceptor, with the log and the snapshot that they are stored in.

Each change of a register is appended to a log as a framed record, and is confirmed once the log has
been flushed. A log longer than segment_bytes is replaced by a snapshot of all registers. Recovery
reads the snapshot and then all remaining logs. The records of a key are ordered, so an old log
whose removal was undone by a power failure cannot revert a register.

Each record contains how much of its log was known to be flushed when it was written. This
distinguishes a torn tail, which is normal after a crash, from damage to acknowledged records.
"""

from collections.abc import Callable

from messaging import Node, decode_as, encode
from storage import DamageError, Disk, DiskFullError, frame, scan_frames

from control_store.messages import RegisterRecord
from control_store.register import AcceptedVersion, Register

__all__ = ["LOG_PREFIX", "RegisterStore", "WriteCallback"]

SNAPSHOT_FILE = "keys-snapshot"
LOG_PREFIX = "keys-log"
LARGEST_URGENT_RECORD_BYTES = 4096  # smaller records may use the space reserved on the disk

WriteCallback = Callable[[bool], None]


class RegisterStore:
    """The registers by key, stored in a snapshot and logs on a disk.

    `recover` has to be called before any other method.
    """

    __slots__ = (
        "_disk",
        "_flushed_bytes",
        "_flushing",
        "_log_bytes",
        "_log_name",
        "_node",
        "_older_logs",
        "_unflushed",
        "_waiting",
        "registers",
    )
    _node: Node

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._waiting: list[WriteCallback] = []
        self._unflushed: list[tuple[str, Register]] = []
        self._older_logs: list[str] = []
        self._flushing = False
        self._log_bytes = self._flushed_bytes = 0
        self._log_name = f"{LOG_PREFIX}-{0:012d}"
        self.registers: dict[str, Register] = {}

    def recover(self) -> None:
        """Read all registers. Raises DamageError if flushed records are damaged."""
        names = self._disk.names()
        if SNAPSHOT_FILE in names:
            self._read_snapshot()
        logs = [name for name in names if name.startswith(LOG_PREFIX)]
        for name in logs:
            self._read_log(name)
        self._older_logs = logs[:-1]
        self._unflushed = list(self.registers.items())

    def _read_snapshot(self) -> None:
        data = self._disk.read(SNAPSHOT_FILE)
        frames, end, _ = scan_frames(data)
        if end != len(data):
            raise DamageError(SNAPSHOT_FILE, end)
        self._apply_records(frames)

    def _read_log(self, name: str) -> None:
        """Read a log, truncate its torn tail, and make it the log that is appended to."""
        data = self._disk.read(name)
        frames, end, next_frame = scan_frames(data)
        if next_frame is not None and _highest_flushed_bytes(data[next_frame:]) > end:
            raise DamageError(name, end)
        self._apply_records(frames)
        self._disk.truncate(name, end)
        self._log_name, self._log_bytes = name, end

    def _apply_records(self, frames: list[tuple[int, bytes]]) -> None:
        for _, payload in frames:
            record = decode_as(RegisterRecord, payload)
            register = Register.from_record(record)
            current = self.registers.get(record.key, Register())
            if register.sort_key() >= current.sort_key():
                self.registers[record.key] = register

    def attach(self, node: Node) -> None:
        """Set the node that provides the settings, and flush the recovered records.

        The previous process may have been killed before it flushed them.
        """
        self._node = node
        if self._unflushed:
            self._flush()

    def get(self, key: str) -> Register:
        """Return the register of a key, or a new blank one, which is not stored."""
        return self.registers.get(key, Register())

    def write(self, key: str, register: Register, done: WriteCallback) -> None:
        """Replace the register of a key; `done` gets whether the new one has been flushed.

        If the disk is full, the register stays as it was, and `done` gets False at once.
        """
        record = frame(encode(register.to_record(key, self._flushed_bytes)))
        urgent = len(record) < LARGEST_URGENT_RECORD_BYTES
        try:
            self._disk.write(self._log_name, self._log_bytes, record, urgent=urgent)
        except DiskFullError:
            done(False)
            return
        self._log_bytes += len(record)
        self.registers[key] = register
        self._unflushed.append((key, register))
        self._waiting.append(done)
        if not self._flushing:
            self._flush()

    def _flush(self) -> None:
        self._flushing = True
        waiting, self._waiting = self._waiting, []
        written, self._unflushed = self._unflushed, []
        names, log_bytes = [*self._older_logs, self._log_name], self._log_bytes

        def flushed(ok: bool) -> None:
            self._flushing = False
            if ok:
                self._mark_flushed(written, names, log_bytes)
            for done in waiting:
                done(ok)
            if self._flushing:
                return
            if self._log_bytes > self._node.settings.segment_bytes:
                self._write_snapshot()
            if self._waiting:
                self._flush()

        self._disk.flush(names, flushed)

    def _mark_flushed(
        self, written: list[tuple[str, Register]], names: list[str], log_bytes: int
    ) -> None:
        if names[-1] == self._log_name:
            self._flushed_bytes = log_bytes
        self._older_logs = [name for name in self._older_logs if name not in names]
        for key, register in written:
            current = self.registers[key]
            version = AcceptedVersion(register.accepted, register.version)
            current.flushed = max(current.flushed, version)

    def tick(self) -> None:
        """Start writeback, and write a snapshot if the log is longer than segment_bytes."""
        self._disk.start_writeback()
        if self._log_bytes > self._node.settings.segment_bytes and not self._flushing:
            self._write_snapshot()

    def _write_snapshot(self) -> None:
        """Write a new snapshot atomically, then remove the logs that it replaces.

        The snapshot may include records that are not flushed yet. These are also in the older log,
        which the next flush includes.
        """
        older_log = self._log_name
        self._older_logs.append(older_log)
        self._log_name = f"{LOG_PREFIX}-{int(older_log.rpartition('-')[2]) + 1:012d}"
        self._log_bytes = self._flushed_bytes = 0
        data = b"".join(
            frame(encode(register.to_record(key))) for key, register in self.registers.items()
        )

        def replaced(ok: bool) -> None:
            if ok:
                self._remove_logs_up_to(older_log)

        self._disk.replace(SNAPSHOT_FILE, data, replaced)

    def _remove_logs_up_to(self, last: str) -> None:
        names = [name for name in self._disk.names() if name.startswith(LOG_PREFIX)]
        for name in names:
            if name <= last:
                self._disk.remove(name)


def _highest_flushed_bytes(data: bytes) -> int:
    """Return the highest flushed length in the intact records of a damaged log tail, in bytes."""
    offsets = [0]
    while data:
        frames, _, next_frame = scan_frames(data)
        offsets += [decode_as(RegisterRecord, payload).flushed_bytes for _, payload in frames]
        data = data[next_frame:] if next_frame is not None else b""
    return max(offsets)
