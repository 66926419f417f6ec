"""Subcommands; each module registers its own with `bronzerudder.cli.registry.command`."""
