# Usage: bench/scheduling-table --plot bench/results/scheduling.json \
#          > build/scheduling.dat && gnuplot docs/plots/scheduling.gp
set terminal svg size 900,420 font "sans,11"
set output "docs/plots/scheduling.svg"
set style data histograms
set style histogram clustered gap 1
set style fill solid 0.8 border -1
set ylabel "busiest upstream over mean"
set yrange [1:1.25]
set xtics rotate by -20 noenhanced
set key top left
target(x) = 1.1
data = "< grep imbalance build/scheduling.dat"
plot data using 3:xtic(strcol(1)." ".strcol(2)[11:]) title "one scheduler", \
     "" using 4 title "two choices", \
     "" using 5 title "consistent hashing", \
     "" using 6 title "round robin", \
     target(x) title "target, steady" lc rgb "black"
