/** Options and interface of a node's request path. */
import type http from 'node:http';
import type { CallContainment } from '../containment/containment.js';
import type { CounterSink, RandomSource } from '../control/control-event.js';
import type { PeerIdentity } from '../membership/peer-identity.js';
import type { CallerLimits, Snapshot } from '../model/snapshot.js';
import type { AwaitedMachine } from './awaited-attempts.js';
import type { CallerProtocol } from './caller-protocol.js';
import type { EndpointProtocol } from './endpoint-protocol.js';
import type { EndpointStateReport } from './endpoint-states.js';
import type { IdempotencyClaims } from './idempotency-claims.js';
import type { ProxyLimits } from './proxy-limits.js';
import type { RequestLog } from './request-log.js';
import type { MemberDirectory } from './request-services.js';
import type { RequestTimes } from './request-times.js';

/** Dependencies and settings of {@link RequestProxy}. */
export interface RequestProxyOptions {
  readonly identity: PeerIdentity;
  readonly snapshots: { current(): Snapshot | undefined };
  readonly members: MemberDirectory;
  readonly counters: CounterSink;
  readonly random: RandomSource;
  readonly limits?: Partial<ProxyLimits>;
  /** Tracks requests during which endpoint processes ended; not tracked if absent. */
  readonly containment?: CallContainment;
  /** Claims on idempotency keys; if absent, the node forwards the keys without interpreting them. */
  readonly claims?: IdempotencyClaims;
  /** Shared secret of the fleet; if absent, anyone who can connect to the relay port may use it. */
  readonly fleetKey?: Uint8Array;
  /** Protocol for callers; the native one if absent. */
  readonly callerProtocol?: CallerProtocol;
  /** Protocol for endpoints; the native one if absent. */
  readonly endpointProtocol?: EndpointProtocol;
  /** Logs a state change as one line. */
  readonly logStateChange: (what: string, detail: string) => void;
  /** Receives decisions on requests; they are discarded if absent. */
  readonly requestLog?: RequestLog;
  /** Receives the time from the arrival of each caller's request to its end, in milliseconds. */
  readonly onRequestMs?: (ms: number) => void;
  /** Receives the time that an endpoint took for each complete answer, in milliseconds. */
  readonly onEndpointMs?: (ms: number) => void;
  /** Receives the time from the dispatch of each request until it was written to its connection, in milliseconds. */
  readonly onSendDelayMs?: (ms: number) => void;
  /** Receives by how much the transit time of each relayed request exceeded the usual one, in milliseconds. */
  readonly onTravelLostMs?: (ms: number) => void;
  /** Receives the time from the head of each relayed request to the end of its body, in milliseconds. */
  readonly onBodyMs?: (ms: number) => void;
  /** Receives the time until an error was reported for each failed request, in milliseconds. */
  readonly onFailureMs?: (ms: number) => void;
  /** Receives the times of each answer that missed the target latency of its route. */
  readonly onLateAnswer?: (service: string, times: RequestTimes) => void;
  /** Receives the time that each connection to a peer took to open or to fail, in milliseconds. */
  readonly onRelayConnectMs?: (ms: number) => void;
  /** Receives the event-loop lag measured at each periodic check, in milliseconds. */
  readonly onEventLoopLagMs?: (ms: number) => void;
}

/** The request path of a node; the owner makes the two servers listen. */
export interface RequestProxy {
  readonly callerServer: http.Server;
  readonly relayServer: http.Server;
  /** The state of every endpoint of the current configuration, as known to this node. */
  endpointStates(): EndpointStateReport[];
  /** Number of endpoints owned by this node that it considers cold. */
  coldEndpointCount(): number;
  /** Number of slots of endpoints owned by this node that long work leaves free for more urgent work. */
  headroomSlotCount(): number;
  /** Number of listed endpoints that have stated that they leave, to the knowledge of this node. */
  leavingEndpointCount(): number;
  /** Number of listed endpoints that name a rate limit, to the knowledge of this node. */
  limitedEndpointCount(): number;
  /** Number of callers' requests that wait for a slot of an endpoint. */
  waitingRequestCount(): number;
  /** Applies the limits that the configuration sets; undefined leaves the limits unchanged. */
  applyCallerLimits(limits: CallerLimits | undefined): void;
  /** Applies changed endpoints of the configuration: requests waiting for one that has restarted are forwarded. */
  applyEndpoints(): void;
  /** Machines from whose nodes this node awaits an answer. */
  awaitedMachines(): Iterable<AwaitedMachine>;
  /** Handles an unresponsive machine: its awaited requests are sent to other endpoints where that is allowed. */
  machineUnresponsive(machineId: string): void;
  /** Performs a planned stop: answers close their connections, and requests in flight are completed. */
  stop(): Promise<void>;
  /** Stops immediately and closes all connections. */
  abort(): void;
}
