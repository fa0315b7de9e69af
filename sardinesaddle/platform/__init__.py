"""The adapter to the platform: its names, formats and HTTP calls, without decisions."""
