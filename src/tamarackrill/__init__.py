"""Tamarackrill: a router fleet for very many returning chats."""
