"""Settings of one process, read from a TOML file and from flags, where flags win.

All problems are found before anything starts. The time-outs that the code uses are properties here:
fixed shares of the few bounds that operators set. The settings' names are the operators' interface.
"""

import ipaddress
import tomllib
from pathlib import Path
from typing import Any, Literal

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator, model_validator

__all__ = ["RELOADABLE", "Settings", "changed_settings", "load_settings"]

_MAX_PORT = 65535

# The settings that take effect when the file is read again, without a restart.
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
    }
)


def _check_address(value: str) -> str:
    """Return a valid address as it is. Raises ValueError."""
    host, colon, port = value.rpartition(":")
    if not colon or not port.isdigit() or not 0 < int(port) <= _MAX_PORT:
        raise ValueError("an address is IP:PORT")
    ipaddress.ip_address(host.strip("[]"))
    return value


class Settings(BaseModel):
    """The checked, immutable settings of one process.

    Names that end in `_ms` are milliseconds, those in `_bytes` bytes. Construction raises
    pydantic's ValidationError, which lists every problem at once.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    role: Literal["control", "edge", "store"] = "edge"
    link: str = Field(description="address for the fleet's own messages, IP:PORT")
    http: str = Field(description="address for clients, workers and operators, IP:PORT")
    zone: str = Field(min_length=1)
    node_name: str = Field(
        "", description="what operators call this node; its link address if empty"
    )
    seeds: list[str] = Field(min_length=1, max_length=3)
    data_folder: str = ""
    region: str = Field(
        "", description="the region that the zone lies in; empty where there is only one"
    )
    first_start: bool = Field(
        False, description="the fleet starts for the first time, with empty disks"
    )
    counted: bool = Field(True, description="this machine is among those whose loss is to be borne")
    control_count: int = Field(
        5,
        ge=0,
        le=15,
        description="how many control nodes found the fleet; 0 where that isn't told",
    )
    store_count: int = Field(3, ge=2, le=9)
    store_faults: int = Field(1, ge=1, le=4)
    delta_ms: int = Field(50, ge=1, le=5000)
    flush_ms: int = Field(
        30000, ge=50, description="tau: the longest a record waits for the background flush"
    )
    keep_factor: float = Field(
        2.0, ge=1.0, description="k: peers keep records for k times flush_ms"
    )
    force_ms: int = Field(
        2000, ge=200, description="a version is in force, a drained worker left alone"
    )
    end_ms: int = Field(3000, ge=300, description="an ended lot has stopped everywhere")
    resume_ms: int = Field(12000, ge=1000, description="service is back after the machines")
    catch_up_ms: int = Field(
        0,
        ge=0,
        description="within this time of an empty machine's arrival it stands in for the "
        "one that it replaces; 0 where there is no such bound",
    )
    worker_beat_ms: int = Field(
        1000, ge=50, description="about how often a worker tells control that it is there"
    )
    cut_off: Literal["refuse", "serve"] = Field(
        "refuse", description="what a node does that is cut off from control"
    )
    fan_out: int = Field(
        0,
        ge=0,
        le=16,
        description="to how many control nodes a node that doesn't vote sends its "
        "digests; 0 for all of them, and for its whole view",
    )
    grace_ms: int = Field(5000, ge=100, description="between SIGTERM and the process's end")
    view_size: int = Field(12, ge=2, le=64)
    disk_bytes: int = Field(1 << 30, ge=1 << 16)
    segment_bytes: int = Field(1 << 22, ge=1 << 12)
    max_body_bytes: int = Field(1 << 22, ge=1 << 10)
    keep_ms: int = Field(
        86_400_000, ge=1000, description="how long used keys are kept; lots seven times that"
    )
    live_share: float = Field(
        0.25, ge=0.0, le=1.0, description="part of a worker's slots that lots leave free"
    )
    load_window_ms: int = Field(
        60_000,
        ge=1000,
        description="for how long the live load is watched before a worker is "
        "lent whole; its peak in that time, with a margin, is kept",
    )
    record_folder: str = Field(
        "", description="edges: where clients' calls are recorded; empty for not at all"
    )
    record_bodies: bool = Field(
        False, description="record prompts whole rather than by size and digest"
    )
    record_rows: int = Field(10_000, ge=1, description="calls in one file of a recording")
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"

    @field_validator("link", "http")
    @classmethod
    def _own_address(cls, value: str) -> str:
        return _check_address(value)

    @field_validator("seeds")
    @classmethod
    def _seed_addresses(cls, value: list[str]) -> list[str]:
        return [_check_address(seed) for seed in value]

    @model_validator(mode="after")
    def _check_together(self) -> "Settings":
        """Check what settings have to fulfil together."""
        if self.role in ("store", "control") and not self.data_folder:
            raise ValueError(
                f"data_folder: a {self.role} keeps its state on disk and needs a folder"
            )
        if self.store_faults >= self.store_count or self.store_count < 2 * self.store_faults + 1:
            raise ValueError("store_faults: store_count has to be at least 2 * store_faults + 1")
        if self.fan_out and self.cut_off != "serve":
            raise ValueError(
                'fan_out: needs cut_off = "serve", since the roll is counted by digests '
                "that all control nodes hear"
            )
        if self.link == self.http:
            raise ValueError("http: has to differ from link")
        return self

    # -- derived intervals, time-outs and sizes ----------------------------------------------------
    #
    # Operators set a few bounds; these shares of them are internal and may change between versions.

    @property
    def heartbeat_ms(self) -> int:
        """How often a node sends heartbeats and digests and does its periodic work."""
        return max(10, int(self.force_ms * 0.1))

    @property
    def failure_timeout_ms(self) -> int:
        """Silence after which a node counts as failed, and its roles pass to the next node.

        Its load reports and digests no longer count either.
        """
        return int(self.force_ms * 0.5)

    @property
    def leader_heartbeat_ms(self) -> int:
        """How often the log's leader sends its heartbeat to the other members."""
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
    def worker_list_batch_ms(self) -> int:
        """How long changes of the worker list are gathered into one version of it."""
        return max(1, int(self.heartbeat_ms * 0.25))

    @property
    def removal_timeout_ms(self) -> int:
        """Silence after which a node is forgotten; a standby replaces a member with a disk."""
        return int(min(self.resume_ms, self.catch_up_ms or self.resume_ms) * 0.5)

    @property
    def claim_timeout_ms(self) -> int:
        """How long an edge goes on running batch items after it last heard from the leader."""
        return int(self.end_ms * 0.75)

    @property
    def claim_revocation_ms(self) -> int:
        """Silence of an edge after which the leader takes back its claims.

        It is longer than `claim_timeout_ms`, so that the edge has stopped the items by then.
        """
        return int(self.end_ms * 1.1)

    @property
    def request_timeout_ms(self) -> int:
        """How long a connection attempt, a long poll or a request between nodes may last."""
        return int(self.force_ms * 0.25)

    @property
    def max_submission_age_ms(self) -> int:
        """How old the leader's stamp on a submission may be when it reaches the leader."""
        return int(self.force_ms * 0.5)

    @property
    def max_response_bytes(self) -> int:
        """The longest response accepted from a worker."""
        return 4 * self.max_body_bytes

    @property
    def response_buffer_bytes(self) -> int:
        """How much of a response waits for a slow client before reading from the worker pauses."""
        return max(1 << 14, self.max_body_bytes // 64)

    @property
    def freeze_threshold_ms(self) -> int:
        """The gap between two ticks from which a process counts as having been frozen."""
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

    Return the settings to go on with, the names that were applied, and the names that differ but
    need a restart (those outside RELOADABLE).
    """
    differing = [name for name in Settings.model_fields if getattr(old, name) != getattr(new, name)]
    applied = [name for name in differing if name in RELOADABLE]
    unapplied = [name for name in differing if name not in RELOADABLE]
    in_force = old.model_copy(update={name: getattr(new, name) for name in applied})
    return in_force, applied, unapplied
