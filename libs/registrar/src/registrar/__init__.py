"""Registrar: the control plane's process, and the operators' command line."""

from colophon.lazy import lazy

__all__ = ["ControlNode"]

__getattr__ = lazy(
    __name__,
    {
        "nodes": ("ControlNode",),
    },
)
