"""The project's own test bench of the platform that the system runs on.

It simulates the model workers with their engines, the clients, the operator and the platform's
health checks, runs the real programs on loopback addresses, and checks the recorded history against
the platform's rules in an oracle.
"""

from platform_testbed.engine import Engine
from platform_testbed.engine_messages import EngineProfile

__all__ = ["Engine", "EngineProfile"]
