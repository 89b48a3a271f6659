"""The daemon: an application object and the tasks that it owns."""
