"""Control plane: the control plane's process, and the operators' command line."""

from runtime.lazy_exports import lazy_exports

__all__ = ["ControlNode"]

__getattr__ = lazy_exports(
    __name__,
    {
        "nodes": ("ControlNode",),
    },
)
