import asyncio
import socket
import time

from tamarackrill.router.capacity.slot_asks import ASK_TIMEOUT_S, wait_any
from tamarackrill.router.datagrams import PeerSocket


def test_answer_counts_if_the_event_loop_is_blocked_again_and_again():
    # Guards against a healthy allocator that is excluded because the router that asks,
    # on a busy machine, is late several times in a row.
    async def act():
        loop = asyncio.get_running_loop()
        answer = loop.create_future()

        def block(times_left):
            time.sleep(2 * ASK_TIMEOUT_S)
            if times_left:
                loop.call_later(0.0, block, times_left - 1)
            else:
                answer.set_result(None)

        waiting = asyncio.create_task(wait_any([answer], ASK_TIMEOUT_S))
        loop.call_soon(block, 5)
        await waiting
        return answer.done()

    assert asyncio.run(act())


def test_answers_that_arrived_while_the_event_loop_was_blocked_count():
    # Guards against a healthy allocator that is excluded after a pause of the router
    # that asks.
    async def act():
        answers = [asyncio.get_running_loop().create_future() for _ in range(10)]
        peer_socket = PeerSocket()

        def handle(datagram, _):
            answers[int(datagram)].set_result(None)
            return True

        peer_socket.handlers.append(handle)
        host, port = (await peer_socket.start("127.0.0.1", 0)).split(":")
        waits = [asyncio.create_task(wait_any([a], ASK_TIMEOUT_S)) for a in answers]
        await asyncio.sleep(0)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for i in range(len(answers)):
                sender.sendto(b"%d" % i, (host, int(port)))
        time.sleep(2 * ASK_TIMEOUT_S)
        for wait in waits:
            await wait
        seen = [answer.done() for answer in answers]
        peer_socket.stop()
        return seen

    assert all(asyncio.run(act()))
