"""HTTP/1.1 servers, clients and connection pools on curio and h11."""
