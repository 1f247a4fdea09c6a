# Draw the runs of a replay, run by hand:
#	lagoonreplay --csv TRACE >runs.csv
#	gnuplot -e "csv='runs.csv'" docs/policy.gp >policy.svg
set terminal svg size 900,400
set datafile separator ","
set multiplot layout 1,2 title "One point a run"
set key outside bottom maxrows 3
set xlabel "useful work, core hours"
set ylabel "p99 of calls, ms"
policies = "lagoonpin round-robin least-loaded declared declared-x4 least-loaded-unprotected"
plot for [p in policies] csv using 6:(strcol(2) eq p ? $5 : NaN) \
    with points pointtype 7 title p
set ylabel "evictions"
plot for [p in policies] csv using 6:(strcol(2) eq p ? $8 : NaN) \
    with points pointtype 7 title p
unset multiplot
