/** What is compared: fleet sizes, designs and scenarios. */
import { DocumentMemo } from '../../src/dissemination/document-memo.js';
import { PollingNode, PushNode } from './baseline-nodes.js';
import type { ComponentFactory } from './emulated-process.js';
import type { ConfigurationSize } from './fleet-configuration.js';
import { productFactory } from './product-nodes.js';
import { CONTROL_PORT } from './machine-registry.js';
import { evenSites, siteAddress, type Site, type SiteGroup } from './topology.js';

/** Documents that nodes of one run share. */
const SHARED_MEMO_CAPACITY = 256;

/** One fleet. */
export interface FleetSize {
  readonly name: string;
  readonly nodes: number;
  readonly zones: number;
  readonly regions: number;
  readonly configuration: ConfigurationSize;
  /** What the cut scenario cuts off: a region where there is more than one, else a zone. */
  readonly cutGroup: SiteGroup;
  /** Processes that restart together. */
  readonly herd: number;
}

/**
 * The users' sizes of today (a node beside each back end and one edge node in each zone), and the
 * two sizes of the goals, with a back end beside every fourth node.
 */
export const FLEET_SIZES: readonly FleetSize[] = [
  {
    name: 'Solano Vargas',
    nodes: 16,
    zones: 4,
    regions: 1,
    configuration: { services: 3, routesPerService: 2, endpoints: 12, secrets: 2 },
    cutGroup: { by: 'zone', names: ['zone-1'] },
    herd: 8,
  },
  {
    name: 'Parkhaven',
    nodes: 13,
    zones: 3,
    regions: 1,
    configuration: { services: 3, routesPerService: 2, endpoints: 10, secrets: 2 },
    cutGroup: { by: 'zone', names: ['zone-1'] },
    herd: 6,
  },
  {
    name: '200 nodes',
    nodes: 200,
    zones: 6,
    regions: 2,
    configuration: { services: 10, routesPerService: 3, endpoints: 50, secrets: 10 },
    cutGroup: { by: 'region', names: ['region-1'] },
    herd: 50,
  },
  {
    name: '1,800 nodes',
    nodes: 1_800,
    zones: 9,
    regions: 3,
    configuration: { services: 30, routesPerService: 3, endpoints: 450, secrets: 30 },
    cutGroup: { by: 'region', names: ['region-1'] },
    herd: 250,
  },
];

/** The sites of a fleet. */
export function sitesOf(size: FleetSize): Site[] {
  return evenSites(size.nodes, size.zones, size.regions);
}

/** The three designs; polling twice, unconditionally and for what is new only. */
export const DESIGN_NAMES = ['polling', 'polling-conditional', 'push-whole', 'ferryspool'] as const;
export type DesignName = (typeof DESIGN_NAMES)[number];

/** Nodes of a design. `pollIntervalMs` is for the polling ones. */
export function factoryOf(
  design: DesignName,
  size: FleetSize,
  pollIntervalMs: number,
): ComponentFactory {
  const memo = new DocumentMemo(SHARED_MEMO_CAPACITY);
  switch (design) {
    case 'polling':
    case 'polling-conditional':
      return (context) =>
        new PollingNode(context, memo, pollIntervalMs, design === 'polling-conditional');
    case 'push-whole':
      return ({ site }) => new PushNode(memo, zoneReader(site, size));
    case 'ferryspool':
      return productFactory(size.zones, memo);
  }
}

/** The first machine of each zone is its reader. */
function zoneReader(
  site: Site,
  size: FleetSize,
): { address: string; controlPort: number } | undefined {
  const readerIndex = site.index % size.zones;
  return site.index === readerIndex
    ? undefined
    : { address: siteAddress(readerIndex), controlPort: CONTROL_PORT };
}

/** What happens to the fleet while it is measured. */
export const SCENARIO_NAMES = ['quiet', 'churn', 'churn-tenfold', 'herd', 'cut'] as const;
export type ScenarioName = (typeof SCENARIO_NAMES)[number];

/** Times of a scenario. */
export interface Scenario {
  readonly durationMs: number;
  /** Time between two changes of the configuration. */
  readonly changeIntervalMs: number;
  /** Restart a herd at this time, and start it again this much later. */
  readonly herd?: { readonly atMs: number; readonly downMs: number };
  readonly cut?: { readonly atMs: number; readonly healAtMs: number };
}

const MINUTE_MS = 60_000;

/** 860 changes a day, the users' rate, are one in 100 s. */
const CHANGE_INTERVAL_MS = 100_000;

export const SCENARIOS: Readonly<Record<ScenarioName, Scenario>> = {
  quiet: { durationMs: 10 * MINUTE_MS, changeIntervalMs: 5 * MINUTE_MS },
  churn: { durationMs: 20 * MINUTE_MS, changeIntervalMs: CHANGE_INTERVAL_MS },
  'churn-tenfold': { durationMs: 10 * MINUTE_MS, changeIntervalMs: CHANGE_INTERVAL_MS / 10 },
  herd: {
    durationMs: 10 * MINUTE_MS,
    changeIntervalMs: CHANGE_INTERVAL_MS,
    herd: { atMs: 2 * MINUTE_MS, downMs: 30_000 },
  },
  cut: {
    durationMs: 75 * MINUTE_MS,
    changeIntervalMs: CHANGE_INTERVAL_MS,
    cut: { atMs: 5 * MINUTE_MS, healAtMs: 65 * MINUTE_MS },
  },
};
