/** What the request path of a node needs, and what it offers. */
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

/** What the request path needs of its node. */
export interface RequestProxyOptions {
  readonly identity: PeerIdentity;
  readonly snapshots: { current(): Snapshot | undefined };
  readonly members: MemberDirectory;
  readonly counters: CounterSink;
  readonly random: RandomSource;
  readonly limits?: Partial<ProxyLimits>;
  /** What is known of requests under which endpoints ended; nothing is learnt of them when absent. */
  readonly containment?: CallContainment;
  /** Claims on idempotency keys; without them keys are passed on and mean nothing to the node. */
  readonly claims?: IdempotencyClaims;
  /** Shared secret of the fleet; without one, whoever reaches the relay port may use it. */
  readonly fleetKey?: Uint8Array;
  /** How callers are spoken to; the product's own protocol when absent. */
  readonly callerProtocol?: CallerProtocol;
  /** How endpoints are spoken to; the product's own protocol when absent. */
  readonly endpointProtocol?: EndpointProtocol;
  /** Writes one line on a change of state. */
  readonly logStateChange: (what: string, detail: string) => void;
  /** Takes decisions on requests; they are not kept when absent. */
  readonly requestLog?: RequestLog;
  /** Gets the time from the arrival of each caller's request to its end, in milliseconds. */
  readonly onRequestMs?: (ms: number) => void;
  /** Gets the time that an endpoint took for each whole answer, in milliseconds. */
  readonly onEndpointMs?: (ms: number) => void;
  /** Gets how much longer than usual each relayed request was on its way, in milliseconds. */
  readonly onTravelLostMs?: (ms: number) => void;
  /** Gets the time from the head of each relayed request to the end of its body, in milliseconds. */
  readonly onBodyMs?: (ms: number) => void;
  /** Gets how long each request was held that was told an error, in milliseconds. */
  readonly onFailureMs?: (ms: number) => void;
  /** Gets the time that each connection to a peer took to open or to fail, in milliseconds. */
  readonly onRelayConnectMs?: (ms: number) => void;
  /** Gets how late the regular looks at the clock are, in milliseconds. */
  readonly onLoopDelayMs?: (ms: number) => void;
}

/** The request path; its owner listens on the two servers. */
export interface RequestProxy {
  readonly callerServer: http.Server;
  readonly relayServer: http.Server;
  /** Every endpoint of the configuration in force, as this node sees it. */
  endpointStates(): EndpointStateReport[];
  /** Endpoints beside this node that are cold, as far as it knows. */
  coldEndpointCount(): number;
  /** Takes the limits that the configuration sets; undefined leaves those of the node's settings. */
  applyCallerLimits(limits: CallerLimits | undefined): void;
  /** The configuration in force has other endpoints: what waits for one that has started again is sent on. */
  takeEndpoints(): void;
  /** Machines whose nodes owe this one an answer. */
  awaitedMachines(): Iterable<AwaitedMachine>;
  /** Nothing is heard of a machine: what may be sent elsewhere is. */
  machineIsSilent(machineId: string): void;
  /** Planned stop: answers close their connections, requests in flight finish. */
  stop(): Promise<void>;
  /** Stop at once: connections are cut. */
  abort(): void;
}
