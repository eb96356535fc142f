/** The settings that a soak starts a node with, and the ports that they name. */
import type { Place } from './link-proxy.js';
import { SOAK_TERMS } from './soak-terms.js';

/** Where a node listens for other nodes. */
export const RELAY_PORT = 22_300;
/** Where a node listens for callers. */
export const CALLER_PORT = 22_304;
const READY_PORT = 22_302;
const FIRST_INTERNAL_PORT = 22_320;
const INTERNAL_PORTS = 10;
const MS_PER_SECOND = 1_000;
/** Requests of a service that may be sent again, as a share of all, fleet-wide. */
const RETRY_RATIO = 0.2;
/** Further ones that the fleet may send again in a burst. */
const MIN_RETRIES = 60;
/** Window over which retries are counted, in seconds. */
const RETRY_WINDOW_S = 10;

/** What a node's settings depend on. */
export interface NodePlaces {
  readonly idx: number;
  readonly zone: string;
  readonly host: string;
  readonly relay: Place;
  readonly toStore: Place;
  readonly service: string;
}

/** The settings file of a node. */
export function settingsText(places: NodePlaces): string {
  const { idx, zone, host, relay, toStore, service } = places;
  const lastInternalPort = FIRST_INTERNAL_PORT + INTERNAL_PORTS - 1;
  return [
    `self.nodeName=soak-${idx}`,
    `self.ip=${host}`,
    `self.zone=${zone}`,
    'self.region=r1',
    `self.service=${service}`,
    `network.listenAddrs.inbound=${relay.address}:${relay.port}`,
    `network.listenAddrs.outbound=${host}:${CALLER_PORT}`,
    `network.listenAddrs.ready=${host}:${READY_PORT}`,
    `network.internalPortRange=${FIRST_INTERNAL_PORT},${lastInternalPort}`,
    `network.zones.${zone}=r1`,
    `platform.platform.address=${toStore.address}:${toStore.port}`,
    `terms.bounds.graceS=${SOAK_TERMS.graceMs / MS_PER_SECOND}`,
    `terms.bounds.retryBudgetRatio=${RETRY_RATIO}`,
    `terms.bounds.budgetMinRetries=${MIN_RETRIES}`,
    `terms.bounds.budgetWindowS=${RETRY_WINDOW_S}`,
  ].join('\n');
}

/** Machines of the first zone where no number of zones is given. */
const MACHINES_OF_FIRST_ZONE = 4;

/**
 * The zone of a machine, one of `zones` of about the same size. Without that number, there are four machines in the first
 * zone and one in each further one. Nine machines so have six zones, two readers each, and two nodes that follow others.
 */
export function zoneOf(idx: number, zones: number | undefined): string {
  const number = zones === undefined ? Math.max(1, idx - MACHINES_OF_FIRST_ZONE + 2) : idx % zones;
  return `z${number}`;
}
