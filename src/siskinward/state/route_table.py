"""Finds the route of a request: the longest path prefix that allows its method."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from siskinward.state.objects import Configuration
    from siskinward.state.objects import Route


class RouteTable:
    """Routes of one configuration, longest prefix first."""

    def __init__(self, configuration: Configuration) -> None:
        routes = configuration.routes.values()
        self._routes = sorted(routes, key=lambda route: len(route.path_prefix), reverse=True)

    def match(self, method: str, path: str) -> Route | None:
        """Return the route for a method and path. A prefix ends at a slash or at the path's end."""
        for route in self._routes:
            if method in route.methods and _has_prefix(path, route.path_prefix):
                return route
        return None


def _has_prefix(path: str, prefix: str) -> bool:
    if not path.startswith(prefix):
        return False
    return len(path) == len(prefix) or prefix.endswith("/") or path[len(prefix)] == "/"
