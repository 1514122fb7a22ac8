"""Runs the nodes' own processes with fault injection.

Messages between nodes can be cut off, delayed or lost, requests to workers cut off, the wall clock
stepped, and a kill loses what was not flushed to the disk. The nodes' own code is unchanged.
"""

from testbed.fault_injection.disks import PowerLossDisk
from testbed.fault_injection.injected_faults import InjectedFaults, write_faults
from testbed.fault_injection.nodes import run_node

__all__ = ["InjectedFaults", "PowerLossDisk", "run_node", "write_faults"]
