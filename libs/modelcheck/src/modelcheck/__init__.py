"""Modelcheck: a small-scope explorer that tries all schedules of the real cores up to bounds, and a
checker of recorded histories for linearizability.
"""

from colophon.lazy import lazy

__all__ = [
    "Bounds",
    "BreachError",
    "Call",
    "CONTROL_STARTS",
    "ControlKeys",
    "Explorer",
    "Operation",
    "Start",
    "linearize",
    "read_schedule",
    "write_schedule",
]

__getattr__ = lazy(
    __name__,
    {
        "actions": ("read_schedule", "write_schedule"),
        "control_keys": ("ControlKeys",),
        "control_starts": ("CONTROL_STARTS",),
        "explorer": ("Explorer",),
        "linearizability": ("Call", "linearize"),
        "world": ("Bounds", "BreachError", "Operation", "Start"),
    },
)
