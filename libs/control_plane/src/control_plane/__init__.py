"""Control plane: the control plane's process, and the operators' command line."""

from runtime.lazy import lazy

__all__ = ["ControlNode"]

__getattr__ = lazy(
    __name__,
    {
        "nodes": ("ControlNode",),
    },
)
