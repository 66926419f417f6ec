"""Registry of the gateways, and the datagrams that processes send to each other."""
