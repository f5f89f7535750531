"""Stand-ins for clients, workers, the store and the balancer.

They need only the standard library. They don't share code with the project, so
that a fault in its HTTP code shows.
"""
