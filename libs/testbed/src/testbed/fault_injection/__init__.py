"""Fault injection around the real programs' processes.

Links and HTTP can be cut, slow or lossy, a disk forgets what was not flushed, and the wall clock
can be stepped. The programs' own code is unchanged.
"""

from testbed.fault_injection.disks import PowerDisk
from testbed.fault_injection.nodes import run_node
from testbed.fault_injection.weather import Weather, write_weather

__all__ = ["PowerDisk", "Weather", "run_node", "write_weather"]
