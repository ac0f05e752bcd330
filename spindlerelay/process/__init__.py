"""The render node as a process: configuration, signals, logging and optional features."""
