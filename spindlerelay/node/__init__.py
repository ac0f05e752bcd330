"""The render node: connects front ends, admission controller and backends. It knows no wire protocol."""
