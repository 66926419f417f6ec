"""The ``bronzerudder`` command line."""
