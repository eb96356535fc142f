/**
 * The active configuration of a node: an immutable snapshot that is validated as a whole before it replaces the
 * previous one. A request uses the same snapshot throughout.
 */
import { InvalidConfigurationError, type ConfigurationFault } from './configuration-error.js';
import { applyEvacuation } from './evacuation.js';
import type { Endpoint, Resource, Route, Secret, Service } from './resource.js';
import { resourceKey, type ResourceKey } from './resource-key.js';
import { NO_VERSION, type DocumentVersion } from './version.js';

/** Maximum number of resources in a snapshot. */
export const MAX_RESOURCES = 100_000;

/** Versions of the documents that a snapshot was merged from. Each increases monotonically on a node. */
export interface SnapshotVersion {
  /** Version of the configuration source's document. */
  readonly source: DocumentVersion;
  /** Version of the operators' document. */
  readonly operator: DocumentVersion;
}

/** Version of a node that has no documents. */
export const NO_SNAPSHOT_VERSION: SnapshotVersion = { source: NO_VERSION, operator: NO_VERSION };

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  /** Maximum size of the request line and headers, in bytes. */
  readonly maxHeaderBytes: number;
  /** Maximum size of a request body, in bytes. */
  readonly maxBodyBytes: number;
  /** Timeout for receiving a complete request head, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Time after which an idle connection is closed, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** A validated configuration, created by {@link buildSnapshot}. */
export interface Snapshot {
  readonly version: SnapshotVersion;
  readonly resources: ReadonlyMap<ResourceKey, Resource>;
  readonly services: ReadonlyMap<string, Service>;
  readonly routes: readonly Route[];
  readonly secrets: ReadonlyMap<string, Secret>;
  /** Endpoints by service name. Every service has a list, which may be empty. */
  readonly endpointsByService: ReadonlyMap<string, readonly Endpoint[]>;
  /** Zones whose endpoints receive no new requests; see {@link ./evacuation.ts}. */
  readonly evacuatedZones: ReadonlySet<string>;
  /** Limits set by the configuration; undefined if the node's settings apply. */
  readonly callerLimits: CallerLimits | undefined;
}

/**
 * Validates and indexes `resources`. Throws {@link InvalidConfigurationError} with every fault found.
 */
export function buildSnapshot(
  version: SnapshotVersion,
  resources: readonly Resource[],
  callerLimits?: CallerLimits,
): Snapshot {
  const byKey = new Map<ResourceKey, Resource>();
  const faults: ConfigurationFault[] = [];
  if (resources.length > MAX_RESOURCES) {
    faults.push({ path: 'resources', reason: `expected at most ${MAX_RESOURCES}` });
    throw new InvalidConfigurationError(faults);
  }
  for (const resource of resources) {
    const key = resourceKey(resource);
    if (byKey.has(key)) {
      faults.push({ path: key, reason: 'name stands twice' });
    }
    byKey.set(key, resource);
  }
  faults.push(...findDanglingReferences(byKey));
  if (faults.length > 0) {
    throw new InvalidConfigurationError(faults);
  }
  return { ...indexSnapshot(version, byKey), callerLimits };
}

/** The parts of a snapshot that change independently of its routes. */
export interface SnapshotEndpoints {
  readonly endpoints: readonly Endpoint[];
  readonly evacuatedZones: ReadonlySet<string>;
}

/**
 * Adds `endpoints` to the snapshot `base`, which has none; endpoints of unknown services are omitted. Unchanged
 * endpoint lists are reused from the earlier snapshot `previous`. Routes are not processed, so that adding or
 * removing an endpoint is cheap regardless of the size of the configuration.
 */
