"""Data plane: edges serve clients and workers, storage nodes keep the replicated log.

The nodes (`EdgeNode`, `StoreNode`) put together the components of the packages below and have no
sockets, so that the simulator runs the same code. `EdgeProcess` and `StoreProcess` give them HTTP
servers, connections to workers, disks and signals; `cli` is the program `vaneledge-data`.

It may import runtime, messaging, storage, membership, config_feed, control_store, replicated_log,
batch_state, request_routing and capacity_sharing; of these packages none imports it.

Invariants: whoever can't be told the outcome of a request gets a verdict that says so (doubtful);
the HTTP modules decide nothing, they read, call a service and write its response. A change of what
clients are told goes into `responses` and its kin, one of HTTP into the `..._api` and `..._server`
modules, one of the assembly into `edge_node` or `store_node`.
"""

from typing import TYPE_CHECKING

from runtime.lazy_exports import lazy_exports

if TYPE_CHECKING:  # for type checkers; at run time each name is imported on first access
    from data_plane.edge_node import EdgeNode
    from data_plane.store_node import StoreNode

__all__ = ["EdgeNode", "StoreNode"]

__getattr__ = lazy_exports(
    __name__,
    {
        "edge_node": ("EdgeNode",),
        "store_node": ("StoreNode",),
    },
)
