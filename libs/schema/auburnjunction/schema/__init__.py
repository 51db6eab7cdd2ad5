"""Generated protobuf messages and gRPC stubs."""
