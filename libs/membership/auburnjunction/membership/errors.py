"""Errors of membership."""

from auburnjunction.base.errors import AuburnError, ErrorCode


class MembershipError(AuburnError):
    """Base of the errors of membership."""

    code = ErrorCode.UNAVAILABLE


class PeerUnreachableError(MembershipError):
    """A peer gave no usable response, or its request is invalid."""


class UnknownInstanceError(MembershipError, KeyError):
    """A backend server has no lease on this node."""

    code = ErrorCode.NOT_FOUND
