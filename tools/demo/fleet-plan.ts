/**
 * The machines of a deployment and what each of them is told: one node beside each back end and one
 * edge node for each zone. Every machine has a loopback address of its own, so that all nodes can
 * listen on the same ports.
 */
import type { z } from 'zod';
import type { Machine, MachineList } from '../../src/model/machine.js';
import type { Resource } from '../../src/model/resource.js';
import type { SourceDocument } from '../../src/model/source-document.js';
import type { settingsSchema } from '../../src/settings/settings.js';
import { RECOVERY_READERS } from '../../src/source/lease-terms.js';
import type { Deployment } from './deployment.js';

/** Ports of every node. */
export const NODE_PORTS = { caller: 8080, relay: 8081, control: 8082, admin: 8083 } as const;
/** Nodes that a starting node dials before it knows the machine list. */
const SEEDS = 3;
/** Readers at the platform for each zone. */
const READERS_PER_ZONE = 1;
const FIRST_HOST_NUMBER = 10;

/** A machine with its node, and the service whose back end runs there, if any. */
export interface MachinePlan {
  readonly machine: Machine;
  readonly service?: string;
}

/** A whole deployment, before anything runs. */
export interface FleetPlan {
  readonly deployment: Deployment;
  readonly platformAddress: string;
  /** Readers that the platform bears. */
  readonly readerBound: number;
  readonly machines: readonly MachinePlan[];
  readonly fleetKey: string;
}

/** What a settings file of a node holds. */
export type NodeSettings = z.input<typeof settingsSchema>;

/** Plans a deployment; `network` is the first three numbers of its addresses, such as `127.9.1`. */
export function planFleet(deployment: Deployment, network: string, fleetKey: string): FleetPlan {
  const machines: MachinePlan[] = [];
  const add = (id: string, zone: string, service?: string): void => {
    const machine: Machine = {
      id,
      address: `${network}.${FIRST_HOST_NUMBER + machines.length}`,
      controlPort: NODE_PORTS.control,
      relayPort: NODE_PORTS.relay,
      zone,
      region: deployment.region,
      seniority: machines.length,
      state: 'live',
    };
    machines.push(service === undefined ? { machine } : { machine, service });
  };
  for (const zone of deployment.zones) {
    add(`edge-${zone}`, zone);
  }
  for (const service of deployment.services) {
    for (let index = 0; index < service.backends; index += 1) {
      const zone = deployment.zones[index % deployment.zones.length] ?? '';
      add(`${service.name}-${index + 1}`, zone, service.name);
    }
  }
  return {
    deployment,
    platformAddress: `${network}.1`,
    readerBound: deployment.zones.length * READERS_PER_ZONE + RECOVERY_READERS,
    machines,
    fleetKey,
  };
}

/** The machine named `id`. Throws when there is none. */
export function machineOf(plan: FleetPlan, id: string): MachinePlan {
  const found = plan.machines.find(({ machine }) => machine.id === id);
  if (found === undefined) {
    throw new Error(`no machine ${id}`);
  }
  return found;
}

/** The settings of one node; the platform listens on `platformPort`. */
export function nodeSettings(
  plan: FleetPlan,
  { machine }: MachinePlan,
  platformPort: number,
): NodeSettings {
  const platform = `http://${plan.platformAddress}:${platformPort}`;
  const { id, address, zone, region } = machine;
  const seeds = plan.machines.slice(0, SEEDS);
  return {
    machine: { id, address, zone, region },
    ports: NODE_PORTS,
    fleetKey: plan.fleetKey,
    seeds: seeds.map((other) => ({
      address: other.machine.address,
      controlPort: other.machine.controlPort,
    })),
    platform: {
      configurationUrl: `${platform}/v1/configuration`,
      machinesUrl: `${platform}/v1/machines`,
    },
    // The fleet is new, and so are all keys.
    claims: { openWhenAllAreNew: true },
    readerShares: Object.fromEntries(plan.deployment.zones.map((name) => [name, READERS_PER_ZONE])),
  };
}

/** The platform's machine list. */
export function machineList(plan: FleetPlan, version: number): MachineList {
  return { version, machines: plan.machines.map(({ machine }) => machine) };
}

/** The configuration: `extraRoutes` adds so many routes, to make a change. */
export function sourceDocument(
  plan: FleetPlan,
  version: number,
  backendPorts: ReadonlyMap<string, number>,
  extraRoutes: number,
): SourceDocument {
  const { services } = plan.deployment;
  const resources: Resource[] = services.flatMap(({ name }) => [serviceOf(name), routeOf(name)]);
  for (let index = 0; index < extraRoutes; index += 1) {
    const service = services[index % services.length]?.name ?? '';
    resources.push(changeRouteOf(service, index));
  }
  for (const { machine, service } of plan.machines) {
    const port = backendPorts.get(machine.id);
    if (service !== undefined && port !== undefined) {
      resources.push(endpointOf(plan.deployment, machine, service, port));
    }
  }
  return { version, resources };
}

/** Path of the extra route number `index`. */
export function extraRoutePath(index: number): string {
  return `/change-${index}`;
}

function serviceOf(name: string): Resource {
  return { kind: 'service', name, spec: { requestTimeoutMs: 5_000, retryBudgetPercent: 20 } };
}

function routeOf(service: string): Resource {
  const spec = { hosts: [], pathPrefix: `/${service}`, methods: [], service };
  return { kind: 'route', name: service, spec };
}

function changeRouteOf(service: string, index: number): Resource {
  const spec = { hosts: [], pathPrefix: extraRoutePath(index), methods: [], service };
  return { kind: 'route', name: `change-${index}`, spec };
}

function endpointOf(
  deployment: Deployment,
  machine: Machine,
  service: string,
  port: number,
): Resource {
  const { slots, maxConnections } = deployment;
  const { address, zone, region, id } = machine;
  return {
    kind: 'endpoint',
    name: id,
    spec: {
      service,
      address,
      port,
      zone,
      region,
      machine: id,
      slots,
      maxConnections,
      state: 'active',
    },
  };
}
