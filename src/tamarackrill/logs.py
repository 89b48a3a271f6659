"""Set up logging: output, format, buffering and rate limits.

A router logs a line for each decision about a request: thousands of lines per second
under overload, while the reader of the log may be slow or blocked.  Blocking writes
would stall the event loop and with it every client.  Lines therefore go to a bounded
buffer, and from there to standard output only as far as it accepts them without
blocking.  When the buffer is full, lines are dropped and counted: routine ones (served
requests) first, warnings and errors (refused and failed requests) last.
"""

import json
import os
import select
import sys
from collections import Counter, deque
from logging import WARNING, Formatter, Handler, LogRecord

from absl import flags, logging

from tamarackrill import event_log, events

# Holds the lines that a loaded router logs per second: 1,000 lines of 200 bytes.
BUFFER_MAX_BYTES = 256 * 1024
# Lines per event and second.  Of a burst, on-call engineers need the first lines and
# the count.  A router at 100 requests per second stays below this limit.
EVENT_LINES_PER_S = 300
# POSIX: a pipe that polls as writable accepts this much without blocking.
WRITE_MAX_BYTES = 4096
# Limit of writes per flush, so that a large buffer doesn't block the event loop.
WRITES_MAX = 32


class LineBuffer:
    """Buffer of log lines, limited in bytes and in lines per event and second.

    Parameters
    ----------
    max_bytes : int, optional
        Maximum size of all lines together.
    event_lines_per_s : int, optional
        Maximum number of lines per event and second.
    """

    def __init__(
        self,
        max_bytes: int = BUFFER_MAX_BYTES,
        event_lines_per_s: int = EVENT_LINES_PER_S,
    ) -> None:
        self.size_bytes = 0
        self.dropped: Counter[str] = Counter()
        self._max_bytes = max_bytes
        self._event_lines_per_s = event_lines_per_s
        self._urgent: deque[tuple[str, bytes]] = deque()
        self._routine: deque[tuple[str, bytes]] = deque()
        self._second = 0
        self._counts: Counter[str] = Counter()

    def offer(self, event: str, line: bytes, is_urgent: bool, now_s: float) -> None:
        """Add a line if its event is within the rate limit, else count a drop."""
        if self.admit(event, now_s):
            self.add(event, line, is_urgent)

    def admit(self, event: str, now_s: float) -> bool:
        """Return whether an event is within its rate limit; count it as dropped if not.

        Call this before formatting the line: in a burst most lines are dropped, and
        formatting is half the cost of a line.
        """
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._counts.clear()
        self._counts[event] += 1
        if self._counts[event] > self._event_lines_per_s:
            self.dropped[event] += 1
            return False
        return True

    def add(self, event: str, line: bytes, is_urgent: bool) -> None:
        """Add an admitted line, dropping older ones if the buffer is full."""
        queue = self._urgent if is_urgent else self._routine
        queue.append((event, line))
        self.size_bytes += len(line)
        while self.size_bytes > self._max_bytes:
            self._drop_one()

    def _drop_one(self) -> None:
        event, line = (self._routine or self._urgent).popleft()
        self.size_bytes -= len(line)
        self.dropped[event] += 1

    def take(self, max_bytes: int) -> bytes:
        """Remove and return whole lines, up to `max_bytes` but at least one line."""
        taken: list[bytes] = []
        size_bytes = 0
        for queue in (self._urgent, self._routine):
            while queue and (not taken or size_bytes + len(queue[0][1]) <= max_bytes):
                line = queue.popleft()[1]
                taken.append(line)
                size_bytes += len(line)
        self.size_bytes -= size_bytes
        return b"".join(taken)

    def take_drop_counts(self) -> dict[str, int]:
        """Return the number of dropped lines by event, and reset the counters."""
        counts = dict(self.dropped)
        self.dropped.clear()
        return counts


class BoundedHandler(Handler):
    """Write log records as lines of JSON to a file descriptor without blocking.

    Parameters
    ----------
    fd : int
        File descriptor to write to.
    """

    def __init__(self, fd: int) -> None:
        super().__init__()
        self.buffer = LineBuffer()
        self._fd = fd
        self._unwritten = b""

    def emit(self, record: LogRecord) -> None:
        """Buffer a record."""
        event = getattr(record, "event", None)
        name = event.name if isinstance(event, events.Event) else "text"
        if not self.buffer.admit(name, record.created):
            return
        fields: dict[str, object] = {"time_s": round(record.created, 4)}
        if isinstance(event, events.Event):
            fields |= {"event": event.number, "name": name}
            fields |= getattr(record, "event_fields", {})
        else:
            fields |= {"level": record.levelname, "text": record.getMessage()}
        line = json.dumps(fields, default=str).encode() + b"\n"
        self.buffer.add(name, line, record.levelno >= WARNING)

    def flush(self) -> None:
        """Write as much as the file descriptor accepts without blocking."""
        for _ in range(WRITES_MAX):
            self._unwritten = self._unwritten or self.buffer.take(WRITE_MAX_BYTES)
            if not self._unwritten or not self._is_ready():
                return
            piece = self._unwritten[:WRITE_MAX_BYTES]
            written = os.write(self._fd, piece)
            self._unwritten = self._unwritten[written:]

    def _is_ready(self) -> bool:
        return bool(select.select([], [self._fd], [], 0)[1])

    def report_dropped(self) -> None:
        """Log how many lines were dropped since the last report."""
        dropped = self.buffer.take_drop_counts()
        if dropped:
            events.log_event(events.LINES_LEFT_OUT, lines=dropped)


def set_up_bounded_logs() -> BoundedHandler:
    """Log all levels to standard output; the caller must flush the handler."""
    flags.FLAGS.mark_as_parsed()
    handler = BoundedHandler(sys.stdout.fileno())
    logger = logging.get_absl_logger()
    for existing in list(logger.handlers):
        logger.removeHandler(existing)
    logger.addHandler(handler)
    logger.propagate = False
    logging.set_verbosity(logging.INFO)
    return handler


def set_up_logs(log_format: str) -> None:
    """Log all levels to standard error in the given format."""
    # Flags are parsed by argparse; absl would warn at the first log line that its own
    # flags have not been parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold(logging.INFO)
    if log_format == "json":
        event_log.use_formatter(event_log.format_json)
        logging.get_absl_handler().setFormatter(Formatter("%(message)s"))
