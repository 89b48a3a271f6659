"""Encoding of the messages between routers, in Thrift's compact protocol."""
