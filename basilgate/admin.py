"""Admin interface of a balancer over HTTP: metrics, health, and JSON queries."""

import collections.abc
import ssl
import typing

import aioprometheus.renderer
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing
import uvicorn

from basilgate import metrics

# Takes the query parameters of a URL and returns the JSON object to answer with.
Query = collections.abc.Callable[[dict[str, str]], dict[str, typing.Any]]


def application(
    queries: collections.abc.Mapping[str, Query],
    health: collections.abc.Callable[[], dict[str, typing.Any]],
    refresh: collections.abc.Callable[[], None],
) -> starlette.applications.Starlette:
    """Return the ASGI application with the routes of the admin interface.

    Parameters
    ----------
    queries : mapping
        Functions by name; ``GET /<name>`` calls the function.
    health : callable
        Returns the answer of `/health`, which has status 200 if ``healthy`` in it is
        true and 503 otherwise.
    refresh : callable
        Updates the gauges before `/metrics` is answered.
    """

    async def serve_metrics(
        request: starlette.requests.Request,
    ) -> starlette.responses.Response:
        refresh()
        accepts = request.headers.getlist("accept")
        content, headers = aioprometheus.renderer.render(metrics.REGISTRY, accepts)
        return starlette.responses.Response(content, headers=headers)

    async def serve_health(
        request: starlette.requests.Request,
    ) -> starlette.responses.Response:
        del request
        answer = health()
        return starlette.responses.JSONResponse(
            answer, status_code=200 if answer["healthy"] else 503
        )

    def endpoint(query: Query) -> typing.Any:
        async def serve(
            request: starlette.requests.Request,
        ) -> starlette.responses.Response:
            return starlette.responses.JSONResponse(query(dict(request.query_params)))

        return serve

    routes = [
        starlette.routing.Route("/metrics", serve_metrics),
        starlette.routing.Route("/health", serve_health),
    ]
    routes += [
        starlette.routing.Route(f"/{name}", endpoint(query))
        for name, query in queries.items()
    ]
    return starlette.applications.Starlette(routes=routes)


class Server(uvicorn.Server):
    """Server that does not replace the process's signal handlers."""

    def capture_signals(self) -> typing.Any:
        """Install no signal handlers: the balancer handles signals itself."""
        import contextlib

        return contextlib.nullcontext()


async def serve(
    app: starlette.applications.Starlette,
    address: tuple[str, int],
    context: ssl.SSLContext | None = None,
) -> None:
    """Serve the application until cancelled.

    Parameters
    ----------
    app : starlette.applications.Starlette
        Application to serve.
    address : (str, int)
        Host and port to listen on.
    context : ssl.SSLContext or None
        Context of TLS connections; None serves plain HTTP.
    """
    config = uvicorn.Config(
        app,
        host=address[0],
        port=address[1],
        log_config=None,
        access_log=False,
        lifespan="off",
    )
    # Sets the context here, as uvicorn would build its own from the certificate files,
    # without the hook that counts refused peers.
    config.load()
    config.ssl = context
    await Server(config).serve()
