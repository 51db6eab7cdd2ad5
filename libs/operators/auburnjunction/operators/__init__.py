"""The gRPC administration service and its client."""
