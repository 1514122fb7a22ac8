"""Typed messages in Avro encoding.

A message is a class with `__slots__` whose annotations are Avro schemas; the class statement alone
registers the type and its schema. On the wire and on disk a message is the name of its type,
followed by its record.
"""

import io
from typing import Any

from fastavro import parse_schema, schemaless_reader, schemaless_writer

__all__ = [
    "array_of",
    "BadMessageError",
    "Blob",
    "Flag",
    "Long",
    "Message",
    "optional",
    "Real",
    "Text",
    "decode",
    "encode",
]

Text = "string"
Long = "long"
Real = "double"
Flag = "boolean"
Blob = "bytes"

_KINDS: dict[str, type] = {}
_KIND = parse_schema({"type": "string"})


def array_of(items: Any) -> dict:
    """Return the schema of an array."""
    return {"type": "array", "items": items}


def optional(inner: Any) -> list:
    """Return the schema of a value that may be None."""
    return ["null", inner]


class _Kind(type):
    """Metaclass that turns a class body's annotations into slots and a registered schema."""

    def __new__(mcs, name: str, bases: tuple, space: dict) -> type:
        fields = dict(space.get("__annotations__", {}))
        space["__slots__"] = tuple(fields)
        space["FIELDS"] = tuple(fields)
        cls = super().__new__(mcs, name, bases, space)
        if bases:
            if name in _KINDS:
                raise TypeError(f"two messages are called {name}")
            cls.SCHEMA = parse_schema(
                {
                    "type": "record",
                    "name": name,
                    "fields": [{"name": field, "type": schema} for field, schema in fields.items()],
                }
            )
            page = io.BytesIO()
            schemaless_writer(page, _KIND, name)
            cls.HEAD = page.getvalue()
            _KINDS[name] = cls
        return cls


class Message(metaclass=_Kind):
    """Base class of all messages.

    All fields are given by keyword. A missing field raises KeyError, an unknown one TypeError.
    """

    def __init__(self, **values: Any) -> None:
        for field in self.FIELDS:
            setattr(self, field, values.pop(field))
        if values:
            raise TypeError(f"{type(self).__name__} has no field {', '.join(values)}")

    def as_dict(self) -> dict[str, Any]:
        """Return the fields by name."""
        return {field: getattr(self, field) for field in self.FIELDS}

    def __eq__(self, other: object) -> bool:
        return type(self) is type(other) and self.as_dict() == other.as_dict()

    def __hash__(self) -> int:
        return hash(encode(self))

    def __repr__(self) -> str:
        return (
            f"{type(self).__name__}({', '.join(f'{k}={v!r}' for k, v in self.as_dict().items())})"
        )


def encode(message: Message) -> bytes:
    """Return a message as bytes."""
    page = io.BytesIO()
    kind = type(message)
    page.write(kind.HEAD)
    schemaless_writer(page, kind.SCHEMA, {field: getattr(message, field) for field in kind.FIELDS})
    return page.getvalue()


class BadMessageError(ValueError):
    """The bytes are no message of a known type."""


def decode(data: bytes) -> Message:
    """Return the message that the bytes encode. Raises BadMessageError."""
    try:
        page = io.BytesIO(data)
        cls = _KINDS[schemaless_reader(page, _KIND, None)]
        values = schemaless_reader(page, cls.SCHEMA, None)
        message = cls.__new__(cls)
        for field in cls.FIELDS:
            setattr(message, field, values[field])
        return message
    except (
        ValueError,
        EOFError,
        IndexError,
        KeyError,
        TypeError,
        UnicodeError,
        OverflowError,
        MemoryError,
    ) as error:
        raise BadMessageError(repr(error)) from error
