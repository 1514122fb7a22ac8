"""Model checking of the real protocol cores, and checking of recorded histories.

A small-scope explorer tries all schedules of messages, timers and faults up to given bounds. A
separate checker decides whether a recorded history is linearizable.
"""

from runtime.lazy_exports import lazy_exports

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

__getattr__ = lazy_exports(
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
