/** A caller's node without peers, for tests of single requests: its endpoints are behind a path of the test. */
import { resourceSchema } from '../../src/model/resource.js';
import { buildSnapshot, NO_SNAPSHOT_VERSION, type Snapshot } from '../../src/model/snapshot.js';
import type { EndpointPath } from '../../src/proxy/call.js';
import { DEFAULT_PROXY_LIMITS } from '../../src/proxy/proxy-limits.js';
import { RequestServices, type RequestServicesOptions } from '../../src/proxy/request-services.js';
import { RouteTable, type RouteMatch } from '../../src/routing/route-table.js';
import type { Scheduler } from '../../src/proxy/scheduler.js';
import { echoEndpoint, echoService } from './rig.js';
import { VIRTUAL_RELAY, virtualIdentity } from './virtual-identity.js';

/** The services of such a node; `options` replace the defaults. */
export function loneNodeServices(
  scheduler: Scheduler,
  path: EndpointPath,
  options: Partial<RequestServicesOptions> = {},
): RequestServices {
  return new RequestServices({
    identity: virtualIdentity('caller'),
    members: {
      status: () => 'alive',
      relayAddress: () => VIRTUAL_RELAY,
      count: () => 1,
      machineIds: () => [],
    },
    counters: { add: () => undefined },
    random: () => 0.5,
    scheduler,
    limits: DEFAULT_PROXY_LIMITS,
    direct: path,
    relay: path,
    ...options,
  });
}

/** A configuration with one service whose route has the target latency, and endpoints of these names. */
export function echoSnapshot(targetLatencyMs: number, endpointNames: readonly string[]): Snapshot {
  const endpoints = endpointNames.map((name, idx) => echoEndpoint(name, 1_000 + idx));
  const resources = [...echoService({ targetLatencyMs }), ...endpoints];
  return buildSnapshot(
    NO_SNAPSHOT_VERSION,
    resources.map((resource) => resourceSchema.parse(resource)),
  );
}

export function matchOf(snapshot: Snapshot, target: string): RouteMatch {
  const match = new RouteTable(snapshot).match('', target, 'GET');
  if (match === undefined) {
    throw new Error('no route');
  }
  return match;
}
