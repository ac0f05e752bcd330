"""spindlerelay: an overload controller that lives inside each server of a fleet."""
