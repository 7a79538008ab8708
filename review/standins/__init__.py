"""Stand-ins of the review's cases: state service, cloud, workers, users and a proxy, by the protocol's pages.

They need only the standard library and speak to controllers that run as processes of their own.
"""
