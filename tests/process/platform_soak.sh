#!/bin/sh
# One seed of the soak test: callers' jobs end as expected and no task runs
# twice while entries are killed, stopped, paused and restarted, the store has
# faults, and workers are unreachable.
SEED=6 JOBS=60 exec sh "$(dirname "$0")/../../mk/soak.sh"
