"""Settings, logs, request verdicts and clocks, shared by all processes of a fleet.

- `settings`: the operators' settings, checked before anything starts, and the time-outs derived
  from them. A new setting is added here, to docs/operators.md, and to RELOADABLE if it may change
  while the process runs.
- `logs`: log lines as JSON objects.
- `verdicts`: whether a request may have run, and the refusals that report it.
- `clock`: the boot clock, on which time-outs run, and the wall clock.
- `memory_budget`: the memory that a process lends to its clients' requests.
- `bounds`: the bounds of the values that messages between nodes can carry.
- `lazy_exports`: package exports that are imported on first access.

Invariants: settings are immutable, and no time-out runs on the wall clock. This package imports no
other package of the project.
"""

from runtime.bounds import MAX_WHOLE_NUMBER, is_valid_unicode
from runtime.clock import boot_ms, wall_ms
from runtime.logs import log, set_up_logs
from runtime.memory_budget import MemoryBudget, MemoryHolding, request_memory_bytes
from runtime.settings import Settings, load_settings
from runtime.verdicts import Refusal, Verdict, doubtful, refused

__all__ = [
    "MAX_WHOLE_NUMBER",
    "MemoryBudget",
    "MemoryHolding",
    "Refusal",
    "Settings",
    "Verdict",
    "boot_ms",
    "doubtful",
    "is_valid_unicode",
    "load_settings",
    "log",
    "refused",
    "request_memory_bytes",
    "set_up_logs",
    "wall_ms",
]
