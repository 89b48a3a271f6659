"""Slots of plain services, as routers ask for and grant them."""
