#!/bin/sh
# One seed of the soak: callers' jobs end as wanted and no task runs twice
# while entries are killed, stopped, paused and started again, the store has
# faults, and workers are cut off.
SEED=6 JOBS=60 exec sh "$(dirname "$0")/../../mk/soak.sh"
