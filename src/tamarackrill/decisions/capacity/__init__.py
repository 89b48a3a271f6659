"""Decisions about the capacity of plain services; docs/design/capacity-sharing.md."""
