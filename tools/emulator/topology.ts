/** Where the emulated machines stand, how long messages travel between them, and what is cut. */
import type { RandomSource } from '../../src/control/control-event.js';

/** Placement of one machine. */
export interface Site {
  /** Position in the fleet, from 0; also settles the machine's address. */
  readonly index: number;
  readonly id: string;
  readonly zone: string;
  readonly region: string;
}

/** One-way latencies in milliseconds. */
export interface LatencyOptions {
  readonly sameZoneMs: number;
  readonly crossZoneMs: number;
  readonly crossRegionMs: number;
  /** To the platform's configuration service. */
  readonly platformMs: number;
  /** Jitter, as a share of the latency that may be added. */
  readonly jitter: number;
}

/** Latencies of the users' networks: zones about 1.5 ms apart; regions are this tool's assumption. */
export const DEFAULT_LATENCY: LatencyOptions = {
  sameZoneMs: 0.3,
  crossZoneMs: 1.5,
  crossRegionMs: 30,
  platformMs: 5,
  jitter: 0.3,
};

/** A part of the fleet. */
export interface SiteGroup {
  readonly by: 'zone' | 'region' | 'id';
  readonly names: readonly string[];
}

/**
 * Which way a cut swallows messages between the group and all others: `outbound` loses those that
 * leave the group, `inbound` those that enter it.
 */
export type CutDirection = 'both' | 'outbound' | 'inbound';

/** A cut between one group and everything else. */
export interface Cut {
  readonly group: SiteGroup;
  readonly direction: CutDirection;
  /** Whether the group loses the platform too. */
  readonly withPlatform: boolean;
}

/** Builds `zones` zones over `regions` regions, machines dealt out evenly. */
export function evenSites(machines: number, zones: number, regions: number): Site[] {
  return Array.from({ length: machines }, (_, index) => {
    const zone = index % zones;
    const region = zone % regions;
    return { index, id: `machine-${index}`, zone: `zone-${zone}`, region: `region-${region}` };
  });
}

/** Address of the machine at `index`, in the private range. */
export function siteAddress(index: number): string {
  return `10.${(index >> 16) & 255}.${(index >> 8) & 255}.${index & 255}`;
}

/** Whether the site belongs to the group. */
export function isInGroup(site: Site, group: SiteGroup): boolean {
  return group.names.includes(site[group.by]);
}

/** The emulated network's latencies and cuts. */
export class Topology {
  private cuts: Cut[] = [];

  constructor(
    readonly latency: LatencyOptions,
    private readonly random: RandomSource,
  ) {}

  get hasCuts(): boolean {
    return this.cuts.length > 0;
  }

  addCut(cut: Cut): void {
    this.cuts.push(cut);
  }

  healAll(): void {
    this.cuts = [];
  }

  /** Whether a message from one site to another is lost now. */
  isCut(from: Site, to: Site): boolean {
    return this.cuts.some((cut) => {
      const fromInside = isInGroup(from, cut.group);
      const toInside = isInGroup(to, cut.group);
      return fromInside !== toInside && swallows(cut.direction, fromInside);
    });
  }

  /** Whether the site can not reach the platform now. */
  isCutFromPlatform(site: Site): boolean {
    return this.cuts.some((cut) => cut.withPlatform && isInGroup(site, cut.group));
  }

  /** One-way time of the next message, in milliseconds. */
  travelMs(from: Site, to: Site): number {
    return this.withJitter(this.baseLatencyMs(from, to));
  }

  /** One-way time to or from the platform, in milliseconds. */
  platformTravelMs(): number {
    return this.withJitter(this.latency.platformMs);
  }

  private withJitter(latencyMs: number): number {
    return latencyMs * (1 + this.latency.jitter * this.random());
  }

  private baseLatencyMs(from: Site, to: Site): number {
    if (from.region !== to.region) {
      return this.latency.crossRegionMs;
    }
    return from.zone === to.zone ? this.latency.sameZoneMs : this.latency.crossZoneMs;
  }
}

function swallows(direction: CutDirection, fromInside: boolean): boolean {
  return direction === 'both' || (direction === 'outbound') === fromInside;
}
