"""Handlers of queries, and the whole of the callers' port as an application."""

from tornado.web import Application

from tamarackrill.exceptions import Refusal
from tamarackrill.router.callers import CallHandler
from tamarackrill.router.explaining import Question
from tamarackrill.router.front import Front, Handler


class _QueryHandler(Handler):
    def prepare(self) -> None:
        return None


class HealthHandler(_QueryHandler):
    """Tells that the process runs."""

    def get(self) -> None:
        """Answer at once."""
        self.finish({"health": "ok"})


class ReadinessHandler(_QueryHandler):
    """Tells whether the balancer may send new work."""

    def get(self) -> None:
        """Answer 503 while leaving, without any contract, or with a faulty task."""
        ready = self.front.is_ready()
        self.set_status(200 if ready else 503)
        self.finish({"ready": ready})


class MetricsHandler(_QueryHandler):
    """Metrics as text."""

    def get(self) -> None:
        """Answer with all metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.front.metrics.format_text())


class StatusHandler(_QueryHandler):
    """Status of this router, for queries."""

    def get(self) -> None:
        """Answer with configuration, members, endpoints and work in flight."""
        self.finish(self.front.describe())


class ExplainHandler(_QueryHandler):
    """Where a call would go, for queries."""

    def get(self) -> None:
        """Answer for ``team``, ``chat`` and one of ``model`` and ``service``."""
        arguments = [self.get_argument(name, "") for name in Question._fields]
        try:
            self.finish(self.front.explain(Question(*arguments)))
        except Refusal as refusal:
            self.send_refusal(refusal)


def make_front(front: Front) -> Application:
    """Return the callers' side as a tornado application."""
    bound = {"front": front}
    return Application(
        [
            (r"/v1/chat/completions", CallHandler, bound),
            (r"/services/.+", CallHandler, bound),
            (r"/healthz", HealthHandler, bound),
            (r"/readyz", ReadinessHandler, bound),
            (r"/metrics", MetricsHandler, bound),
            (r"/v1/status", StatusHandler, bound),
            (r"/v1/explain", ExplainHandler, bound),
        ],
        default_handler_class=Handler,
        default_handler_args=bound,
        log_function=lambda handler: None,
    )
