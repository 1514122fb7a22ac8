"""Fault injection around the real programs' processes.

Links and HTTP can be cut, slow or lossy, a disk forgets what was not flushed, and the wall clock
can be stepped. The programs' own code is unchanged.
"""

from testbed.fault_injection.disks import PowerDisk
from testbed.fault_injection.injected_faults import InjectedFaults, write_faults
from testbed.fault_injection.nodes import run_node

__all__ = ["InjectedFaults", "PowerDisk", "run_node", "write_faults"]
