"""Settings of one process, read from a TOML file and from flags, which take precedence.

All settings are checked before anything starts. The time-outs that the code uses are properties of
Settings, derived from the few bounds that operators set. The names of settings are a public
interface.
"""

import ipaddress
import tomllib
from pathlib import Path
from typing import Any, Literal

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator, model_validator

from runtime.memory_budget import IDLE_PROCESS_BYTES

__all__ = ["RELOADABLE", "Settings", "changed_settings", "load_settings"]

_MAX_PORT = 65535
_RESERVED_FILES = 200
# A store keeps each open request in its state, in the records for its peers and in snapshots.
_OPEN_JOB_SHARE = 0.1
_MIN_OPEN_JOB_BYTES = 8 << 20
# One worker takes some 300 bytes of the list.
_WORKER_LIST_DIVISOR = 256
# Shares of the descriptors that are not reserved.
_CLIENT_CONNECTION_SHARE = 0.6
_OTHER_CONNECTION_SHARE = 0.1
_MIN_CONNECTIONS = 8

# Settings that take effect without a restart when the file is read again.
RELOADABLE = frozenset(
    {
        "log_level",
        "seeds",
        "delta_ms",
        "disk_bytes",
        "live_share",
        "load_window_ms",
        "grace_ms",
        "max_body_bytes",
        "memory_bytes",
    }
)


def _check_address(value: str) -> str:
    """Return the address. Raises ValueError if it is not IP:PORT."""
    host, colon, port = value.rpartition(":")
    if not colon or not port.isdigit() or not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"invalid address {value!r}: expected IP:PORT")
    ipaddress.ip_address(host.strip("[]"))
    return value


