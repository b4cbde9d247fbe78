"""Look-up of routes and client accounts in one configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from siskinward.state.identifiers import AccountName
    from siskinward.state.serving._objects import AccountPolicy
    from siskinward.state.serving._objects import ServedRoute
    from siskinward.state.serving._objects import ServingConfiguration


class ServingIndex:
    """Finds the route of a request and the client account of a key."""

    def __init__(self, configuration: ServingConfiguration) -> None:
        self.configuration = configuration
        self._routes: dict[str, list[ServedRoute]] = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host, []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self._accounts_by_key = {
            key: account for account in configuration.accounts for key in account.keys
        }
        self._accounts = {account.name: account for account in configuration.accounts}

    def route_of(self, host: str, target: str) -> ServedRoute | None:
        """Return the host's route with the longest path prefix that matches the request."""
        path = target.partition("?")[0]
        routes = self._routes.get(host.partition(":")[0].lower(), ())
        return next((route for route in routes if path.startswith(route.path_prefix)), None)

    def account_of_key(self, key: str) -> AccountPolicy | None:
        """Return the client account that a key belongs to, or None for an unknown key."""
        return self._accounts_by_key.get(key)

    def account(self, name: AccountName) -> AccountPolicy | None:
        """Return a client account by its name."""
        return self._accounts.get(name)

    @property
    def has_accounts(self) -> bool:
        """Whether any client account exists; without one, requests need no key."""
        return bool(self._accounts)
