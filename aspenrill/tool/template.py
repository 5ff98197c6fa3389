"""The file that `write` begins with."""

TEMPLATE = """\
# Configuration of one application's sidecar. Times are milliseconds unless a name says otherwise.
name = "@NAME@"
enabled = true                 # false: the front does not listen
listen = "@LISTEN@"            # where the application's TDS clients connect
answer_bytes = 1048576         # a larger result fails
domain = "local"               # under which the application's own DNS-SD records stand
host = ""                      # host of those records; empty: NAME.DOMAIN

# What kinds of requests there are. aspenrill decides by these figures.
[[class]]
name = "lookup"
wanted_ms = 1000               # an answer within this is worth all of `worth`
give_up_ms = 5000              # the longest that a client waits
effect = "repeatable"          # running it twice: repeatable (harmless), by_key, once (never twice)
worth = 1.0
late_worth = 0.1               # part of the worth of an answer that comes after wanted_ms
stretch = 1.5                  # wanted_ms grows by this times the work over its threads
threads = 1                    # threads that it runs on at an engine

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
effect = "by_key"              # engines drop a repeat of its key ...
repeat_window_ms = 15000       # ... for this long
worth = 12.0
late_worth = 0.5
stretch = 3.0
threads = 2
load = true                    # holds its group of tables while it runs

# Whose requests they are; per_s is a tenant's share in requests a second.
[[tenant]]
name = "main"
per_s = 100.0

# What a login under an application name stands for; the first entry that matches counts, "*" matches any.
[[login]]
user = "clerk"
app = "settle"
class = "report"
tenant = "main"
timeout_ms = 20000             # how long its clients wait

[[login]]
user = "scanner"
app = "*"
class = "booking"
tenant = "main"
timeout_ms = 25000
key = "comment"                # the idempotency key: "comment" takes it from /* key: ... */ in the
                               # statement, "batch" makes it from login, application and statement

[[login]]
user = "*"
app = "*"
class = "lookup"
tenant = "main"
timeout_ms = 5000

[engines]
user = "aspenrill"             # the login used at engines
app = "aspenrill"
idle_s = 30                    # engines close a connection that has been idle for this long
connect_ms = 250

[[engines.kind]]
name = "eight-core"
cores = 8
memory_mb = 16384

# Where the list of engines comes from: any number of sources, merged. One address and port is one engine. It
# takes work while some source names it live and none says that it drains; a source that fails keeps its last
# list. The first source is the highest: it gives kind, zone and start time.
[[source]]
name = "file"
type = "list"                  # list, dns-sd or srv
tier = 0                       # where SRV priorities matter: the one that stands for this list

[[source.engine]]
name = "engine-1"
address = "127.0.0.1:14331"    # or "[::1]:14331"
kind = "eight-core"
state = "live"                 # draining: it ends what it has and gets nothing new

# [[source]]
# name = "records"
# type = "srv"                 # dns-sd: instances of a service type, whose TXT tells kind, zone and state
# service = "_tds._tcp.engines.example"
# resolver = "main"
# kind = "eight-core"          # SRV records tell no kind
# family = "ipv4-first"        # ipv4, ipv6, ipv4-first, ipv6-first
# shrink = 0.5                 # a list that loses more than this share at once is looked at twice

# [[resolver]]
# name = "main"
# servers = ["127.0.0.1:53"]   # asked in this order; one that fails rests for a growing time
# question_ms = 1000           # for one answer
# lookup_ms = 5000             # for a look-up with all its questions
# least_ttl_s = 1              # lifetimes of records are kept within these two
# most_ttl_s = 3600
# negative_ttl_s = 300         # the longest that "there is none" is kept
# stale_s = 86400              # how long the last answer is of use while look-ups fail

# [addresses]                  # networks that engines may be in; needs netaddr
# allow = ["10.0.0.0/8", "fd00::/8"]
# deny = []

# [membership]
# restart_ms = 1000            # out for that long, an engine may have restarted, and comes back cold
# confirm_ms = 2000            # until the second look at a list that shrinks much
# flaps = 3                    # so many returns within ...
# flap_window_s = 10           # ... hold an engine out
# hold_s = 5                   # for this long, doubled each time
# hold_most_s = 300
# calm_s = 60                  # without a return, and all is forgotten
# handover_s = 30              # how long a source that is taken out is believed while new ones come up

# [tiers]                      # by SRV priority: a lower tier is let in only when those above lack engines
# lack = 0.5                   # it opens below this share of the first tier
# full = 0.75                  # and fills up to this one
# least = 1                    # engines that the first tier must have at least
# step_ms = 1000               # one engine is let in, or out, at a time
# settle_s = 15                # how long the tiers above must be full again before it closes

# Guards for engines that have just started.
[rules]
front_ends = 1                 # how many sidecars share the engines
front_end = 1                  # which of them this one is
most_attempts = 3              # for one request
start_capacity = 0.3           # part of its capacity that an engine starts with
cold_ms = 12000                # it is warm after this
fall_multiple = 2.5            # it falls over when sent more than this times what it can do
fall_ms = 1500                 # for this long

[limits]
memory_mb = 192
sockets = 1024
"""