class Settings(BaseModel):
    """The checked, immutable settings of one process.

    Settings whose names end in `_ms` are in milliseconds, those in `_bytes` in bytes. The
    constructor raises pydantic's ValidationError, which lists all problems at once.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    role: Literal["control", "edge", "store"] = "edge"
    link: str = Field(description="address for the fleet's own messages, IP:PORT")
    http: str = Field(description="address for clients, workers and operators, IP:PORT")
    zone: str = Field(min_length=1)
    node_name: str = Field(
        "", description="name of this node for operators; its link address if empty"
    )
    seeds: list[str] = Field(min_length=1, max_length=3)
    data_folder: str = ""
    region: str = Field("", description="region of the zone; empty if there is only one region")
    first_start: bool = Field(
        False, description="the fleet starts for the first time, with empty disks"
    )
    counted: bool = Field(
        True, description="this machine is one of those whose loss has to be tolerated"
    )
    control_count: int = Field(
        5,
        ge=0,
        le=15,
        description="number of control nodes that vote; 0 if no number is configured",
    )
    store_count: int = Field(3, ge=2, le=9)
    store_faults: int = Field(1, ge=1, le=4)
    delta_ms: int = Field(50, ge=1, le=5000)
    flush_ms: int = Field(
        30000, ge=50, description="tau: the longest time a record waits for the background flush"
    )
    keep_factor: float = Field(
        2.0, ge=1.0, description="k: stores keep records for their peers for k times flush_ms"
    )
    force_ms: int = Field(
        2000,
        ge=200,
        description="time within which a version is in force and a drained worker gets no requests",
    )
    end_ms: int = Field(
        3000, ge=300, description="time within which an ended job has stopped everywhere"
    )
    resume_ms: int = Field(
        12000, ge=1000, description="time from the machines' return until service is available"
    )
    catch_up_ms: int = Field(
        0,
        ge=0,
        description="time within which a new machine with an empty disk takes the place of "
        "the one that it replaces; 0 if there is no such bound",
    )
    worker_beat_ms: int = Field(
        1000, ge=50, description="approximate interval of a worker's heartbeats to control nodes"
    )
    cut_off: Literal["refuse", "serve"] = Field(
        "refuse", description="what a node does while it is cut off from the control nodes"
    )
    fan_out: int = Field(
        0,
        ge=0,
        le=16,
        description="number of control nodes to which a node that does not vote sends its "
        "digests; 0 for all of them and all nodes in its view",
    )
    grace_ms: int = Field(
        5000, ge=100, description="time between SIGTERM and the end of the process"
    )
    view_size: int = Field(12, ge=2, le=64)
    disk_bytes: int = Field(1 << 30, ge=1 << 16)
    segment_bytes: int = Field(1 << 22, ge=1 << 12)
    max_body_bytes: int = Field(1 << 22, ge=1 << 10)
    memory_bytes: int = Field(
        1 << 30, ge=1 << 20, description="memory that the process may use on its machine"
    )
    open_files: int = Field(
        4096, ge=16, description="number of descriptors that the process may have open"
    )
    keep_ms: int = Field(
        86_400_000,
        ge=1000,
        description="how long used idempotency keys are kept; jobs are kept seven times as long",
    )
    live_share: float = Field(
        0.25,
        ge=0.0,
        le=1.0,
        description="fraction of a worker's slots that batch jobs leave free",
    )
    load_window_ms: int = Field(
        60_000,
        ge=1000,
        description="how long the live load is observed before a whole worker is lent; "
        "capacity for its peak in that time, with a margin, is kept",
    )
    record_folder: str = Field(
        "", description="folder in which edges record clients' calls; empty for no recording"
    )
    record_bodies: bool = Field(
        False, description="record prompts in full rather than as size and digest"
    )
    record_rows: int = Field(10_000, ge=1, description="number of calls per recording file")
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"

    @field_validator("link", "http")
    @classmethod
    def _validate_address(cls, value: str) -> str:
        return _check_address(value)

    @field_validator("seeds")
    @classmethod
    def _validate_seeds(cls, value: list[str]) -> list[str]:
        return [_check_address(seed) for seed in value]

    @model_validator(mode="after")
    def _validate_combination(self) -> "Settings":
        """Check the conditions that involve several settings."""
        if self.role in ("store", "control") and not self.data_folder:
            raise ValueError(
                f"data_folder: required, since a {self.role} node keeps its state on disk"
            )
        if self.store_faults >= self.store_count or self.store_count < 2 * self.store_faults + 1:
            raise ValueError("store_faults: store_count has to be at least 2 * store_faults + 1")
        if self.fan_out and self.cut_off != "serve":
            raise ValueError(
                'fan_out: requires cut_off = "serve", since a majority of the serving set is '
                "counted from digests that all control nodes receive"
            )
        if self.link == self.http:
            raise ValueError("http: has to differ from link")
        return self

    # Intervals, time-outs and sizes derived from the settings. Their factors are internal and may
    # change between versions.

    @property
    def heartbeat_ms(self) -> int:
        """Interval at which a node sends heartbeats and digests and does its periodic work."""
        return max(10, int(self.force_ms * 0.1))

    @property
    def failure_timeout_ms(self) -> int:
        """Silence after which a node counts as failed, and its roles pass to the next node.

        Its load reports and digests are ignored from then on.
        """
        return int(self.force_ms * 0.5)

    @property
    def leader_heartbeat_ms(self) -> int:
        """Interval at which the log's leader sends heartbeats to the other members."""
        return max(10, int(self.force_ms * 0.05))

    @property
    def leader_suspicion_ms(self) -> int:
        """Silence of the log's leader after which a member asks the other members about it."""
        return int(self.force_ms * 0.15)

    @property
    def leader_failure_ms(self) -> int:
        """Silence of the log's leader after which a member may replace it if enough agree."""
        return int(self.force_ms * 0.2)

    @property
    def worker_timeout_ms(self) -> int:
        """Silence after which an edge sends a worker no new requests."""
        return int(self.force_ms * 0.6)

    @property
    def contact_timeout_ms(self) -> int:
        """Silence of the control nodes after which a node considers itself cut off from them."""
        return int(self.force_ms * 0.4)

    @property
    def confirmation_timeout_ms(self) -> int:
        """How long the acknowledgement of a version waits for the live edges to confirm it."""
        return int(self.force_ms * 0.75)

    @property
    def control_call_timeout_ms(self) -> int:
        """The longest that an operator's call waits before its outcome is reported as unknown."""
        return int(self.force_ms * 0.35)

    @property
    def edge_confirmation_timeout_ms(self) -> int:
        """How long an acknowledgement waits for edges that go on serving without control."""
        return int(self.force_ms * 0.3)

    @property
    def worker_removal_timeout_ms(self) -> int:
        """Silence at every control node after which a worker is removed from the worker list."""
        return int(self.worker_beat_ms * 3.5)

    @property
    def worker_registration_ms(self) -> int:
        """The time in which every edge knows a worker that runs: its heartbeat and the news of it.

        The worker list reaches the edges with the heartbeat after it was made.
        """
        return self.worker_beat_ms + self.worker_list_batch_ms + self.heartbeat_ms

    @property
    def worker_list_batch_ms(self) -> int:
        """How long changes of the worker list are gathered into one version of it."""
        return max(1, int(self.heartbeat_ms * 0.25))

    @property
    def removal_timeout_ms(self) -> int:
        """Silence after which a node is forgotten.

        A standby then replaces it as a voter or as a member of the log.
        """
        return int(min(self.resume_ms, self.catch_up_ms or self.resume_ms) * 0.5)

    @property
    def claim_timeout_ms(self) -> int:
        """How long an edge goes on running batch items after it last heard from the leader."""
        return int(self.end_ms * 0.75)

    @property
    def claim_revocation_ms(self) -> int:
        """Silence of an edge after which the leader revokes its claims to batch items.

        It is longer than `claim_timeout_ms`, so that the edge has stopped the items by then.
        """
        return int(self.end_ms * 1.1)

    @property
    def request_timeout_ms(self) -> int:
        """How long a connection attempt, a long poll or a request between nodes may last."""
        return int(self.force_ms * 0.25)

    @property
    def max_submission_age_ms(self) -> int:
        """Maximum age of a request's leader time stamp when the request reaches the leader."""
        return int(self.force_ms * 0.5)

    @property
    def max_response_bytes(self) -> int:
        """The size of the longest response accepted from a worker."""
        return 4 * self.max_body_bytes

    @property
    def max_open_job_bytes(self) -> int:
        """The size of the requests of open jobs beyond which no more jobs are admitted."""
        free_bytes = self.memory_bytes - IDLE_PROCESS_BYTES
        return max(_MIN_OPEN_JOB_BYTES, int(free_bytes * _OPEN_JOB_SHARE))

    @property
    def max_kept_record_bytes(self) -> int:
        """The size of the records in memory beyond which the oldest are not kept for peers."""
        return self.max_open_job_bytes // 2

    @property
    def max_worker_list_bytes(self) -> int:
        """The size up to which the worker list takes in workers that are not on it.

        Every node holds the list in several forms, and several versions of it.
        """
        return self.memory_bytes // _WORKER_LIST_DIVISOR

    @property
    def max_client_connections(self) -> int:
        """Number of connections at the clients' address.

        The other descriptors are for files, and for connections to workers and other nodes.
        """
        return self._connections(_CLIENT_CONNECTION_SHARE)

    @property
    def max_other_connections(self) -> int:
        """Number of connections at each other HTTP address of the process."""
        return self._connections(_OTHER_CONNECTION_SHARE)

    def _connections(self, share: float) -> int:
        return max(_MIN_CONNECTIONS, int((self.open_files - _RESERVED_FILES) * share))

    @property
    def response_buffer_bytes(self) -> int:
        """Response data buffered for a slow client before reading from the worker is paused."""
        return max(1 << 14, self.max_body_bytes // 64)

    @property
    def freeze_threshold_ms(self) -> int:
        """The gap in a node's activity above which its process counts as having been frozen."""
        return int(self.force_ms * 0.4)


def _problem_lines(error: ValidationError) -> list[str]:
    """Return one line for each problem, with the name of the setting."""
    return [
        f"{'.'.join(str(part) for part in row['loc']) or 'settings'}: {row['msg']}"
        for row in error.errors()
    ]


def load_settings(path: str | None, flags: dict[str, Any]) -> Result[Settings, list[str]]:
    """Read settings from the TOML file `path`, if given, and from `flags`; None leaves a flag out.

    Return the settings, or a list with one line for each problem. Nothing is raised.
    """
    values: dict[str, Any] = {}
    if path:
        try:
            values = tomllib.loads(Path(path).read_text())
        except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
            return Error([f"{path}: {error}"])
    values.update({key: value for key, value in flags.items() if value is not None})
    try:
        return Ok(Settings(**values))
    except ValidationError as error:
        return Error(_problem_lines(error))


def changed_settings(old: Settings, new: Settings) -> tuple[Settings, list[str], list[str]]:
    """Compare the settings in force with those of a file that was read again.

    Return the settings to use from now on, the names of those that changed, and the names of those
    that differ but need a restart (those outside RELOADABLE).
    """
    differing = [name for name in Settings.model_fields if getattr(old, name) != getattr(new, name)]
    applied = [name for name in differing if name in RELOADABLE]
    unapplied = [name for name in differing if name not in RELOADABLE]
    in_force = old.model_copy(update={name: getattr(new, name) for name in applied})
    return in_force, applied, unapplied
