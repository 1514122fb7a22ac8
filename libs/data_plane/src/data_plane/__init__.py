"""Data plane: edges serve clients and workers, storage nodes keep the replicated log.

The nodes (`EdgeNode`, `StoreNode`) assemble components of the packages named below and open no
sockets, so that the simulator runs the same code. `EdgeProcess` and `StoreProcess` add the HTTP
servers, connections to workers, disks and signal handling; `cli` is the program `vaneledge-data`.

The package may import runtime, messaging, storage, membership, config_feed, control_store,
replicated_log, batch_state, request_routing and capacity_sharing; none of these imports it.

Invariants: a client whose request has an unknown outcome gets the verdict `may_have_run`, never
`not_run`. The HTTP modules make no decisions: they parse a request, call a service and write its
response. The content of responses is changed in `responses`, `job_responses` and
`forward_job_responses`, HTTP handling in the `..._api` and `..._server` modules, and the assembly
of a node in `edge_node` or `store_node`.
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
