"""Data plane: the data plane's nodes and processes.

Edges serve clients and workers; stores keep the replicated log.
"""

from runtime.lazy import lazy

__all__ = ["EdgeNode", "StoreNode"]

__getattr__ = lazy(
    __name__,
    {
        "nodes": ("EdgeNode", "StoreNode"),
    },
)
