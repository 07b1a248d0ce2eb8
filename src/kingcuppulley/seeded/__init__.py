"""Run the processes of a deployment whose hosts find each other from seeds."""
