"""Tests with crowds of callers that keep to no limit; run one at a time, apart from other load."""
