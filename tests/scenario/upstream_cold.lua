-- A new upstream is ten times slower at first. Slow start gives it few requests
-- during that time, and the load is even afterwards.
deployment{manifest = "examples/hou.json", zones = "abcd"}
drain("berthdesk-02")
run(2)
usual_traffic("berthdesk", 30, 30)
run(4)
host("^berthdesk-02$", {cold_s = 4, cold_factor = 10})
activate("berthdesk-02")
run(14)
begin_window()
run(12)
local imbalance = stats("berthdesk").imbalance
must_hold()
expect("imbalance", imbalance <= 1.25, imbalance)
