"""Typed messages in Avro encoding.

A message type is a subclass of Message whose annotations are its fields. Defining the class derives
the Avro schema from the annotations and registers the type under its wire name. An encoded message
is the wire name of its type, followed by the values of its fields in order, without their names.
"""

import io
import types
import typing
from typing import Any, ClassVar

from fastavro import parse_schema, schemaless_reader, schemaless_writer

__all__ = ["BadMessageError", "Message", "decode", "decode_as", "encode"]

_PRIMITIVES = {
    str: "string",
    int: "long",
    float: "double",
    bool: "boolean",
    bytes: "bytes",
}

_TYPES: dict[str, type["Message"]] = {}
_MessageT = typing.TypeVar("_MessageT", bound="Message")
_WIRE_NAME_SCHEMA = parse_schema({"type": "string"})

# Errors that decoding may raise if the bytes are not a valid message of a known type.
_DECODING_ERRORS = (
    ValueError,
    EOFError,
    IndexError,
    KeyError,
    TypeError,
    UnicodeError,
    OverflowError,
    MemoryError,
)


class BadMessageError(ValueError):
    """The bytes do not encode a message of a known type."""


def _avro_schema(annotation: Any) -> Any:
    """Return the Avro schema of a field's type: a primitive, `list[T]` or `T | None`."""
    if annotation in _PRIMITIVES:
        return _PRIMITIVES[annotation]
    arguments = typing.get_args(annotation)
    if typing.get_origin(annotation) is list:
        return {"type": "array", "items": _avro_schema(arguments[0])}
    if isinstance(annotation, types.UnionType) and arguments[1:] == (types.NoneType,):
        return ["null", _avro_schema(arguments[0])]
    raise TypeError(f"message field of unsupported type {annotation!r}")


@typing.dataclass_transform(kw_only_default=True)
class _MessageType(type):
    """Metaclass that turns a class body's annotations into slots and a registered schema."""

    FIELDS: tuple[str, ...]
    SCHEMA: Any
    WIRE_PREFIX: bytes

    def __new__(
        mcs, name: str, bases: tuple[type, ...], namespace: dict[str, Any], wire_name: str = ""
    ) -> "_MessageType":
        fields = dict(namespace.get("__annotations__", {})) if bases else {}
        namespace["__slots__"] = tuple(fields)
        cls = super().__new__(mcs, name, bases, namespace)
        cls.FIELDS = tuple(fields)
        if bases:
            mcs._register(cls, wire_name or name, fields)
        return cls

    def __init__(
        cls, name: str, bases: tuple[type, ...], namespace: dict[str, Any], wire_name: str = ""
    ) -> None:
        super().__init__(name, bases, namespace)

    def _register(cls, wire_name: str, fields: dict[str, Any]) -> None:
        if wire_name in _TYPES:
            raise TypeError(f"wire name {wire_name} is already used by another message type")
        cls.SCHEMA = parse_schema(
            {
                "type": "record",
                "name": wire_name,
                "fields": [
                    {"name": field, "type": _avro_schema(annotation)}
                    for field, annotation in fields.items()
                ],
            }
        )
        buffer = io.BytesIO()
        schemaless_writer(buffer, _WIRE_NAME_SCHEMA, wire_name)
        cls.WIRE_PREFIX = buffer.getvalue()
        _TYPES[wire_name] = typing.cast("type[Message]", cls)


class Message(metaclass=_MessageType):
    """Base class of all messages.

    The constructor takes all fields by keyword; it raises KeyError for a missing field and
    TypeError for an unknown one. The wire name of a type is its class name and never changes; a
    renamed class states its original name: `class Submit(Message, wire_name="HandIn")`.
    """

    FIELDS: ClassVar[tuple[str, ...]]
    SCHEMA: ClassVar[Any]
    WIRE_PREFIX: ClassVar[bytes]

    def __init__(self, **values: Any) -> None:
        for field in self.FIELDS:
            setattr(self, field, values.pop(field))
        if values:
            raise TypeError(f"{type(self).__name__} has no field {', '.join(values)}")

    def as_dict(self) -> dict[str, Any]:
        """Return the values of the fields by name."""
        return {field: getattr(self, field) for field in self.FIELDS}

    def __eq__(self, other: object) -> bool:
        return (
            isinstance(other, Message)
            and type(self) is type(other)
            and self.as_dict() == other.as_dict()
        )

    def __hash__(self) -> int:
        return hash(encode(self))

    def __repr__(self) -> str:
        fields = ", ".join(f"{name}={value!r}" for name, value in self.as_dict().items())
        return f"{type(self).__name__}({fields})"


def encode(message: Message) -> bytes:
    """Return the encoded message, which starts with the wire name of its type."""
    buffer = io.BytesIO()
    message_type = type(message)
    buffer.write(message_type.WIRE_PREFIX)
    values = {field: getattr(message, field) for field in message_type.FIELDS}
    schemaless_writer(buffer, message_type.SCHEMA, values)
    return buffer.getvalue()


def decode(data: bytes) -> Message:
    """Return the message that the bytes encode. Raises BadMessageError."""
    try:
        return _read_message(io.BytesIO(data))
    except _DECODING_ERRORS as error:
        raise BadMessageError(repr(error)) from error


def _read_message(buffer: io.BytesIO) -> Message:
    wire_name = typing.cast(str, schemaless_reader(buffer, _WIRE_NAME_SCHEMA, None))
    message_type = _TYPES[wire_name]
    record = schemaless_reader(buffer, message_type.SCHEMA, None)
    values = typing.cast("dict[str, Any]", record)
    message = message_type.__new__(message_type)
    for field in message_type.FIELDS:
        setattr(message, field, values[field])
    return message


def decode_as(message_type: type[_MessageT], data: bytes) -> _MessageT:
    """Return the message of type `message_type` that the bytes encode.

    Raises BadMessageError if they encode no message or one of another type.
    """
    message = decode(data)
    if not isinstance(message, message_type):
        raise BadMessageError(f"expected {message_type.__name__}, got {type(message).__name__}")
    return message
