"""Deliberate breaks: the system's code broken in one place at a time, to see that a test fails."""

from testbed.mutations.runner import run_breaks
from testbed.mutations.table import BREAKS

__all__ = ["BREAKS", "run_breaks"]