export function withEndpoints(
  base: Snapshot,
  { endpoints, evacuatedZones }: SnapshotEndpoints,
  previous?: Snapshot,
): Snapshot {
  const endpointsByService = new Map<string, readonly Endpoint[]>();
  const lists = new Map<string, Endpoint[]>();
  for (const service of base.services.keys()) {
    lists.set(service, []);
  }
  for (const endpoint of endpoints) {
    lists.get(endpoint.spec.service)?.push(applyEvacuation(endpoint, evacuatedZones));
  }
  for (const [service, list] of lists) {
    const previousList = previous?.endpointsByService.get(service);
    endpointsByService.set(
      service,
      previousList !== undefined && isSameList(previousList, list) ? previousList : list,
    );
  }
  return new SnapshotWithEndpoints(base, endpointsByService, evacuatedZones);
}

/** Merges the resources of the base and the endpoints lazily. */
class SnapshotWithEndpoints implements Snapshot {
  readonly version: SnapshotVersion;
  readonly services: ReadonlyMap<string, Service>;
  readonly routes: readonly Route[];
  readonly secrets: ReadonlyMap<string, Secret>;
  readonly callerLimits: CallerLimits | undefined;

  constructor(
    private readonly base: Snapshot,
    readonly endpointsByService: ReadonlyMap<string, readonly Endpoint[]>,
    readonly evacuatedZones: ReadonlySet<string>,
  ) {
    ({
      version: this.version,
      services: this.services,
      routes: this.routes,
      secrets: this.secrets,
      callerLimits: this.callerLimits,
    } = base);
  }

  get resources(): ReadonlyMap<ResourceKey, Resource> {
    const resources = new Map(this.base.resources);
    for (const endpoint of [...this.endpointsByService.values()].flat()) {
      resources.set(resourceKey(endpoint), endpoint);
    }
    return resources;
  }
}

function isSameList(left: readonly Endpoint[], right: readonly Endpoint[]): boolean {
  return left.length === right.length && left.every((endpoint, index) => endpoint === right[index]);
}

/** Returns a fault for each reference to a resource that is not in `resources`. */
export function findDanglingReferences(
  resources: ReadonlyMap<ResourceKey, Resource>,
): ConfigurationFault[] {
  const faults: ConfigurationFault[] = [];
  for (const resource of resources.values()) {
    for (const target of referencesOf(resource)) {
      if (!resources.has(target)) {
        faults.push({ path: resourceKey(resource), reason: `refers to missing ${target}` });
      }
    }
  }
  return faults;
}

/** Returns the keys of the resources that `resource` depends on. */
export function referencesOf(resource: Resource): ResourceKey[] {
  switch (resource.kind) {
    case 'route': {
      const { service, targets = [], credential } = resource.spec;
      const secrets: ResourceKey[] =
        credential === undefined ? [] : [`secret/${credential.secret}`];
      const services = targets.map((target): ResourceKey => `service/${target.service}`);
      return [`service/${service}`, ...services, ...secrets];
    }
    case 'endpoint':
      return [`service/${resource.spec.service}`];
    case 'service':
    case 'secret':
    case 'evacuation':
      return [];
  }
}

function indexSnapshot(
  version: SnapshotVersion,
  resources: ReadonlyMap<ResourceKey, Resource>,
): Omit<Snapshot, 'callerLimits'> {
  const services = new Map<string, Service>();
  const routes: Route[] = [];
  const secrets = new Map<string, Secret>();
  const endpointsByService = new Map<string, Endpoint[]>();
  const evacuatedZones = new Set<string>();
  for (const resource of resources.values()) {
    if (resource.kind === 'service') {
      services.set(resource.name, resource);
      endpointsByService.set(resource.name, []);
    } else if (resource.kind === 'evacuation') {
      evacuatedZones.add(resource.name);
    }
  }
  for (const resource of resources.values()) {
    switch (resource.kind) {
      case 'route':
        routes.push(resource);
        break;
      case 'secret':
        secrets.set(resource.name, resource);
        break;
      case 'endpoint':
        endpointsByService
          .get(resource.spec.service)
          ?.push(applyEvacuation(resource, evacuatedZones));
        break;
      case 'service':
      case 'evacuation':
        break;
    }
  }
  return { version, resources, services, routes, secrets, endpointsByService, evacuatedZones };
}
