"""The file that `write` begins with."""

TEMPLATE = '''\
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
source = "list"                # list: those below; dns-sd: from the records of a resolver
user = "aspenrill"             # the login used at engines
app = "aspenrill"
idle_s = 30                    # engines close a connection that has been idle for this long
connect_ms = 250
# resolver = "127.0.0.1:53"    # for dns-sd: the resolver that is asked,
# service = "_tds._tcp.engines.local"   # and the service type whose instances are the engines

[[engines.kind]]               # dns-sd: a TXT record says kind=eight-core
name = "eight-core"
cores = 8
memory_mb = 16384

[[engines.engine]]
name = "engine-1"
address = "127.0.0.1:14331"
kind = "eight-core"

# Guards for engines that have just started.
[rules]
front_ends = 1                 # how many sidecars share the engines
most_attempts = 3              # for one request
start_capacity = 0.3           # part of its capacity that an engine starts with
cold_ms = 12000                # it is warm after this
fall_multiple = 2.5            # it falls over when sent more than this times what it can do
fall_ms = 1500                 # for this long

[limits]
memory_mb = 192
sockets = 1024
'''
