"""Stand-ins of the review's second part: state service, cloud, workers and users. Standard library only."""
