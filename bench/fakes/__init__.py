"""Small seeded fakes that the measurements drive the decisions with."""
