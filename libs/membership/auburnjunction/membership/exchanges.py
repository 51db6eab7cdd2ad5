"""Exchange of protobuf messages between nodes over HTTP."""

from absl import logging
from google.protobuf.message import DecodeError, Message

from auburnjunction.http.clients import Address, PoolRegistry
from auburnjunction.http.errors import HttpError
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.membership.errors import PeerUnreachableError
from auburnjunction.membership.records import Node, decode_record
from auburnjunction.model.snapshots import RevisionMark
from auburnjunction.schema import control_pb2 as pb


def decode_records(messages) -> list[Node]:
    """Decode records; skip invalid ones with a warning."""
    records = []
    for message in messages:
        try:
            records.append(decode_record(message))
        except ValueError as exc:
            logging.warning("skipping an invalid gossip record: %s", exc)
    return records


def encode_mark(mark: RevisionMark) -> pb.RevisionMark:
    """Encode a revision mark as a protobuf message."""
    return pb.RevisionMark(revision=mark.revision, digest=mark.digest)


def decode_mark(message: pb.RevisionMark) -> RevisionMark:
    """Decode a revision mark from a protobuf message."""
    return RevisionMark(message.revision, message.digest)


async def post(
    pools: PoolRegistry,
    address: Address,
    target: bytes,
    body: bytes,
    timeout_s: float,
    max_idle_s: float | None = None,
) -> bytes:
    """Post a body to a node and return the body of its response.

    Raise PeerUnreachableError unless the response has status 200.
    """
    headers = [(b"host", str(address).encode())]
    request = HttpRequest(b"POST", target, headers, body)
    try:
        pool = pools.get(address)
        response = await pool.exchange(request, timeout_s, max_idle_s)
    except HttpError as exc:
        raise PeerUnreachableError(f"{address}: {exc.message}") from exc
    if response.status != 200:
        raise PeerUnreachableError(f"{address}: status {response.status}")
    return response.body


def parse_message(message_class, body: bytes):
    """Parse a protobuf message; raise PeerUnreachableError if invalid."""
    try:
        return message_class.FromString(body)
    except DecodeError as exc:
        raise PeerUnreachableError(f"not a message: {exc}") from exc


def make_response(message: Message) -> HttpResponse:
    """Return a response with a message as its body."""
    return HttpResponse(200, [], message.SerializeToString())
