"""Deliberate breaks: the system's code broken in one place at a time, to see that a test fails."""

from testbed.breaks.runner import run_breaks
from testbed.breaks.table import BREAKS

__all__ = ["BREAKS", "run_breaks"]
