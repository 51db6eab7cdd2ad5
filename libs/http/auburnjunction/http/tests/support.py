"""Loopback address and peers for tests that open listeners."""

import os
from contextlib import asynccontextmanager

import curio

from auburnjunction.base.tasks import open_task_group
from auburnjunction.http.clients import Address
from auburnjunction.http.messages import HttpRequest
from auburnjunction.http.servers import bind_socket

# Loopback address derived from the process ID, so that no other process
# and no outgoing connection occupies its ports.
LOOPBACK_HOST = f"127.{os.getpid() // 250 % 250 + 2}.{os.getpid() % 250}.1"
REQUEST = HttpRequest(b"GET", b"/", [(b"host", b"t")])
RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
LONG_ENOUGH_S = 5.0


class SilentPeer:
    """Answers requests, except on connections that it has severed."""

    def __init__(self):
        self.accepted = 0
        # Connections with a lower number are read, but not answered.
        self.severed = 0
        self.requests = 0
        # Numbers of requests that are answered after LONG_ENOUGH_S.
        self.slow_requests = set()

    def sever(self):
        """Answer nothing further on the connections that are open now."""
        self.severed = self.accepted

    async def serve(self, client):
        number = self.accepted
        self.accepted += 1
        while await client.recv(65536):
            is_slow = self.requests in self.slow_requests
            self.requests += 1
            if is_slow:
                await curio.sleep(LONG_ENOUGH_S)
            if number >= self.severed:
                await client.sendall(RESPONSE)


@asynccontextmanager
async def open_peer(serve_client, pools):
    """Yield the pool of a peer that runs serve_client on each connection."""
    sock = bind_socket(LOOPBACK_HOST, 0)

    async def accept(group):
        while True:
            client, _ = await sock.accept()
            await group.spawn(serve, client)

    async def serve(client):
        async with client:
            await serve_client(client)

    async with sock, open_task_group() as group:
        await group.spawn(accept, group)
        pool = pools.get(Address(LOOPBACK_HOST, sock.getsockname()[1]))
        yield pool
        await pool.close()


@asynccontextmanager
async def open_silent_peer(pools):
    """Yield a SilentPeer and the pool of connections to it."""
    peer = SilentPeer()
    async with open_peer(peer.serve, pools) as pool:
        yield peer, pool
