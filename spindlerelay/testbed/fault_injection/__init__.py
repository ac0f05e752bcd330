"""Fault injection for real processes: fault schedules, and socket proxies that carry out link faults."""
