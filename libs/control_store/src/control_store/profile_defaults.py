"""Default values of the fields of a profile, and the fields that are not inherited."""

from typing import Any

__all__ = ["DEFAULTS", "NOT_INHERITED"]

DEFAULTS: dict[str, Any] = {
    "workers": {"identities": [], "labels": []},
    "path": "",
    "deadline_ms": 5000,
    "repeatable": True,
    "zone": "near",
    "live_share": 1.0,
    "lot_share": 1.0,
    "waiting_room": 16,
    "retry_budget": 0.2,
    "abstract": False,
    "match": {},
    "kind": "plain",
    "shares": [],
    "give_up_ms": 0,
    "target_ms": 0,
    "token_gap_ms": 0,
    "due_ms": 0,
    "keep_ms": 0,
    "urgency": 5,
    "attempts": 2,
    "sticky": False,
    "resumable": False,
    "waiting_tokens": 0,
    "loan_share": 0.0,
    "rollout_room": 4,
    "health_path": "",
    "connections": 0,
    "slots": 0,
    "cache_tokens": 0,
    "stride_tokens": 0,
    "models": [],
    "rank": 0,
    "source": "",
}
NOT_INHERITED = ("abstract", "parent", "match", "rank", "source")
