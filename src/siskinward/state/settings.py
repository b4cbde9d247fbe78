"""Settings of one process, read from INI and checked in the same way as operator objects."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

import attrs
from attrs import field
from attrs import frozen
from expression import Error
from expression import Ok
from expression import Result

from siskinward.state.constraints import Endpoint
from siskinward.state.constraints import Host
from siskinward.state.constraints import Port
from siskinward.state.constraints import PositiveFloat
from siskinward.state.constraints import PositiveInt
from siskinward.state.constraints import Printable
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import VmName
from siskinward.state.ini import ConfigurationError
from siskinward.state.ini import ConfigurationErrors
from siskinward.state.ini import decode_section
from siskinward.state.ini import field_specs
from siskinward.state.ini import read_ini
from siskinward.state.ini import read_text

if TYPE_CHECKING:
    from pathlib import Path


class LogLevel(Enum):
    """Minimum severity of the messages that are logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@frozen
class VmSettings:
    """Section ``[node]``: identity and addresses; ``/metrics`` is served on the front port."""

    vm: VmName
    failure_domain: DomainName
    host: Host
    front_port: Port
    peer_port: Port


@frozen
class PlatformSettings:
    """Section ``[platform]``: address of the platform's services.

    ``failure_domains`` are those next to the platform. A VM that can reach neither the platform nor
    any of these failure domains considers itself isolated, not the platform down.
    """

    host: Host
    port: Port
    timeout_s: PositiveFloat = 1.0
    failure_domains: tuple[DomainName, ...] = ()


@frozen
class PeerSettings:
    """Section ``[peers]``: how VMs authenticate one another.

    ``seeds`` are addresses of peers that a VM requests the configuration from while the platform is
    down. TLS is used when all three paths are set.
    """

    shared_secret: Printable = field(repr=False)
    seeds: tuple[Endpoint, ...] = ()
    tls_certificate_path: Printable | None = None
    tls_key_path: Printable | None = None
    tls_ca_path: Printable | None = None


@frozen
class LogSettings:
    """Section ``[log]``: standard error is used when no path is set."""

    level: LogLevel = LogLevel.INFO
    path: Printable | None = None


@frozen
class LimitSettings:
    """Section ``[limits]``: bounds on the resources that one caller can make the process hold."""

    header_bytes: PositiveInt = 16_384
    body_bytes: PositiveInt = 1_048_576
    answer_bytes: PositiveInt = 8_388_608
    message_bytes: PositiveInt = 16_777_216
    connections: PositiveInt = 1_024
    idle_timeout_s: PositiveFloat = 60.0
    request_timeout_s: PositiveFloat = 10.0
    shutdown_timeout_s: PositiveFloat = 30.0
    look_up_ttl_s: PositiveFloat = 5.0


@frozen
class NodeSettings:
    """Settings of an entry VM's process; each field is a section."""

    node: VmSettings
    platform: PlatformSettings
    peers: PeerSettings
    log: LogSettings = field(factory=LogSettings)
    limits: LimitSettings = field(factory=LimitSettings)


SettingsResult = Result[NodeSettings, ConfigurationErrors]


def load_settings(path: str | Path) -> SettingsResult:
    """Read and check a settings file."""
    return read_text(path).bind(lambda text: parse_settings(text, str(path)))


def parse_settings(text: str, file: str) -> SettingsResult:
    """Parse and check ``text``; the error side holds all errors."""
    ini = read_ini(text, file)
    errors = list(ini.errors)
    specs = {spec.name: spec for spec in field_specs(NodeSettings)}
    decoded: dict[str, Any] = {}
    found = {section.header: section for section in ini.sections}
    for header, section in found.items():
        spec = specs.get(header)
        if spec is None:
            allowed = f"sections: {', '.join(specs)}"
            errors.append(ConfigurationError(file, header, "", header, allowed))
            continue
        decoded_section = decode_section(section, field_specs(spec.value_type), file)
        errors.extend(decoded_section.errors)
        if not decoded_section.errors:
            decoded[header] = spec.value_type(**decoded_section.values)
    for spec in specs.values():
        if spec.is_required and spec.name not in found:
            errors.append(
                ConfigurationError(file, spec.name, "", "", "the section, which is required")
            )
    errors.extend(_check_consistency(decoded, file))
    if errors:
        return Error(ConfigurationErrors(tuple(errors)))
    return Ok(NodeSettings(**decoded))


def _check_consistency(decoded: dict[str, Any], file: str) -> list[ConfigurationError]:
    errors = []
    node = decoded.get("node")
    if node is not None and node.front_port == node.peer_port:
        value = str(node.peer_port)
        allowed = "another port than front_port"
        errors.append(ConfigurationError(file, "node", "peer_port", value, allowed))
    peers = decoded.get("peers")
    if peers is not None:
        errors.extend(_check_tls(peers, file))
    return errors


def _check_tls(peers: PeerSettings, file: str) -> list[ConfigurationError]:
    names = ("tls_certificate_path", "tls_key_path", "tls_ca_path")
    values = attrs.asdict(peers)
    missing = [name for name in names if values[name] is None]
    if len(missing) in (0, len(names)):
        return []
    allowed = f"all of {', '.join(names)} or none"
    return [ConfigurationError(file, "peers", name, "", allowed) for name in missing]
