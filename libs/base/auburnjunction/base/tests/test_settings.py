"""Parsing, validation and description of JSON settings."""

import attrs
import orjson
import pytest

from auburnjunction.base.settings import (
    SettingsError,
    check_not_empty,
    check_port,
    configure_settings,
    describe_settings,
    dump_settings,
    parse_settings,
    read_settings,
)


@attrs.frozen
class Inner:
    """Nested settings."""

    wait_s: float = 1.0
    names: tuple[str, ...] = ()
    places: list[str] = attrs.field(factory=list)


@attrs.frozen
class Outer:
    """Settings for the tests."""

    name: str = attrs.field(validator=check_not_empty)
    port: int = attrs.field(default=80, validator=check_port)
    on: bool = False
    inner: Inner = attrs.field(factory=Inner)


def test_missing_fields_take_defaults():
    cfg = parse_settings(b'{"name": "a", "inner": {"wait_s": 2}}', Outer)
    assert cfg == Outer("a", 80, False, Inner(2))
    assert parse_settings(dump_settings(cfg), Outer) == cfg


@pytest.mark.parametrize(
    ("values", "field", "part"),
    [
        ({}, "name", "missing"),
        ({"name": ""}, "name", "empty"),
        ({"name": 3}, "name", "3 is not a string"),
        ({"name": "a", "port": "80"}, "port", "'80' is not a whole number"),
        ({"name": "a", "port": True}, "port", "whole number"),
        ({"name": "a", "port": 0}, "port", "from 1 to 65535"),
        ({"name": "a", "on": 1}, "on", "true or false"),
        ({"name": "a", "prot": 80}, "prot", "unknown field"),
        ({"name": "a", "inner": {"wait": 1}}, "inner.wait", "unknown field"),
        ({"name": "a", "inner": {"wait_s": "x"}}, "inner.wait_s", "number"),
        ({"name": "a", "inner": {"names": [1]}}, "inner.names.0", "string"),
        ({"name": "a", "inner": {"places": [1]}}, "inner.places.0", "string"),
        (
            {"name": "a", "inner": {"places": "b"}},
            "inner.places",
            "not a list",
        ),
        ({"name": "a", "inner": 5}, "inner", "object"),
    ],
)
def test_error_names_field_and_remedy(values, field, part):
    with pytest.raises(SettingsError) as caught:
        configure_settings(values, Outer)
    assert caught.value.field == field
    assert part in caught.value.message
    assert caught.value.mend


@pytest.mark.parametrize(
    ("content", "part"),
    [
        (b"{", "not valid JSON at line 1"),
        (b"[]", "not an object"),
        (None, "cannot be read"),
    ],
)
def test_unreadable_file_raises_settings_error(tmp_path, content, part):
    path = tmp_path / "settings.json"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(SettingsError, match=part):
        read_settings(path, Outer)


def test_settings_are_described_with_defaults():
    rows = describe_settings(Outer)
    assert ("name", "str", "(required)") in rows
    assert ("inner.wait_s", "float", "1.0") in rows
    assert orjson.loads(dump_settings(Outer("a")))["port"] == 80
