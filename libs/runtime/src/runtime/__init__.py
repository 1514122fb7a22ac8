"""Settings, logs, request verdicts and clocks shared by every process of the fleet.

Settings are checked before anything starts, log lines are JSON objects, and a verdict says whether
a request may have run.
"""

from runtime.clock import boot_ms, wall_ms
from runtime.logs import log, set_up_logs
from runtime.settings import Settings, load_settings
from runtime.verdicts import Refusal, Verdict, doubtful, refused

__all__ = [
    "Settings",
    "Refusal",
    "Verdict",
    "boot_ms",
    "doubtful",
    "load_settings",
    "log",
    "refused",
    "set_up_logs",
    "wall_ms",
]
