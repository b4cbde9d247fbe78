"""Renders the platform's settings file of an entry VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

FRONT_PORT = 8206
DIRECTORY_PORT = 8209
READINESS_PORT = 8201
STORE_PORT = 8205
PEER_PORT = 7600

SETTINGS_TEMPLATE = """\
node_name = "{name}"
ip = "{host}"
zone = "{domain}"
region = "{region}"
internal_ports = [{first_port}, {last_port}]
seeds = []
bounds = [{bounds}]
[zones]
{domains}
[listen]
front = "{host}:{front}"
ready = "{host}:{readiness}"
directory = "{host}:{directory}"
[platform]
address = "{store_host}:{store}"
"""


def render_settings(
    name: str,
    host: str,
    domain: str,
    domain_regions: Mapping[str, str],
    store_host: str,
    bounds: Sequence[str] = (),
) -> str:
    """Return the text of the settings file of one VM in a failure domain."""
    return SETTINGS_TEMPLATE.format(
        name=name,
        host=host,
        domain=domain,
        region=domain_regions[domain],
        first_port=PEER_PORT,
        last_port=PEER_PORT + 15,
        bounds=", ".join(f'"{bound}"' for bound in bounds),
        domains="\n".join(f'{key} = "{region}"' for key, region in domain_regions.items()),
        front=FRONT_PORT,
        readiness=READINESS_PORT,
        directory=DIRECTORY_PORT,
        store_host=store_host,
        store=STORE_PORT,
    )
