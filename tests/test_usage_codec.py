import pytest

from tamarackrill.decisions.limits import TeamUsage
from tamarackrill.decisions.usage import DIGEST_OVERHEAD_BYTES, ENTRY_BYTES
from tamarackrill.protocol.usage_codec import UsageMessage, decode_usage, encode_usage

UDP_BYTES = 28
KEYS = ("a key", "an older key")
# Names of the maximum length that the size estimate covers; values of the largest team
# that the design assumes.
ENTRY = TeamUsage("t" * 24, "other_routers", "r" * 12, 6500.0, 2.8e6, 9999, 6500.0)
MESSAGE = UsageMessage("s" * 12, 1 << 60, (ENTRY,))


@pytest.mark.parametrize("count", [1, 10])
def test_decoding_restores_message_and_size_is_within_estimate(count):
    message = MESSAGE._replace(usages=(ENTRY,) * count)
    datagram = encode_usage(message, KEYS)
    assert decode_usage(datagram, KEYS[::-1]) == message
    assert len(datagram) + UDP_BYTES <= DIGEST_OVERHEAD_BYTES + count * ENTRY_BYTES


def test_forged_or_truncated_datagram_is_rejected():
    # Otherwise anyone who can send a datagram could make all routers refuse a team's
    # requests, or end the task that reads the socket.
    datagram = encode_usage(MESSAGE, ("a stranger's key",))
    assert decode_usage(datagram, KEYS) is None
    signed = encode_usage(MESSAGE, KEYS)
    for length in range(len(signed)):
        assert decode_usage(signed[:length], KEYS) is None
