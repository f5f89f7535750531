"""Selection of a route by host and longest path prefix."""

from collections.abc import Iterable

from tanagerport.gateway.domain import Configuration, Customer, Route


class RouteTable:
    """Routes and customers of one configuration, indexed for requests.

    Args:
        configuration: Configuration in force.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._routes_by_host = _index_routes(configuration.routes)
        self._customer_by_key = {
            key: customer
            for customer in configuration.customers
            for key in customer.keys
        }

    @property
    def configuration(self) -> Configuration:
        """The configuration that is indexed."""
        return self._configuration

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route of a request.

        Args:
            host: Value of the `Host` field, with or without a port.
            path: Path without its query.

        Returns:
            The route of that host with the longest prefix of the path; None
            if there is none.
        """
        routes = self._routes_by_host.get(host.partition(":")[0].lower())
        if routes is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def find_customer(self, key: str) -> Customer | None:
        """Returns the customer that holds an API key."""
        return self._customer_by_key.get(key)


def _index_routes(routes: Iterable[Route]) -> dict[str, dict[str, Route]]:
    index: dict[str, dict[str, Route]] = {}
    for route in routes:
        index.setdefault(route.host, {})[route.prefix] = route
    return index
