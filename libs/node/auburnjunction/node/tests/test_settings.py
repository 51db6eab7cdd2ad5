"""Tests of a node's settings and their error messages."""

from pathlib import Path

import pytest

from auburnjunction.base.settings import SettingsError, describe_settings
from auburnjunction.node.settings import (
    DEFAULT_CONFIG,
    NodeSettings,
    configure_node_settings,
)
from auburnjunction.node.tests.support import SETTINGS

DOCS = Path(__file__).resolve().parents[5] / "docs"


def test_defaults_are_valid():
    cfg = configure_node_settings(SETTINGS)
    assert cfg.caller_port == DEFAULT_CONFIG["caller_port"]


@pytest.mark.parametrize(
    ("values", "field", "part"),
    [
        ({"node": ""}, "node", "empty"),
        ({"caller_port": 0}, "caller_port", "from 1 to 65535"),
        ({"peer_port": 7400}, "peer_port", "also the port of caller_port"),
        ({"table_address": "here"}, "table_address", "HOST:PORT"),
        ({"log_level": "loud"}, "log_level", "loud"),
        ({"colour": "red"}, "colour", "unknown field"),
        ({"routing": {"max_attempts": 0}}, "routing.max_attempts", "from 1"),
        (
            {"address_translations": {"a": "b"}},
            "address_translations",
            "HOST:PORT",
        ),
    ],
)
def test_invalid_value_is_reported_with_remedy(values, field, part):
    with pytest.raises(SettingsError) as caught:
        configure_node_settings({**SETTINGS, **values})
    assert caught.value.field == field
    assert part in caught.value.message
    assert caught.value.mend


def test_every_node_setting_is_documented():
    page = (DOCS / "settings.md").read_text()
    for name, _, _ in describe_settings(NodeSettings):
        assert f"`{name.partition('.')[0]}`" in page, name
