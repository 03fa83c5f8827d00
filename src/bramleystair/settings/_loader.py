"""Loading and validation of settings files."""

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
    """An error in a settings file.

    Parameters
    ----------
    file : str
        Path of the file.
    option : str
        Dotted name of the option; empty if the error concerns the whole file.
    value : str
        Value found, as its Python representation, or why there is none.
    allowed : str
        Description of the allowed values.
    """

    file: str
    option: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Return the error as a single line of text."""
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
    """Return an attrs field with validation, whose allowed values are documented.

    Parameters
    ----------
    default : object
        Value if the file omits the option; an option without a default is required.
    minimum, maximum : float, optional
        Inclusive bounds of a number.
    choices : tuple of str
        The allowed strings.
    is_ip_address : bool
        Whether the string must be a numeric IP address.
    is_endpoint : bool
        Whether each string must be a numeric IP address and a port, such as
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
        allowed.append("numeric IP address and port, such as 127.0.0.1:7946")
    metadata = {"allowed": ", ".join(allowed), "checks": tuple(checks)}
    if isinstance(default, type):
        return attrs.field(factory=default, metadata=metadata)
    return attrs.field(default=default, metadata=metadata)


def load_settings(path: Path | str, schema: type[T]) -> Result[T, tuple]:
    """Load and validate the settings in the file `path`.

    Parameters
    ----------
    path : Path or str
        File of JSON with comments.
    schema : type
        attrs class that declares the options.

    Returns
    -------
    Result of the schema's instance or tuple of SettingsError
        The error holds all errors of the file.
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
    """Validate the parsed `document`; see `load_settings`."""
    converter = _Converter(file)
    settings = converter.convert(schema, "", document)
    if converter.errors:
        return Err(tuple(converter.errors))
    return Ok(settings)


class _Converter:
    """Convert parsed values to the types of a schema and collect all errors."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.errors: list[SettingsError] = []

    def convert(self, kind: Any, name: str, value: Any) -> Any:
        """Return `value` converted to `kind`, or None after recording an error."""
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
            return self._reject(name, value, "an object")
        error_count = len(self.errors)
        hints = typing.get_type_hints(schema)
        fields = {field.name: field for field in attrs.fields(schema) if field.init}
        prefix = f"{name}." if name else ""
        for key in value:
            if key not in fields:
                known = ", ".join(sorted(fields))
                self._reject(f"{prefix}{key}", value[key], f"known options: {known}")
        values = {}
        for field in fields.values():
            option_name = prefix + field.name
            if field.name in value:
                values[field.name] = self._read_field(
                    field, hints[field.name], option_name, value[field.name]
                )
            elif field.default is attrs.NOTHING:
                allowed = _describe(field, hints[field.name])
                self._add_error(option_name, "missing", allowed)
        if len(self.errors) > error_count:
            return None
        try:
            return schema(**values)
        except (TypeError, ValueError) as error:
            return self._reject(name, value, str(error))

    def _read_field(
        self, field: attrs.Attribute, kind: Any, name: str, value: Any
    ) -> Any:
        error_count = len(self.errors)
        converted = self.convert(kind, name, value)
        if len(self.errors) > error_count:
            return None
        items = converted if isinstance(converted, tuple) else (converted,)
        checks = _get_checks(field, kind)
        if not all(check(item) for check in checks for item in items):
            return self._reject(name, value, _describe(field, kind))
        return converted

    def _read_tuple(self, kind: Any, name: str, value: Any) -> Any:
        if not isinstance(value, list):
            return self._reject(name, value, "a list")
        return tuple(
            self.convert(kind, f"{name}[{index}]", item)
            for index, item in enumerate(value)
        )

    def _read_scalar(self, kind: type, name: str, value: Any) -> Any:
        if kind is float and type(value) is int:
            return float(value)
        if type(value) is not kind:
            allowed = _TYPE_NAMES.get(kind, kind.__name__)
            return self._reject(name, value, allowed)
        return value

    def _reject(self, name: str, value: Any, allowed: str) -> None:
        self._add_error(name, repr(value), allowed)

    def _add_error(self, name: str, value: str, allowed: str) -> None:
        self.errors.append(SettingsError(self.file, name, value, allowed))


def _get_checks(field: attrs.Attribute, kind: Any) -> tuple:
    if kind in (int, float) and "checks" not in field.metadata:
        # Schemas of other packages declare no bounds; none of their numbers may be
        # negative.
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
