"""The bodies of operators' calls to a control node, validated, and the identifiers of changes."""

import hashlib
import json
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field

__all__ = [
    "ForgetOrder",
    "RetirementOrder",
    "ConfigurationPatchBody",
    "ConfigurationBody",
    "identity_of",
]

ChangeId = Annotated[str, Field(min_length=1, max_length=128)]


class ConfigurationBody(BaseModel):
    """A whole tree of profiles, based on the version that it replaces."""

    model_config = ConfigDict(extra="forbid", strict=True, defer_build=True)
    version: int = Field(ge=0)
    change_id: ChangeId | None = None
    tree: dict[str, Any]


class ConfigurationPatchBody(BaseModel):
    """A merge patch of the tree of profiles, based on the version that it replaces."""

    model_config = ConfigDict(extra="forbid", strict=True, defer_build=True)
    version: int = Field(ge=0)
    change_id: ChangeId | None = None
    patch: dict[str, Any]


class RetirementOrder(BaseModel):
    """A machine with a disk that is to be retired, or returned to service with `undo`."""

    model_config = ConfigDict(extra="forbid", strict=True, defer_build=True)
    identity: str = Field(min_length=1, max_length=128)
    change_id: ChangeId | None = None
    undo: bool = False


class ForgetOrder(BaseModel):
    """Link addresses of machines that are lost for good and are no longer to be counted."""

    model_config = ConfigDict(extra="forbid", strict=True, defer_build=True)
    links: list[str] = Field(min_length=1, max_length=256)


def identity_of(change_id: str, contents: BaseModel) -> str:
    """Return the identifier by which a change is recognized when it is sent again.

    It covers the caller's id and all content, since an id used for two contents names two changes.
    """
    sent = contents.model_dump(exclude={"change_id"})
    text = json.dumps([change_id, type(contents).__name__, sent], sort_keys=True)
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()
