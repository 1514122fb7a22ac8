"""All named starting states."""

from modelcheck.control_keys import CONTROL_STARTS
from modelcheck.store_log import LOG_STARTS
from modelcheck.world import Start

__all__ = ["STARTS"]

STARTS: dict[str, Start] = {**CONTROL_STARTS, **LOG_STARTS}
