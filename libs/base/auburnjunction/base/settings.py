"""Parsing of JSON settings into attrs classes, with validation."""

from functools import cache
from pathlib import Path
from typing import TypeVar, get_origin

import attrs
import cattrs
import orjson
from cattrs.cols import list_structure_factory
from cattrs.errors import (
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
)
from cattrs.gen import make_dict_structure_fn

from auburnjunction.base.errors import AuburnError, ErrorCode

T = TypeVar("T")


class SettingsError(AuburnError):
    """Raised for invalid settings, with field, problem and remedy."""

    code = ErrorCode.INVALID

    def __init__(self, field: str, problem: str, mend: str):
        super().__init__(f"settings field {field}: {problem}; {mend}")
        self.field = field
        self.problem = problem
        self.mend = mend


class FieldError(ValueError):
    """Raised by validators; its text is "problem|remedy"."""

    def __init__(self, field: str, problem: str, mend: str):
        super().__init__(f"{problem}|{mend}")
        self.field = field


def read_values(path: Path) -> dict:
    """Read the JSON object of a settings file as plain values.

    Raise SettingsError when the file cannot be read or is not an object.
    """
    try:
        content = path.read_bytes()
    except OSError as exc:
        raise SettingsError(
            "(file)",
            f"{path} cannot be read ({exc.strerror})",
            "give the path of a JSON settings file",
        ) from exc
    return parse_values(content)


def parse_values(content: bytes) -> dict:
    """Parse a JSON object; raise SettingsError if it is not one."""
    try:
        values = orjson.loads(content)
    except orjson.JSONDecodeError as exc:
        raise SettingsError(
            "(file)",
            f"not valid JSON at line {exc.lineno} column {exc.colno}",
            "correct the JSON at that place",
        ) from exc
    if not isinstance(values, dict):
        raise SettingsError(
            "(file)", "the top level is not an object", "write {...}"
        )
    return values


def read_settings(path: Path, settings_class: type[T]) -> T:
    """Read settings from a JSON file.

    Raise SettingsError when the file is unreadable or a field is invalid.
    """
    return configure_settings(read_values(path), settings_class)


def parse_settings(content: bytes, settings_class: type[T]) -> T:
    """Parse JSON text into an instance of the settings class."""
    return configure_settings(parse_values(content), settings_class)


def parse_known_fields(content: bytes, settings_class: type[T]) -> T:
    """Parse JSON text of another program, ignoring fields unknown here."""
    values = drop_unknown_fields(parse_values(content), settings_class)
    return configure_settings(values, settings_class)


def configure_settings(values: dict, settings_class: type[T]) -> T:
    """Validate plain values and build the settings class from them."""
    converter = _make_converter()
    try:
        return converter.structure(values, settings_class)
    except SettingsError:
        raise
    except Exception as exc:
        raise _to_settings_error(exc, values, settings_class) from exc


def drop_unknown_fields(values: object, settings_class: type) -> object:
    """Return plain values without the fields that the class lacks.

    For settings of another program, of which only some fields are used.
    """
    if not isinstance(values, dict):
        return values
    known = {}
    for field in attrs.fields(settings_class):
        if field.name not in values:
            continue
        value = values[field.name]
        nested = attrs.has(field.type)
        known[field.name] = (
            drop_unknown_fields(value, field.type) if nested else value
        )
    return known


def dump_settings(settings: object) -> bytes:
    """Serialize settings to indented JSON."""
    values = _make_converter().unstructure(settings)
    return orjson.dumps(values, option=orjson.OPT_INDENT_2)


def describe_settings(settings_class: type) -> list[tuple[str, str, str]]:
    """Return (field, type, default) for each field, nested ones dotted."""
    rows = []
    for field in attrs.fields(settings_class):
        if attrs.has(field.type):
            rows += [
                (f"{field.name}.{name}", kind, default)
                for name, kind, default in describe_settings(field.type)
            ]
            continue
        kind = getattr(field.type, "__name__", str(field.type))
        rows.append((field.name, kind, _describe_default(field)))
    return rows


