"""JSON merge patches (RFC 7396): computed and applied.

A null value cannot be expressed in a patch, so a version that newly sets one is sent whole.
"""

import json
from typing import Any

__all__ = ["apply_patch", "merge", "merge_diff"]


def apply_patch(target: Any, patch: Any) -> Any:
    """Return `target` with the decoded merge patch applied; the arguments are not modified."""
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
    """Return the JSON body that results from applying a JSON merge patch to a JSON body."""
    return json.dumps(apply_patch(json.loads(old_body), json.loads(patch_body)), sort_keys=True)


def merge_diff(old_body: str, new_body: str) -> str:
    """Return the JSON merge patch that leads from one JSON body to another."""
    return json.dumps(_diff(json.loads(old_body), json.loads(new_body)), sort_keys=True)
