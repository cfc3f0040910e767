"""HTTP interface of a balancer: metrics, health, status, and explanations."""

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

Query = collections.abc.Callable[[dict[str, str]], dict[str, typing.Any]]


def application(
    queries: collections.abc.Mapping[str, Query],
    health: collections.abc.Callable[[], dict[str, typing.Any]],
    refresh: collections.abc.Callable[[], None],
) -> starlette.applications.Starlette:
    """Return the application.

    Parameters
    ----------
    queries : mapping
        Functions that answer ``GET /<name>`` from its query parameters.
    health : callable
        Returns the answer of `/health`; its status is 200 if ``healthy`` is true
        and 503 otherwise.
    refresh : callable
        Brings the gauges up to date before `/metrics` answers.
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
    """Server that leaves the process's signal handlers alone."""

    def capture_signals(self) -> typing.Any:
        """Do nothing: the balancer handles signals itself."""
        import contextlib

        return contextlib.nullcontext()


async def serve(
    app: starlette.applications.Starlette,
    address: tuple[str, int],
    context: ssl.SSLContext | None = None,
) -> None:
    """Serve the application until cancelled, with TLS if there is a context."""
    config = uvicorn.Config(
        app,
        host=address[0],
        port=address[1],
        log_config=None,
        access_log=False,
        lifespan="off",
    )
    # uvicorn would load the files once more, without a hook for refused peers.
    config.load()
    config.ssl = context
    await Server(config).serve()
