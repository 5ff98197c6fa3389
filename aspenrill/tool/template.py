"""The text of the file that the command `write` creates."""

TEMPLATE = """\
# Configuration of one application's sidecar. Times are milliseconds unless a name says otherwise.
name = "@NAME@"
enabled = true                 # false: the front does not listen
listen = "@LISTEN@"            # where the application's TDS clients connect
answer_bytes = 1048576         # a request with a larger result fails
domain = "local"               # domain of the application's own DNS-SD records
host = ""                      # host of those records; empty: NAME.DOMAIN

# Classes of requests. aspenrill schedules requests by these values.
[[class]]
name = "lookup"
wanted_ms = 1000               # an answer within this time is worth the full `worth`
give_up_ms = 5000              # the longest time that a client waits
effect = "repeatable"          # repeatable (safe to run twice), by_key (with a key), once (never twice)
worth = 1.0
late_worth = 0.1               # share of the worth that an answer after wanted_ms has
stretch = 1.5                  # added to wanted_ms: this times work / threads
threads = 1                    # threads that a request uses at an engine

[[class]]
name = "report"
wanted_ms = 1500
give_up_ms = 20000
effect = "repeatable"
worth = 8.0
late_worth = 0.3
stretch = 2.5
threads = 2

[[class]]
name = "booking"
wanted_ms = 3000
give_up_ms = 25000
effect = "by_key"              # engines drop a repeated key ...
repeat_window_ms = 15000       # ... within this time
worth = 12.0
late_worth = 0.5
stretch = 3.0
threads = 2
load = true                    # locks its table group while it runs

# Tenants that share the engines; per_s is a tenant's quota in requests per second.
[[tenant]]
name = "main"
per_s = 100.0

# Class and tenant of a login under an application name. The first matching entry counts; "*" matches any.
[[login]]
user = "clerk"
app = "settle"
class = "report"
tenant = "main"
timeout_ms = 20000             # how long its clients wait for an answer

[[login]]
user = "scanner"
app = "*"
class = "booking"
tenant = "main"
timeout_ms = 25000
key = "comment"                # the idempotency key: "comment" reads it from /* key: ... */ in the
                               # statement, "batch" derives it from login, application and statement

[[login]]
user = "*"
app = "*"
class = "lookup"
tenant = "main"
timeout_ms = 5000

[engines]
user = "aspenrill"             # the login used at engines
app = "aspenrill"
idle_s = 30                    # engines close a connection after this idle time
connect_ms = 250

[[engines.kind]]
name = "eight-core"
cores = 8
memory_mb = 16384

# Sources of the list of engines. The lists are merged; one address and port is one engine. An engine gets
# requests while at least one source lists it as live and none as draining. A failing source keeps its last
# list. Kind, zone and start time come from the first source that lists the engine.
[[source]]
name = "file"
type = "list"                  # list, dns-sd or srv
tier = 0                       # if SRV priorities are used: the priority of this list

[[source.engine]]
name = "engine-1"
address = "127.0.0.1:14331"    # or "[::1]:14331"
kind = "eight-core"
state = "live"                 # draining: it finishes its requests and gets no new ones

# [[source]]
# name = "records"
# type = "srv"                 # dns-sd: instances of a service type; TXT records have kind, zone and state
# service = "_tds._tcp.engines.example"
# resolver = "main"
# kind = "eight-core"          # SRV records have no kind
# family = "ipv4-first"        # ipv4, ipv6, ipv4-first, ipv6-first
# shrink = 0.5                 # a list that loses more than this share at once is queried again to confirm

# [[resolver]]
# name = "main"
# servers = ["127.0.0.1:53"]   # queried in this order; a failing one is skipped for a growing time
# question_ms = 1000           # time-out of one query
# lookup_ms = 5000             # time-out of a look-up with all its queries
# least_ttl_s = 1              # lifetimes of records are limited to this range
# most_ttl_s = 3600
# negative_ttl_s = 300         # the longest time that a negative answer is cached
# stale_s = 86400              # how long the last answer is used while look-ups fail

# [addresses]                  # networks of engines; needs the package netaddr
# allow = ["10.0.0.0/8", "fd00::/8"]
# deny = []

# [membership]
# restart_ms = 1000            # an engine that was absent this long may have restarted: it is cold
# confirm_ms = 2000            # until a list that shrank by more than shrink is queried again
# flaps = 3                    # this number of returns within ...
# flap_window_s = 10           # ... suspends an engine
# hold_s = 5                   # for this time, doubled each time
# hold_most_s = 300
# calm_s = 60                  # after this time without a return the count is reset
# handover_s = 30              # how long a removed source still counts while new ones start

# [tiers]                      # by SRV priority: a tier is used only when those above lack engines
# lack = 0.5                   # it opens below this share of the first tier
# full = 0.75                  # and adds engines up to this share
# least = 1                    # engines that the first tier must have at least
# step_ms = 1000               # between two engines that are added or removed
# settle_s = 15                # how long the tiers above must be full before it closes

# Limits that protect engines, in particular after a start.
[rules]
front_ends = 1                 # number of sidecars that share the engines
front_end = 1                  # number of this one, from 1
most_attempts = 3              # for each request
start_capacity = 0.3           # share of its capacity that a cold engine has
cold_ms = 12000                # an engine is warm after this time
fall_multiple = 2.5            # an engine fails when sent more than this times its capacity
fall_ms = 1500                 # for this time

[limits]
memory_mb = 192
sockets = 1024
"""
