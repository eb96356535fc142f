/**
 * The configuration that a node serves from: an immutable snapshot, validated whole before it is
 * swapped in. A request keeps the snapshot that it started with.
 */
import { InvalidConfigurationError, type ConfigurationFault } from './configuration-error.js';
import { underEvacuation } from './evacuation.js';
import type { Endpoint, Resource, Route, Secret, Service } from './resource.js';
import { resourceKey, type ResourceKey } from './resource-key.js';
import { NO_VERSION, type DocumentVersion } from './version.js';

/** Resources in one snapshot at most. */
export const MAX_RESOURCES = 100_000;

/** The versions of the documents that a snapshot was merged from; each only rises on a node. */
export interface SnapshotVersion {
  /** Version of the configuration source's document. */
  readonly source: DocumentVersion;
  /** Version of the operators' document. */
  readonly operator: DocumentVersion;
}

/** Version of a node that holds nothing. */
export const NO_SNAPSHOT_VERSION: SnapshotVersion = { source: NO_VERSION, operator: NO_VERSION };

/** What callers may send, and for how long their connections are kept. */
export interface CallerLimits {
  /** Request line and headers, in bytes. */
  readonly maxHeaderBytes: number;
  /** Body, in bytes. */
  readonly maxBodyBytes: number;
  /** Time for a whole request head, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Time for which an idle connection is kept, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** One validated configuration. Build it with {@link buildSnapshot}. */
export interface Snapshot {
  readonly version: SnapshotVersion;
  readonly resources: ReadonlyMap<ResourceKey, Resource>;
  readonly services: ReadonlyMap<string, Service>;
  readonly routes: readonly Route[];
  readonly secrets: ReadonlyMap<string, Secret>;
  /** Endpoints by the name of their service; every service has a list, perhaps an empty one. */
  readonly endpointsByService: ReadonlyMap<string, readonly Endpoint[]>;
  /** Zones whose endpoints get no new work; see {@link ./evacuation.ts}. */
  readonly evacuatedZones: ReadonlySet<string>;
  /** Limits that the configuration sets; undefined where it leaves them to the node's settings. */
  readonly callerLimits: CallerLimits | undefined;
}

/**
 * Validates `resources` as a whole and indexes them.
 * Throws {@link InvalidConfigurationError} that lists every fault found.
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

/** What a snapshot gets besides its routes. */
export interface PlacedEndpoints {
  readonly endpoints: readonly Endpoint[];
  readonly evacuatedZones: ReadonlySet<string>;
}

/**
 * The snapshot `base`, which has no endpoints, with `endpoints`; those of unknown services are left
 * out. `before` is an earlier snapshot: lists of endpoints that did not change are taken from it. Costs
 * nothing for the routes, so that an endpoint that comes or goes is cheap whatever the configuration.
 */
export function withEndpoints(
  base: Snapshot,
  { endpoints, evacuatedZones }: PlacedEndpoints,
  before?: Snapshot,
): Snapshot {
  const endpointsByService = new Map<string, readonly Endpoint[]>();
  const lists = new Map<string, Endpoint[]>();
  for (const service of base.services.keys()) {
    lists.set(service, []);
  }
  for (const endpoint of endpoints) {
    lists.get(endpoint.spec.service)?.push(underEvacuation(endpoint, evacuatedZones));
  }
  for (const [service, list] of lists) {
    const held = before?.endpointsByService.get(service);
    endpointsByService.set(service, held !== undefined && isSameList(held, list) ? held : list);
  }
  return new SnapshotWithEndpoints(base, endpointsByService, evacuatedZones);
}

/** Joins the resources of both parts only when they are asked for. */
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

/** Every reference to a resource that is not in `resources`. */
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

/** Keys of the resources that `resource` depends on. */
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
          ?.push(underEvacuation(resource, evacuatedZones));
        break;
      case 'service':
      case 'evacuation':
        break;
    }
  }
  return { version, resources, services, routes, secrets, endpointsByService, evacuatedZones };
}
