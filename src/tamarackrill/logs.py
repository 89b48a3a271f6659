"""Where the log of a process goes, in which form, and how much of it.

A router writes a line for each decision about a request.  In a flood that is thousands
of lines a second, and whoever reads them may be slow or stuck.  Were the router to
write them as they come, its loop would stand still with the reader, and every client
would wait for the log.  So lines go to a bounded buffer, and from there to standard
output only as far as it takes them at once.  What the buffer can't hold is left out and
counted: lines of requests that were served first, those of refused and failed ones
last.
"""

import json
import os
import select
import sys
from collections import Counter, deque
from logging import WARNING, Formatter, Handler, LogRecord

from absl import flags, logging

from tamarackrill import event_log, events

# Lines that wait for the reader: a second of a loaded router, 1,000 lines of 200 bytes.
BUFFER_MAX_BYTES = 256 * 1024
# Lines of one event in a second.  On-call engineers need the first of a flood and how
# many there were; a router of 100 requests a second stays below.
EVENT_LINES_PER_S = 300
# What a pipe that is ready takes without blocking, by POSIX.
WRITE_MAX_BYTES = 4096
# Writes that one flush may do, so that a large buffer doesn't hold the loop up.
WRITES_MAX = 32


class LineBuffer:
    """Lines that wait to be written, bounded by bytes and by lines of one event.

    Parameters
    ----------
    max_bytes : int, optional
        Of all lines together.
    event_lines_per_s : int, optional
        Of one event.
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
        """Take a line, or leave one out and count it."""
        if self.admit(event, now_s):
            self.add(event, line, is_urgent)

    def admit(self, event: str, now_s: float) -> bool:
        """Return whether an event may have a line; one that may not is counted.

        To be asked before the line is made: in a flood most lines are left out, and
        making one is half of its cost.
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
        """Take a line that was admitted; older ones make room for it."""
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
        """Return the next whole lines, at most so many bytes unless one is longer."""
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
        """Return how many lines were left out by event, and begin anew."""
        found = dict(self.dropped)
        self.dropped.clear()
        return found


class BoundedHandler(Handler):
    """Writes log records as lines of JSON to a descriptor, without ever blocking.

    Parameters
    ----------
    fd : int
        Descriptor of standard output.
    """

    def __init__(self, fd: int) -> None:
        super().__init__()
        self.buffer = LineBuffer()
        self._fd = fd
        self._rest = b""

    def emit(self, record: LogRecord) -> None:
        """Take a record."""
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
        """Write what the descriptor takes at once."""
        for _ in range(WRITES_MAX):
            self._rest = self._rest or self.buffer.take(WRITE_MAX_BYTES)
            if not self._rest or not self._is_ready():
                return
            piece = self._rest[:WRITE_MAX_BYTES]
            written = os.write(self._fd, piece)
            self._rest = self._rest[written:]

    def _is_ready(self) -> bool:
        return bool(select.select([], [self._fd], [], 0)[1])

    def report_dropped(self) -> None:
        """Log how many lines were left out since the last time."""
        dropped = self.buffer.take_drop_counts()
        if dropped:
            events.log_event(events.LINES_LEFT_OUT, lines=dropped)


def set_up_bounded_logs() -> BoundedHandler:
    """Send events of every level to standard output; the caller has to flush."""
    flags.FLAGS.mark_as_parsed()
    handler = BoundedHandler(sys.stdout.fileno())
    logger = logging.get_absl_logger()
    for known in list(logger.handlers):
        logger.removeHandler(known)
    logger.addHandler(handler)
    logger.propagate = False
    logging.set_verbosity(logging.INFO)
    return handler


def set_up_logs(log_format: str) -> None:
    """Send events of every level to standard error in the given form."""
    # Our flags are argparse's; absl would warn at the first line that its own have
    # not been parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold(logging.INFO)
    if log_format == "json":
        event_log.use_formatter(event_log.format_json)
        logging.get_absl_handler().setFormatter(Formatter("%(message)s"))
