"""Health, metrics and status handlers, and the application for the callers' port."""

from tornado.web import Application

from tamarackrill.exceptions import Refusal
from tamarackrill.router.callers import CallHandler
from tamarackrill.router.explaining import ExplainQuery
from tamarackrill.router.front import FrontContext, FrontHandler


class _QueryHandler(FrontHandler):
    def prepare(self) -> None:
        return None


class HealthHandler(_QueryHandler):
    """Reports that the process is running."""

    def get(self) -> None:
        """Answer without checking any state."""
        self.finish({"health": "ok"})


class ReadinessHandler(_QueryHandler):
    """Reports whether the load balancer may send new calls to this router."""

    def get(self) -> None:
        """Answer 503 when shutting down, without contracts, or after a task failed."""
        ready = self.front.is_ready()
        self.set_status(200 if ready else 503)
        self.finish({"ready": ready})


class MetricsHandler(_QueryHandler):
    """Metrics in the text format of Prometheus."""

    def get(self) -> None:
        """Answer with all metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.front.metrics.format_text())


class StatusHandler(_QueryHandler):
    """Reports the status of this router."""

    def get(self) -> None:
        """Answer with configuration, members, endpoints and calls in flight."""
        self.finish(self.front.describe())


class ExplainHandler(_QueryHandler):
    """Reports where a call would be routed."""

    def get(self) -> None:
        """Answer for ``team``, ``chat`` and one of ``model`` and ``service``."""
        arguments = [self.get_argument(name, "") for name in ExplainQuery._fields]
        try:
            self.finish(self.front.explain(ExplainQuery(*arguments)))
        except Refusal as refusal:
            self.send_refusal(refusal)


def make_front_application(front: FrontContext) -> Application:
    """Return the tornado application that serves the callers' port."""
    handler_arguments = {"front": front}
    return Application(
        [
            (r"/v1/chat/completions", CallHandler, handler_arguments),
            (r"/services/.+", CallHandler, handler_arguments),
            (r"/healthz", HealthHandler, handler_arguments),
            (r"/readyz", ReadinessHandler, handler_arguments),
            (r"/metrics", MetricsHandler, handler_arguments),
            (r"/v1/status", StatusHandler, handler_arguments),
            (r"/v1/explain", ExplainHandler, handler_arguments),
        ],
        default_handler_class=FrontHandler,
        default_handler_args=handler_arguments,
        log_function=lambda handler: None,
    )
