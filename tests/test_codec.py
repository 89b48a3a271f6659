import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackrill.decisions import members
from tamarackrill.decisions.configuration import ConfigurationDigest
from tamarackrill.decisions.loads import EndpointLoad
from tamarackrill.decisions.views import BUCKET_COUNT
from tamarackrill.protocol.codec import (
    InvalidMessage,
    decode_gossip,
    encode_gossip,
    sign,
)

UDP_AND_IP_BYTES = 28
OLD, NEW, OTHER = "old key", "new key", "another fleet's key"

hashes = st.integers(0, 2**64 - 1)
numbers = st.integers(0, 2**53)
small = st.integers(0, 2**31 - 1)
names = st.text(min_size=1, max_size=24)
texts = st.text(max_size=24)


def build(cls, **fields):
    return st.builds(cls, **fields)


records = build(
    members.MemberRecord,
    name=names,
    incarnation=numbers,
    state=st.sampled_from(members.MemberState),
    zone=texts,
    address=texts,
    peer_address=texts,
)
digests = build(
    ConfigurationDigest,
    kind=st.just("contract"),
    newest=numbers,
    complete=numbers,
    era=small,
).flatmap(lambda digest: hashes.map(lambda value: digest._replace(content=value)))
crashes = build(
    members.CrashCount,
    fingerprint=hashes,
    crashes=st.integers(0, 100),
    late_crashes=st.integers(0, 100),
)
loads = build(EndpointLoad, endpoint=names, in_flight=small)
messages = build(
    members.Gossip,
    sender=names,
    session=numbers,
    sequence=numbers,
    purpose=st.sampled_from(members.Purpose),
    members=st.lists(records, min_size=1, max_size=3).map(tuple),
    page=st.lists(records, max_size=3).map(tuple),
    view=hashes,
    known=small,
    after=texts,
    buckets=st.sampled_from([b"", bytes(range(BUCKET_COUNT))]),
    configuration=st.lists(digests, max_size=2).map(tuple),
    entries=build(
        members.PiggybackedEntries,
        crashes=st.lists(crashes, max_size=3).map(tuple),
        loads=st.lists(loads, max_size=3).map(tuple),
    ),
)


@given(messages)
def test_message_comes_back_and_weighs_no_more_than_estimated(message):
    datagram = encode_gossip(message, (NEW,))
    assert decode_gossip(datagram, (NEW,)) == message
    chosen, entries_bytes = members.choose_entries(message.entries, 1 << 20)
    assert chosen == message.entries
    estimate = members.estimate_base_bytes(
        message.sender, message.after, message.buckets, len(message.configuration)
    )
    listed = message.members + message.page
    estimate += sum(members.estimate_record_bytes(record) for record in listed)
    assert len(datagram) + UDP_AND_IP_BYTES <= estimate + entries_bytes


@given(message=messages, signing=st.sampled_from([OLD, NEW]))
def test_both_keys_are_taken_during_a_change(message, signing):
    # An operator rotates the peer key router by router.  If only one key were accepted,
    # routers with the new key and those with the old key would consider each other
    # dead.
    datagram = encode_gossip(message, (signing,))
    assert decode_gossip(datagram, (NEW, OLD)) == message
    with pytest.raises(InvalidMessage, match="stranger"):
        decode_gossip(datagram, (OTHER,))


@given(datagram=st.binary(max_size=200), signed=st.booleans())
def test_bytes_of_any_kind_raise_nothing_else(datagram, signed):
    # Anyone can send arbitrary bytes to the port, and a peer of another release can
    # sign a message that this one can't decode.  An unexpected exception would end the
    # task that reads the socket, and the other routers would consider this one dead.
    if signed:
        datagram = sign(b"gossip\0" + datagram, NEW) + datagram
    with pytest.raises(InvalidMessage, match="malformed" if signed else "stranger"):
        decode_gossip(datagram, (NEW,))


@given(messages, st.data())
def test_changed_byte_is_a_strangers(message, data):
    # An attacker on the network modifies a message in transit, for example the state of
    # a router to dead.
    datagram = bytearray(encode_gossip(message, (NEW,)))
    place = data.draw(st.integers(0, len(datagram) - 1))
    datagram[place] ^= data.draw(st.integers(1, 255))
    with pytest.raises(InvalidMessage, match="stranger"):
        decode_gossip(bytes(datagram), (NEW, OLD))
