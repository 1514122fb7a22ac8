"""Computes and applies JSON merge patches (RFC 7396).

A merge patch cannot set a value to null, so a version that does so is sent with its whole body.
"""

import json
from typing import Any

__all__ = ["apply_patch", "merge", "merge_diff"]


def apply_patch(target: Any, patch: Any) -> Any:
    """Return `target` with a decoded merge patch applied; neither argument is modified."""
    if not isinstance(patch, dict):
        return patch
    result = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = apply_patch(result.get(key), value)
    return result


def _diff(old: Any, new: Any) -> Any:
    patch: dict[str, Any] = {key: None for key in old if key not in new}
    for key, value in new.items():
        before = old.get(key)
        if key in old and before == value:
            continue
        patch[key] = (
            _diff(before, value) if isinstance(before, dict) and isinstance(value, dict) else value
        )
    return patch


def merge(old_body: str, patch_body: str) -> str:
    """Return the JSON text that results from applying a merge patch; all are JSON texts."""
    return json.dumps(apply_patch(json.loads(old_body), json.loads(patch_body)), sort_keys=True)


def merge_diff(old_body: str, new_body: str) -> str:
    """Return the JSON merge patch that changes one JSON text into another."""
    return json.dumps(_diff(json.loads(old_body), json.loads(new_body)), sort_keys=True)
