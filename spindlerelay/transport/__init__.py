"""Event loop, timers, connections and clocks: the only package that uses sockets or reads the clock."""
