"""All named starting states."""

from modelcheck.control_starts import CONTROL_STARTS
from modelcheck.log_starts import LOG_STARTS
from modelcheck.world import Start

__all__ = ["STARTS"]

STARTS: dict[str, Start] = {**CONTROL_STARTS, **LOG_STARTS}
