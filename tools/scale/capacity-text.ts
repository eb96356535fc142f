/** The prose of docs/CAPACITY.md: mechanisms, bounds and what was not measured. No figures of runs. */
export const CAPACITY_TEXT = {
  introduction: `# Capacity

What a node costs at the size of two years from now: 1,800 nodes in 2 regions and 7 zones, 170
services, 86,000 calls a second, 860 changes and 250 restarts a day. Figures come from
\`npm run scale -- --nodes N\`, this page from \`npm run capacity\`, which reads the reports of all sizes.`,
  runs: `One run at each size. All nodes of a run share one machine of 12 processors that other work used at
the same time (see *Load*). Hollow nodes run the whole control plane (membership, dissemination, leases,
reading, wire format, sealed links on real loopback sockets) and no request path; up to 120 share a
process. Five real \`ferryspool node\` processes take part, with back ends and 30 calls a second from the
end of the quiet phase on.

Above 400 nodes the machine is the limit, not the product: every hollow node of a process applies each
change itself, one after the other on the same processors. So larger fleets are run with documents
shared between the nodes of a process, as in the emulator. Times and bytes are taken from those runs,
processor time and memory of a node from the others; real processes share nothing in any run. (The processor time of a
cold start at 800 counts what the lateness itself caused: reconnects and more claims.) Event
loops are late where the p99 of their delay is above 100 ms: there, times tell of this machine. The
sampling timer alone shows about 11 ms.

**Runs that failed.** A cold start of all 1,800 nodes at once did not end in 90 s (one run at
\`dabe32d\`, documents shared): 1,349 of 1,795 hollow nodes had no version, event loops were late by
0.77 s at p99, the load was up to 35. Again at \`00b46cd\`, at a load of 6 before and
30 at the end: 35 of 1,795 had none after
93 s, p50 and p99 of the others 17 and 82 s, event loops late by 0.38 s at p99. A profile at 1,200 nodes showed no idle time, and 57% in encoding
and decoding messages, most of them claims about members. The second run sent 14,700 claims from each node
and saw 13 refutations at each: late nodes are suspected, refute, and all of that is flooded again. That
this machine's lateness starts it is a conclusion, not a measurement: a real fleet has a processor for
each node. The run at 1,800
in the table started its nodes 100 at a time and ended after the changes.`,
  budget: `*An ordinary day* is quiet, and what changes and restarts cost above quiet, divided by how much
faster they came in the run than in a day (one change in 2 s in place of one in 100 s; restarts in
proportion). Bytes are those of frames; TCP and IP headers come on top (40 bytes for a message that
travels alone). The memory line is a mean over three processes (electors) or two (others), the larger
one at the end of whichever phase showed most; at 1,800 nodes only quiet and changes were run. Runs differ:
a first one at 1,800 (\`f7f1303\`, load 20 to 25) showed 125 MiB, 1.18% and 0.90% of a core in quiet,
and the last node with a change after 1.76 s. So the memory budget is met with little to spare.
The bytes after a region heals are those of about 12 s, two regions coming together again, a few times a
year at most: far above 2 KB/s while they last; their cause is the flood of claims about members (see
*Where it breaks first*). 18 s is the users' limit for a change; the returns of a zone and a region are held against it too.`,
  phases: `Cold start: all nodes at once, from nothing. Changes: one endpoint drained or returned at a time.
Restarts: half planned, half killed. The zone falls silent for 12 s first, as machines without power
do, then its processes end; changes go on. The cut region loses the other one and the platform, with no
closed connection to tell of it; 30 s stand for the hour (an hour of virtual time: see *Distribution
compared*). *Missing* counts nodes that should have had a version by the end of the phase and had not.`,
  roles: `A node of any kind may be elector, reader or voter; nobody is set aside. The processor time of a real
process in quiet includes timers of the request path and of Node itself. Operators' writes among voters
and claims of idempotency keys are not loaded in these runs: no voters are set and no call carries a
key. Hollow nodes run both parts, idle, from \`00b46cd\` on, and neither before.`,
  connections: `## Connections

| From | To | How many, at 1,800 nodes | Why no more |
| --- | --- | --- | --- |
| node, control port | nodes of its own zone, of another zone, of the other region | dials 4 (2, 1, 1), accepts 16 at most; the mean is 8 | \`overlay.neighbours\`, \`overlay.maxInbound\`: the same at any size |
| asker of a lease | electors of its zone | 5 short links, closed after 30 s without use | the node of rank r asks about every 4 s × (r + 1) |
| reader | platform | 1, only while it reads | lease; the platform must bear 8 |
| caller's node, relay | node beside the chosen endpoint | one for each call in flight, kept idle for 4 s, 32 idle ones for each destination at most | a back end's node at 48 calls/s (86,000 / 1,800) hears about 190 calls in 4 s, so from at most about 180 of 1,800 nodes that choose at random: an estimate, not a measurement |
| back end's node | its back end | its slots at most (20), never more than \`maxConnections\` less 6 (124 of 130) | only the node beside a back end connects to it, however many nodes there are |
| nodes that miss a back end's node | that back end | about half its slots in all, one each | chosen by a hash; no place counts them |`,
  limits: `## Where it breaks first

1. **Claims about members when much changes at once** (cold start of all, a region that heals): every
   claim reaches every node over every link, so one node's bytes and processor time grow with the
   number of machines concerned, and the burst is far above 2 KB/s for its seconds. Next: do not flood
   that a member is alive when the machine list says so already; code a batch once for all links.
2. **Memory of a whole process**: it comes close to 128 MiB at 1,800 nodes, of which Node itself takes
   about 75 MiB. Every node holds every endpoint, parsed. Next: parse entries at first use.
3. **Snapshots from node to node** (cold start, a returning zone): each node serves 4 transfers at once,
   48 KiB in 20 ms each, and the first holder waits 6 s for the recovery lease. Next: take parts from
   several neighbours at once.
4. **One change is applied to the whole document**: its processor time grows with the configuration. At
   860 changes a day that is nothing; at a change a second it would be the first cost.

What is extrapolated: every figure *from a fit* in the budget, by the power law (memory: by a line) of
the table of slopes; the connections of the request path; the hour of a cut. Not measured here: real
networks (loopback has no latency and no loss), TLS between nodes, operators' writes, 86,000 calls a
second.`,
} as const;
