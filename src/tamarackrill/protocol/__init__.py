"""Messages between routers, in Thrift."""
