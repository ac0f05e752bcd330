"""Configuration: the platform's JSON file and the operator's optional TOML file."""
