"""How the system's processes find each other, and the short messages between them."""
