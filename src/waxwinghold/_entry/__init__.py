"""The entry role: serves callers over HTTP and sends their requests to targets."""
