-- Packets are lost, duplicated and reordered on every link.
deployment{manifest = "examples/ga-central.json", zones = "aabbc"}
network{loss = 0.03, duplicate = 0.05, reorder = 0.1}
usual_traffic("fieldline", 30, 30, {deadline_ms = 8000})
usual_traffic("certvault", 8, 30, {deadline_ms = 8000})
run(30)
network{loss = 0, duplicate = 0, reorder = 0}
must_hold()
