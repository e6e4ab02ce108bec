# Usage: bench/placing-table --plot 20 > build/placing.dat \
#          && gnuplot docs/plots/placing.gp
set terminal svg size 900,420 font "sans,11"
set output "docs/plots/placing.svg"
set multiplot layout 1,2
set style data linespoints
set xlabel "load, 1: half of what the upstreams can do"
set xrange [0.8:3.2]
set key bottom left noenhanced
ways = "'least load and refusing' 'least load' 'better of two' 'bounded hashing' 'hashing' 'random'"
file(way) = sprintf("< grep '^\"%s\" ' build/placing.dat", way)
set ylabel "answered in time, of all requests"
set yrange [0.8:1.01]
plot for [way in ways] file(way) using 2:6 title way
set ylabel "p99 of answers, ms"
set yrange [0:1300]
set key top left
plot for [way in ways] file(way) using 2:4 title way
unset multiplot
