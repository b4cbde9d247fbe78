"""``siskinward key``: issues and withdraws callers' keys."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING
from typing import Any

import attrs
import click

from siskinward.console._edit import publish_edit
from siskinward.console._errors import InvalidInputError
from siskinward.console._exit_codes import EXIT_CODES_HELP
from siskinward.console._output import describe_pointer
from siskinward.console._output import echo_json
from siskinward.console._output import json_option
from siskinward.console._platform import open_publisher
from siskinward.console._platform import platform_option
from siskinward.state.identifiers import AccountName
from siskinward.state.key_table import hash_key
from siskinward.state.objects import Key

if TYPE_CHECKING:
    from siskinward.state.objects import Configuration

KEY_BYTES = 32


@click.group()
def key() -> None:
    """Issue and withdraw callers' keys."""


@key.command(epilog=EXIT_CODES_HELP)
@click.argument("client_account")
@click.option("--name", help="Name of the key; by default the account's name and a number.")
@platform_option
@json_option
def issue(client_account: str, name: str | None, address: tuple[str, int], as_json: bool) -> None:
    """Issue a key to CLIENT_ACCOUNT and print its text, once.

    Only a hash of the key is published, so save the text now. If the outcome is unknown, withdraw
    the key by its name and issue another.
    """
    key_text = secrets.token_urlsafe(KEY_BYTES)
    issued = []

    def add_key(configuration: Configuration) -> Configuration:
        if client_account not in configuration.client_accounts:
            raise InvalidInputError(
                f"there is no client account named {client_account}",
                "Run `siskinward show` for the names.",
            )
        key_name = name or _unused_name(configuration, client_account)
        if key_name in configuration.keys:
            raise InvalidInputError(
                f"a key named {key_name} already exists", "Give another --name."
            )
        added = Key(key_name, AccountName(client_account), hash_key(key_text).hex())
        issued.append(added)
        return attrs.evolve(configuration, keys={**configuration.keys, key_name: added})

    pointer = publish_edit(open_publisher(address), add_key)
    if as_json:
        echo_json({"name": issued[-1].name, "key": key_text, "pointer": pointer})
        return
    click.echo(f"key {issued[-1].name}: {key_text}")
    click.echo(f"published: {describe_pointer(pointer)}")


@key.command(epilog=EXIT_CODES_HELP)
@click.argument("names", nargs=-1)
@click.option("--client-account", help="Withdraw all keys of this client account.")
@platform_option
@json_option
def withdraw(
    names: tuple[str, ...], client_account: str | None, address: tuple[str, int], as_json: bool
) -> None:
    """Withdraw the keys NAMES; callers that are already connected lose access as well."""
    if bool(names) == bool(client_account):
        raise click.UsageError("Give either the names of keys or --client-account.")
    withdrawn: list[str] = []

    def remove_keys(configuration: Configuration) -> Configuration:
        withdrawn.extend(_select(configuration, names, client_account))
        kept = {n: item for n, item in configuration.keys.items() if n not in withdrawn}
        return attrs.evolve(configuration, keys=kept)

    pointer = publish_edit(open_publisher(address), remove_keys)
    if as_json:
        echo_json({"names": withdrawn, "pointer": pointer})
        return
    click.echo(f"withdrawn: {', '.join(withdrawn)}")
    click.echo(f"published: {describe_pointer(pointer)}")


def _select(
    configuration: Configuration, names: tuple[str, ...], client_account: str | None
) -> tuple[str, ...]:
    """Return the names of the keys to withdraw; raises if one does not exist."""
    keys: dict[str, Any] = configuration.keys
    if client_account is not None:
        names = tuple(n for n, item in keys.items() if item.client_account == client_account)
        if not names:
            raise InvalidInputError(
                f"client account {client_account} has no active key",
                "Run `siskinward show` for the names.",
            )
    unknown = [name for name in names if name not in keys]
    if unknown:
        raise InvalidInputError(
            f"there is no key named {', '.join(unknown)}",
            "It may already be withdrawn: see `show`.",
        )
    return names


def _unused_name(configuration: Configuration, client_account: str) -> str:
    number = 1
    while f"{client_account}-{number}" in configuration.keys:
        number += 1
    return f"{client_account}-{number}"
