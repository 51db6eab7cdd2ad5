"""Operator functions: listing nodes and draining backend servers."""

from collections import defaultdict

from google.protobuf.message import DecodeError

from auburnjunction.base.errors import AuburnError, ErrorCode
from auburnjunction.http.clients import Address, PoolRegistry
from auburnjunction.http.errors import HttpError
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.membership.memberships import Membership
from auburnjunction.membership.records import Node
from auburnjunction.model.services import Instance
from auburnjunction.node.endpoints import make_text_response
from auburnjunction.schema import control_pb2 as control
from auburnjunction.schema import operators_pb2 as operators

DRAIN_TIMEOUT_S = 2.0


class AdministrationError(AuburnError):
    """A request of an operator that this node cannot carry out."""


class MeshDirectory:
    """Lists nodes and backend servers from this node's membership view."""

    def __init__(self, membership: Membership):
        self._membership = membership

    def list_records(self) -> list[control.NodeRecord]:
        """Return every known node with its backend servers."""
        instances = defaultdict(list)
        for instance in self._membership.list_instances():
            instances[instance.node].append(encode_instance(instance))
        return [
            encode_node(node, instances[node.node])
            for node in self._membership.list_nodes()
        ]


def encode_node(
    node: Node, instances: list[control.InstanceRecord]
) -> control.NodeRecord:
    """Return the protobuf record of a node and its backend servers."""
    return control.NodeRecord(
        node=node.node,
        data_centre=node.data_centre,
        host=node.address.host,
        peer_port=node.address.port,
        incarnation=node.incarnation,
        version=node.version,
        state=int(node.state),
        instances=instances,
        revision=node.revision,
    )


def encode_instance(instance: Instance) -> control.InstanceRecord:
    """Return the protobuf record of a backend server."""
    return control.InstanceRecord(
        instance=instance.instance,
        service=instance.service,
        state=int(instance.state),
        slots=instance.slots,
        load_percent=instance.load_percent,
        resources=instance.resources,
    )


class MeshDrainer:
    """Drains backend servers, forwarding to the owner node if remote."""

    def __init__(self, membership: Membership, pools: PoolRegistry, node: str):
        self._membership = membership
        self._pools = pools
        self._node = node

    async def drain(
        self, instance: str, drain: bool
    ) -> control.InstanceRecord:
        """Start draining, or end it if drain is False.

        Raise AdministrationError.
        """
        record = self._membership.find_instance(instance)
        if record is None:
            raise AdministrationError(
                f"backend server {instance} is not known; list the known "
                "ones with auburnctl backends",
                ErrorCode.NOT_FOUND,
            )
        if record.node == self._node:
            return self._drain_local(instance, drain)
        return await self._drain_remote(record, drain)

    async def handle_drain(self, request: HttpRequest) -> HttpResponse:
        """Handle POST /drain from another node."""
        try:
            drain_request = operators.DrainRequest.FromString(request.body)
            record = self._drain_local(
                drain_request.instance, drain_request.drain
            )
        except DecodeError as exc:
            return make_text_response(400, f"not a drain request: {exc}")
        except AdministrationError as exc:
            return make_text_response(404, exc.message)
        return HttpResponse(200, [], record.SerializeToString())

    def _drain_local(
        self, instance: str, drain: bool
    ) -> control.InstanceRecord:
        try:
            self._membership.set_draining(instance, drain)
        except KeyError as exc:
            raise AdministrationError(
                f"backend server {instance} has not announced itself here",
                ErrorCode.NOT_FOUND,
            ) from exc
        return encode_instance(self._membership.find_instance(instance))

    async def _drain_remote(
        self, record: Instance, drain: bool
    ) -> control.InstanceRecord:
        drain_request = operators.DrainRequest(
            instance=record.instance, drain=drain
        )
        host = (b"host", record.host.encode())
        request = HttpRequest(
            b"POST", b"/drain", [host], drain_request.SerializeToString()
        )
        address = Address(record.host, record.peer_port)
        try:
            response = await self._pools.get(address).exchange(
                request, DRAIN_TIMEOUT_S
            )
        except HttpError as exc:
            raise AdministrationError(
                f"node {record.node} cannot be reached ({exc}); retry the "
                "drain request",
                ErrorCode.UNAVAILABLE,
            ) from exc
        if response.status != 200:
            raise AdministrationError(
                response.body.decode(errors="replace").strip(),
                ErrorCode.NOT_FOUND,
            )
        return control.InstanceRecord.FromString(response.body)