def _describe_default(field: attrs.Attribute) -> str:
    if field.default is attrs.NOTHING:
        return "(required)"
    if isinstance(field.default, attrs.Factory):
        return str(field.default.factory())
    return str(field.default)


@cache
def _make_converter() -> cattrs.Converter:
    # Cached, as the converter compiles code for each class, which takes
    # milliseconds.
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(str, _require_type(str, "a string"))
    converter.register_structure_hook(
        bool, _require_type(bool, "true or false")
    )
    converter.register_structure_hook(
        int, _require_type(int, "a whole number")
    )
    converter.register_structure_hook(
        float, _require_type((int, float), "a number")
    )
    converter.register_structure_hook_factory(attrs.has, _require_object)
    converter.register_structure_hook_factory(_is_list, _require_list)
    return converter


def _require_type(kind, expected: str):
    def check(value, _):
        is_bool = isinstance(value, bool)
        if not isinstance(value, kind) or (is_bool and kind is not bool):
            raise TypeError(f"{value!r} is not {expected}|write {expected}")
        return value

    return check


def _require_object(cls, converter: cattrs.Converter):
    structure = make_dict_structure_fn(
        cls, converter, _cattrs_forbid_extra_keys=True
    )

    def check(value, kind):
        if not isinstance(value, dict):
            raise TypeError(f"{value!r} is not an object|write {{...}}")
        return structure(value, kind)

    return check


def _is_list(kind) -> bool:
    return get_origin(kind) is list


def _require_list(kind, converter: cattrs.Converter):
    structure = list_structure_factory(kind, converter)

    def check(value, _):
        # Any iterable would be taken otherwise, a string by its characters.
        if not isinstance(value, list):
            raise TypeError(f"{value!r} is not a list|write [...]")
        return structure(value, kind)

    return check


def _to_settings_error(
    exc: Exception, values: object, cls: type
) -> SettingsError:
    """Convert a cattrs error to a SettingsError for its innermost cause."""
    path: list[str] = []
    while isinstance(exc, ClassValidationError | IterableValidationError):
        exc = exc.exceptions[0]
        path += _read_path(exc)
    field = ".".join(path) or "(file)"
    if isinstance(exc, ForbiddenExtraKeysError):
        name = sorted(exc.extra_fields)[0]
        known = ", ".join(a.name for a in attrs.fields(exc.cl))
        full = ".".join([*path, name])
        return SettingsError(full, "unknown field", f"use one of {known}")
    if isinstance(exc, KeyError):
        return SettingsError(field, "missing", "add this field")
    if isinstance(exc, FieldError):
        field = ".".join([*path, exc.field])
    elif isinstance(exc, ValueError) and len(exc.args) > 1:
        # attrs validators raise ValueError(message, attribute, ...).
        field = ".".join([*path, exc.args[1].name])
        return SettingsError(field, exc.args[0], "correct the value")
    problem, _, mend = str(exc).partition("|")
    return SettingsError(field, problem, mend or "correct the value")


def _read_path(exc: Exception) -> list[str]:
    for note in getattr(exc, "__notes__", []):
        name = getattr(note, "name", None)
        if name is not None:
            return [str(name)]
        index = getattr(note, "index", None)
        if index is not None:
            return [str(index)]
    return []


def check_range(low: float, high: float):
    """Return an attrs validator for numbers from low to high."""

    def check(_instance, attribute, value):
        if not low <= value <= high:
            raise FieldError(
                attribute.name,
                f"{value} is out of range",
                f"write a number from {low} to {high}",
            )

    return check


def check_port(_instance, attribute, value) -> None:
    """Validate, for attrs, that a value is a TCP port (1 to 65535)."""
    check_range(1, 65535)(_instance, attribute, value)


def check_not_empty(_instance, attribute, value) -> None:
    """Validate, for attrs, that a string or list is not empty."""
    if not value:
        raise FieldError(attribute.name, "is empty", "give a value")
