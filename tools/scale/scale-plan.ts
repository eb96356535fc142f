/**
 * A fleet of the users' future shape, scaled to any number of nodes: which machines there are, which
 * of them run as real processes, and how the hollow ones share processes. Every machine has a
 * loopback address of its own. The same input gives the same plan in every process.
 */
import type { z } from 'zod';
import type { Machine } from '../../src/model/machine.js';
import type { settingsSchema } from '../../src/settings/settings.js';

/** Ports of every node. */
export const NODE_PORTS = { caller: 8080, relay: 8081, control: 8082, admin: 8083 } as const;
/** The users' size in two years. */
export const TARGET = {
  nodes: 1_800,
  services: 170,
  callsPerSecond: 86_000,
  changesPerDay: 860,
  restartsPerDay: 250,
  machineFailuresPerDay: 9,
  regions: 2,
  zones: 7,
} as const;
/** Budget of a node for control at the target, and of the fleet. */
export const BUDGET = {
  cpuPercent: 1.6,
  memoryMiB: 128,
  bytesPerSecond: 2_000,
  convergenceMs: 18_000,
  addedLatencyP99Ms: 1.1,
} as const;
export const READERS_PER_ZONE = 1;
/** Readers that the platform bears: one for each zone and one for recovery. */
export const READER_BOUND = TARGET.zones * READERS_PER_ZONE + 1;
/** Hollow nodes of one process at most. */
export const NODES_PER_PROCESS = 120;
/** Machines that are electors of their zones: the oldest, five in each (`MAX_ELECTORS`). */
export const ELECTOR_MACHINES = 5 * TARGET.zones;
/**
 * Machines whose nodes run as real processes: electors of three zones, and two that are none. All are
 * in region 0, which is never the one cut off, and none in the zone that dies.
 */
export const REAL_INDICES: readonly number[] = [0, 2, 4, 42, 44];
/** The zone that dies; no real node is there. */
export const DYING_ZONE = zoneName(6);
/** The region that is cut off. */
export const CUT_REGION = regionName(1);

const ADDRESSES_PER_BLOCK = 250;
const FIRST_HOST_NUMBER = 2;
const FIRST_BLOCK = 1;

/** What fixes a plan. */
export interface ScaleShape {
  readonly nodes: number;
  /** First two numbers of all addresses, such as `127.91`. */
  readonly network: string;
  readonly fleetKey: string;
}

/** What a settings file of a node holds. */
export type NodeSettings = z.input<typeof settingsSchema>;

/** Name of the zone at `index`. */
export function zoneName(index: number): string {
  return `zone-${index}`;
}

/** Name of the region at `index`. */
export function regionName(index: number): string {
  return `region-${index}`;
}

/** Address of the platform. */
export function platformAddress(shape: ScaleShape): string {
  return `${shape.network}.0.1`;
}

/** The machines, zones and regions dealt out in turn. */
export function planMachines(shape: ScaleShape): Machine[] {
  return range(shape.nodes).map((index) => {
    const zone = index % TARGET.zones;
    const block = FIRST_BLOCK + Math.floor(index / ADDRESSES_PER_BLOCK);
    const host = FIRST_HOST_NUMBER + (index % ADDRESSES_PER_BLOCK);
    return {
      id: `machine-${index}`,
      address: `${shape.network}.${block}.${host}`,
      controlPort: NODE_PORTS.control,
      relayPort: NODE_PORTS.relay,
      zone: zoneName(zone),
      region: regionName(zone % TARGET.regions),
      seniority: index,
      state: 'live',
    };
  });
}

/** Settings of the node on one machine; the platform listens on `platformPort`. */
export function nodeSettings(
  shape: ScaleShape,
  machines: readonly Machine[],
  machine: Machine,
  platformPort: number,
): NodeSettings {
  const platform = `http://${platformAddress(shape)}:${platformPort}`;
  const { id, address, zone, region } = machine;
  return {
    machine: { id, address, zone, region },
    ports: NODE_PORTS,
    fleetKey: shape.fleetKey,
    seeds: machines
      .slice(0, TARGET.zones)
      .map((seed) => ({ address: seed.address, controlPort: seed.controlPort })),
    platform: {
      configurationUrl: `${platform}/v1/configuration`,
      machinesUrl: `${platform}/v1/machines`,
    },
    readerShares: Object.fromEntries(
      range(TARGET.zones).map((index) => [zoneName(index), READERS_PER_ZONE]),
    ),
  };
}

/** Indices of the machines that each hollow process runs, dealt out in turn. */
export function planProcesses(nodes: number): number[][] {
  const hollow = range(nodes).filter((index) => !REAL_INDICES.includes(index));
  const processes = Math.max(1, Math.ceil(hollow.length / NODES_PER_PROCESS));
  return range(processes).map((process) =>
    hollow.filter((_, position) => position % processes === process),
  );
}

/** Numbers from 0 up to `count`, without it. */
export function range(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index);
}
