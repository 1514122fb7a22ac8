"""Colophon: what every process prints about itself. Settings that are checked before anything
starts, JSON-line logs, the verdicts that say whether a request may have run, and the clocks.
"""

from colophon.clock import boot_ms, wall_ms
from colophon.logs import log, set_up_logs
from colophon.params import Params, load_params
from colophon.verdicts import Refusal, Verdict, doubtful, refused

__all__ = [
    "Params",
    "Refusal",
    "Verdict",
    "boot_ms",
    "doubtful",
    "load_params",
    "log",
    "refused",
    "set_up_logs",
    "wall_ms",
]
