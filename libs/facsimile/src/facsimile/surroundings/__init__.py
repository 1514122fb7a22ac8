"""Surroundings that fail, for the real programs' processes: links and HTTP that are cut, slow or lossy, a
disk that forgets what was not flushed, a wall clock that is stepped. The programs know nothing of it.
"""

from facsimile.surroundings.disks import PowerDisk
from facsimile.surroundings.nodes import run_node
from facsimile.surroundings.weather import Weather, write_weather

__all__ = ["PowerDisk", "Weather", "run_node", "write_weather"]
