"""The project's own bench of the platform that the system runs on.

An engine model of the workers, clients, an operator, the platform's polls, a runner of the real
programs on loopback addresses, and an oracle with the rules of the platform's pages.
"""

from platform_testbed.engine import Engine
from platform_testbed.engine_messages import EngineProfile

__all__ = ["Engine", "EngineProfile"]
