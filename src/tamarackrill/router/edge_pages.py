"""Readiness and metrics pages of a router on the platform."""

from collections.abc import Callable

from tornado.web import Application, RequestHandler

from tamarackrill.router.metrics import Metrics


def make_readiness_page(is_ready: Callable[[], bool]) -> Application:
    """Return the readiness page: 200 if the balancer may send new connections."""
    handler = ("/readiness", _ReadinessHandler, {"is_ready": is_ready})
    return make_silent(Application([handler]))


def make_metrics_page(metrics: Metrics) -> Application:
    """Return the metrics page for scrapers, in the Prometheus text format."""
    handler = ("/metrics", _MetricsHandler, {"metrics": metrics})
    return make_silent(Application([handler]))


def make_silent(application: Application) -> Application:
    """Return an application that logs no line for each request."""
    application.settings["log_function"] = lambda handler: None
    return application


class _ReadinessHandler(RequestHandler):
    def initialize(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def get(self) -> None:
        self.set_status(200 if self._is_ready() else 503)
        self.finish()


class _MetricsHandler(RequestHandler):
    def initialize(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self._metrics.format_text())
