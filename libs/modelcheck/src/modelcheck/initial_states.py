"""All named initial states."""

from modelcheck.control_initial_states import CONTROL_INITIAL_STATES
from modelcheck.log_initial_states import LOG_INITIAL_STATES
from modelcheck.system_model import InitialState

__all__ = ["INITIAL_STATES"]

INITIAL_STATES: dict[str, InitialState] = {**CONTROL_INITIAL_STATES, **LOG_INITIAL_STATES}
