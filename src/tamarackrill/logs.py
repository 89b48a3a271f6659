"""Where the log of a process goes, and in which form."""

from logging import Formatter

from absl import flags, logging

from tamarackrill import events


def set_up_logs(log_format: str) -> None:
    """Send events of every level to standard error in the given form."""
    # Our flags are argparse's; absl would warn at the first line that its own have
    # not been parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold(logging.INFO)
    if log_format == "json":
        events.use_formatter(events.format_json)
        logging.get_absl_handler().setFormatter(Formatter("%(message)s"))
