"""Registrar: the control plane, and the operators' command line."""

from registrar.nodes import ControlNode

__all__ = ["ControlNode"]
