"""The gateway: an HTTP load balancer that connects directly to targets."""
