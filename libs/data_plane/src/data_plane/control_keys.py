"""Names of the control keys, whose values the configuration feed distributes to all nodes."""

__all__ = ["CONTROL_KEY", "LOG_KEY", "PROFILES_KEY", "RETIRED_KEY", "WORKERS_KEY"]

PROFILES_KEY = "profiles"
RETIRED_KEY = "retired"
CONTROL_KEY = "control"
LOG_KEY = "log"
WORKERS_KEY = "workers"
