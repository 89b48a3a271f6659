"""Comments of an endpoint that is asked for the rest of a stream."""

import asyncio

import pytest

from tamarackrill.testing.worker import make_chunk, make_stream_head
from test_take_over import WHOLE, fall_silent, play_stream

SILENCE_S = 2.8


def comment_and_close(pieces):
    """Return a behaviour that sends pieces of comments, and breaks off soon."""

    async def act(request, writer):
        writer.write(make_stream_head(request))
        for piece in pieces:
            writer.write(make_chunk(piece))
            await writer.drain()
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        writer.close()

    return act


@pytest.mark.parametrize("pieces", [[b": ping\n"], [b": pi", b"ng\n\n"]])
def test_comment_of_another_endpoint_ends_no_silent_attempt(pieces):
    # Guards against a stream that is cut, though its endpoint goes on, because another
    # one has sent a comment, which is taken for the beginning of an event.
    other = comment_and_close(pieces)
    play = asyncio.run(play_stream(fall_silent(SILENCE_S), other))
    assert play.other_requests
    assert (play.answer.is_whole, play.answer.body) == (True, WHOLE)
