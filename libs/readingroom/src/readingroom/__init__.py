"""Readingroom: the data plane. Edges serve visitors and workers; stores keep the log."""

from readingroom.nodes import EdgeNode, StoreNode

__all__ = ["EdgeNode", "StoreNode"]
