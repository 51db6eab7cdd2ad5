"""Fuzz tests of a node's listeners with invalid input."""

import curio
import hypothesis.strategies as st
from hypothesis import HealthCheck, given, settings

from auburnjunction.node.tests.support import (
    announce,
    open_backend,
    open_test_node,
    send,
    send_raw,
)
from auburnjunction.schema import control_pb2 as control

FIRST_PORT = 18_500
PATHS = ("/gossip", "/probe", "/push", "/pull", "/drain", "/nothing")
MESSAGES = (
    control.GossipRequest,
    control.ProbeRequest,
    control.PushRequest,
    control.PullRequest,
)
FUZZ = settings(
    derandomize=True,
    deadline=None,
    max_examples=12,
    suppress_health_check=list(HealthCheck),
)

bodies = st.lists(
    st.one_of(
        st.binary(max_size=200),
        st.builds(
            lambda message, value: (
                message(sender=value).SerializeToString()
                if "sender" in message.DESCRIPTOR.fields_by_name
                else value.encode()
            ),
            st.sampled_from(MESSAGES),
            st.text(max_size=20),
        ),
    ),
    min_size=1,
    max_size=10,
)


@FUZZ
@given(st.sampled_from(PATHS), bodies)
def test_node_rejects_invalid_messages_and_stays_live(path, contents):
    async def main():
        async with (
            open_backend() as backend,
            open_test_node(FIRST_PORT) as (cfg, _, _),
        ):
            await announce(cfg, backend.port)
            for content in contents:
                response = await send(cfg.peer_port, "POST", path, content)
                assert 200 <= response.status < 500
            live = await send(cfg.admin_port, "GET", "/live")
            assert live.status == 200

    curio.run(main)


@FUZZ
@given(st.lists(st.binary(min_size=1, max_size=300), max_size=10))
def test_node_stays_live_after_random_bytes(chunks):
    async def main():
        async with open_test_node(FIRST_PORT) as (cfg, _, _):
            for port in (cfg.caller_port, cfg.peer_port, cfg.admin_port):
                for chunk in chunks:
                    await send_raw(port, chunk)
            live = await send(cfg.admin_port, "GET", "/live")
            assert live.status == 200

    curio.run(main)
