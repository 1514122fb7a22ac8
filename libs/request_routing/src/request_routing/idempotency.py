"""Idempotency keys of transactions that may not be repeated.

A key is opened at the leader of the log before the first attempt and closed there with the outcome.
"""

from typing import Any

from batch_state import messages as m

from request_routing.in_flight import InFlightRequest
from request_routing.lifecycle import Step

__all__ = ["ask_close", "ask_open"]


def ask_open(carrier: Any, holder: Any, carriage: InFlightRequest) -> None:
    """Open the key at the leader of the log; without a receipt the transaction is in doubt."""
    tx, node = carriage.tx, carrier.node

    def told(receipt: Any) -> None:
        if tx.transaction_id not in carrier.open:
            return
        if receipt is None:
            carrier.take(carriage, tx.open_receipt("unknown"))
        else:
            carrier.take(carriage, tx.open_receipt(receipt.outcome, receipt.status, receipt.body))

    left_ms = max(node.settings.request_timeout_ms, (tx.due_ms - node.env.now()) // 2)
    holder.ask(
        m.OpenKey(
            key=tx.key,
            digest=carriage.call.digest,
            edge=carrier.edge,
            request_id=tx.transaction_id,
            epoch=0,
            leader_ms=0,
        ),
        left_ms,
        told,
    )


def ask_close(carrier: Any, holder: Any, carriage: InFlightRequest, step: Step) -> None:
    """Close the key as the step says; a close without a receipt leaves it open, which is logged."""
    tx = carriage.tx
    status, body = step.value if step.value is not None else (0, "")

    def told(receipt: Any) -> None:
        if receipt is None:
            carrier.node.env.log(
                "key-left-open",
                "WARNING",
                transaction=tx.transaction_id,
                key=tx.key,
                state=step.close_as,
            )
        if tx.transaction_id in carrier.open:
            carrier.take(carriage, tx.closed())

    holder.ask(
        m.CloseKey(
            key=tx.key,
            request_id=tx.transaction_id,
            state=step.close_as,
            status=status,
            body=body,
        ),
        carrier.node.settings.request_timeout_ms * 2,
        told,
    )
