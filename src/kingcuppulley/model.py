"""Define what operators configure: templates, client accounts, zones and services."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Protocol(StrEnum):
    """Name the transport protocol between callers and a service."""

    TCP = "tcp"
    UDP = "udp"


class Tier(StrEnum):
    """Name the layer at which an entry host balances a service.

    Packets are forwarded by flow; requests are read and distributed one by one.
    """

    PACKETS = "packets"
    REQUESTS = "requests"


class ParameterKind(StrEnum):
    """Name the type of a template parameter's value."""

    TEXT = "text"
    INTEGER = "integer"
    ADDRESS = "address"
    ZONES = "zones"


ParameterValue = str | int | list[str]


class Parameter(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Describe one parameter of a template.

    `minimum` and `maximum` apply only to a parameter of the kind `INTEGER`.
    """

    name: str
    kind: ParameterKind
    default: ParameterValue | None = None
    minimum: int | None = None
    maximum: int | None = None


class ServicePattern(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Describe one service of a template; `${name}` stands for a parameter's value."""

    name: str
    address: str
    port: int | str
    protocol: Protocol
    tier: Tier
    zones: list[str] | str
    slots: int | str = 2
    cold_slots: int | str = 1
    cold_seconds: int | str = 10
    connections: int | str = 2000


class Template(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Describe services with parameters that client accounts fill in."""

    name: str
    parameters: list[Parameter] = []
    services: list[ServicePattern] = []


class ClientAccount(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Fill in a template's parameters for one client account.

    `announcement_token_hash` is the SHA-256, in hexadecimal, of the token with which
    the account's backend servers announce themselves.
    """

    name: str
    template: str
    announcement_token_hash: str
    parameters: dict[str, ParameterValue] = {}


class Zone(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Record whether an availability zone is in service."""

    name: str
    in_service: bool


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one service of a client account, with all parameters filled in.

    Attributes
    ----------
    slots : int
        Requests that one warm backend server can serve concurrently.
    cold_slots : int
        Requests that one backend server can serve concurrently in a cold start.
    cold_seconds : int
        Maximum duration of a cold start in seconds.
    connections : int
        Connections or flows that one backend server can serve concurrently.
    """

    account: str
    name: str
    address: str
    port: int
    protocol: Protocol
    tier: Tier
    zones: tuple[str, ...]
    slots: int
    cold_slots: int
    cold_seconds: int
    connections: int
    announcement_token_hash: str

    @property
    def identity(self) -> str:
        """Return the name that is unique among all client accounts."""
        return f"{self.account}/{self.name}"
