"""Reading and checking of settings files."""

import ipaddress
import types
import typing
from pathlib import Path
from typing import Any, TypeVar

import attrs
import json5
from result import Err, Ok, Result

T = TypeVar("T")

_TYPE_NAMES = {
    bool: "true or false",
    int: "an integer",
    float: "a number",
    str: "a string",
}


@attrs.frozen
class SettingsError:
    """Describe one mistake in a settings file.

    Parameters
    ----------
    file : str
        Path of the file.
    option : str
        Dotted name of the option; empty when the whole file is at fault.
    value : str
        Value found, as Python prints it.
    allowed : str
        Values that are allowed.
    """

    file: str
    option: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Return a single line for logs and terminals."""
        where = f"option '{self.option}'" if self.option else "file"
        return f"{self.file}: {where} is {self.value}; allowed: {self.allowed}"


def option(
    default: Any = attrs.NOTHING,
    *,
    minimum: float | None = None,
    maximum: float | None = None,
    choices: tuple[str, ...] = (),
    is_ip_address: bool = False,
    is_endpoint: bool = False,
) -> Any:
    """Return an attrs field whose allowed values are checked and documented.

    Parameters
    ----------
    default : object
        Value when the file leaves the option out; without one it is required.
    minimum, maximum : float, optional
        Bounds of a number, both included.
    choices : tuple of str
        The only strings allowed.
    is_ip_address : bool
        Whether the string must be a numeric IP address.
    is_endpoint : bool
        Whether each string must be a numeric IP address and a port, as
        ``"127.0.0.1:7946"``.
    """
    checks, allowed = [], []
    if minimum is not None:
        checks.append(lambda value: value >= minimum)
        allowed.append(f"at least {minimum}")
    if maximum is not None:
        checks.append(lambda value: value <= maximum)
        allowed.append(f"at most {maximum}")
    if choices:
        checks.append(lambda value: value in choices)
        allowed.append("one of " + ", ".join(choices))
    if is_ip_address:
        checks.append(_is_ip_address)
        allowed.append("a numeric IP address")
    if is_endpoint:
        checks.append(_is_endpoint)
        allowed.append("numeric IP address and port, as 127.0.0.1:7946")
    metadata = {"allowed": ", ".join(allowed), "checks": tuple(checks)}
    if isinstance(default, type):
        return attrs.field(factory=default, metadata=metadata)
    return attrs.field(default=default, metadata=metadata)


def load_settings(path: Path | str, schema: type[T]) -> Result[T, tuple]:
    """Return the settings in the file `path`.

    Parameters
    ----------
    path : Path or str
        File of JSON with comments.
    schema : type
        attrs class that declares the options.

    Returns
    -------
    Result of the schema's instance or tuple of SettingsError
        All mistakes of the file at once.
    """
    file = str(path)
    try:
        document = json5.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        detail = error.strerror or "unreadable"
        return Err((SettingsError(file, "", detail, "a readable file"),))
    except (ValueError, RecursionError) as error:
        return Err((SettingsError(file, "", str(error), "JSON with comments"),))
    return check_settings(document, schema, file)


def check_settings(document: Any, schema: type[T], file: str = "") -> Result[T, tuple]:
    """Return the settings in the parsed `document`; see `load_settings`."""
    reader = _Reader(file)
    settings = reader.read(schema, "", document)
    if reader.errors:
        return Err(tuple(reader.errors))
    return Ok(settings)


class _Reader:
    """Structure values and collect every error on the way."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.errors: list[SettingsError] = []

    def read(self, kind: Any, name: str, value: Any) -> Any:
        """Return `value` as `kind`, or None after recording an error."""
        if attrs.has(kind):
            return self._read_class(kind, name, value)
        origin = typing.get_origin(kind)
        if origin is tuple:
            return self._read_tuple(typing.get_args(kind)[0], name, value)
        if origin in (types.UnionType, typing.Union):
            if value is None:
                return None
            kind = next(k for k in typing.get_args(kind) if k is not type(None))
        return self._read_scalar(kind, name, value)

    def _read_class(self, schema: type, name: str, value: Any) -> Any:
        if not isinstance(value, dict):
            return self._refuse(name, value, "an object")
        count = len(self.errors)
        hints = typing.get_type_hints(schema)
        fields = {field.name: field for field in attrs.fields(schema) if field.init}
        prefix = f"{name}." if name else ""
        for key in value:
            if key not in fields:
                known = ", ".join(sorted(fields))
                self._refuse(f"{prefix}{key}", value[key], f"known options: {known}")
        values = {}
        for field in fields.values():
            option_name = prefix + field.name
            if field.name in value:
                values[field.name] = self._read_field(
                    field, hints[field.name], option_name, value[field.name]
                )
            elif field.default is attrs.NOTHING:
                allowed = _describe(field, hints[field.name])
                self._add(option_name, "missing", allowed)
        if len(self.errors) > count:
            return None
        try:
            return schema(**values)
        except (TypeError, ValueError) as error:
            return self._refuse(name, value, str(error))

    def _read_field(
        self, field: attrs.Attribute, kind: Any, name: str, value: Any
    ) -> Any:
        count = len(self.errors)
        read = self.read(kind, name, value)
        if len(self.errors) > count:
            return None
        items = read if isinstance(read, tuple) else (read,)
        checks = _get_checks(field, kind)
        if not all(check(item) for check in checks for item in items):
            return self._refuse(name, value, _describe(field, kind))
        return read

    def _read_tuple(self, kind: Any, name: str, value: Any) -> Any:
        if not isinstance(value, list):
            return self._refuse(name, value, "a list")
        return tuple(
            self.read(kind, f"{name}[{index}]", item)
            for index, item in enumerate(value)
        )

    def _read_scalar(self, kind: type, name: str, value: Any) -> Any:
        if kind is float and type(value) is int:
            return float(value)
        if type(value) is not kind:
            allowed = _TYPE_NAMES.get(kind, kind.__name__)
            return self._refuse(name, value, allowed)
        return value

    def _refuse(self, name: str, value: Any, allowed: str) -> None:
        self._add(name, repr(value), allowed)

    def _add(self, name: str, value: str, allowed: str) -> None:
        self.errors.append(SettingsError(self.file, name, value, allowed))


def _get_checks(field: attrs.Attribute, kind: Any) -> tuple:
    if kind in (int, float) and "checks" not in field.metadata:
        # Schemas of other packages declare no bounds; no number is below 0 there.
        return (lambda value: value >= 0,)
    return field.metadata.get("checks", ())


def _describe(field: attrs.Attribute, kind: Any) -> str:
    name = _TYPE_NAMES.get(kind, "an object" if attrs.has(kind) else "a list")
    default = "at least 0" if kind in (int, float) else ""
    allowed = field.metadata.get("allowed", default)
    return f"{name}, {allowed}" if allowed else name


def _is_ip_address(value: str) -> bool:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return False
    return True


def _is_endpoint(value: str) -> bool:
    host, _, port = value.rpartition(":")
    return _is_ip_address(host) and port.isdecimal() and 0 < int(port) < 2**16
