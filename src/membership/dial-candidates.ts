/**
 * Selects peers to dial: by zone and region from the machine list, else from known members and
 * seeds.
 */
import type { RandomSource } from '../control/control-event.js';
import type { MachineIndex } from './machine-index.js';
import type { MemberTable } from './member-table.js';
import type { PeerAddress, PeerIdentity } from './peer-identity.js';

/**
 * Target of a link: the own zone, another zone of the region, another region, or any first contact.
 */
export const LINK_SCOPES = ['zone', 'region', 'remote', 'contact'] as const;
export type LinkScope = (typeof LINK_SCOPES)[number];

/** Candidates examined per pick, so that the cost of a pick does not depend on the fleet size. */
const MAX_CANDIDATES_PER_PICK = 16;

/** Probability that a first contact is chosen from known members before seeds, if any are known. */
const KNOWN_MEMBER_SHARE = 0.75;

/** Address and port as a map key. */
export function addressKey(target: PeerAddress): string {
  return `${target.address}:${target.controlPort}`;
}

/** A peer to dial. `id` is absent for seeds. */
export interface DialCandidate extends PeerAddress {
  readonly id?: string;
}

/** Candidates for each link scope. */
export class DialCandidates {
  constructor(
    private readonly self: PeerIdentity,
    private readonly seeds: readonly PeerAddress[],
    private readonly members: MemberTable,
    private readonly random: RandomSource,
  ) {}

  /**
   * Returns a random candidate for which `isAvailable` holds. Suspected and dead members are chosen
   * only if no other candidate was found: this lets the two sides of a healed partition reconnect.
   */
  pick(
    scope: LinkScope,
    machines: MachineIndex,
    isAvailable: (candidate: DialCandidate) => boolean,
  ): DialCandidate | undefined {
    for (const list of this.candidateLists(scope, machines)) {
      const candidate = this.pickFrom(list, isAvailable);
      if (candidate !== undefined) {
        return candidate;
      }
    }
    return undefined;
  }

  private pickFrom(
    candidates: readonly DialCandidate[],
    isAvailable: (candidate: DialCandidate) => boolean,
  ): DialCandidate | undefined {
    const start = Math.floor(this.random() * candidates.length);
    const steps = Math.min(candidates.length, MAX_CANDIDATES_PER_PICK);
    let fallback: DialCandidate | undefined;
    for (let step = 0; step < steps; step += 1) {
      const candidate = candidates[(start + step) % candidates.length];
      if (candidate === undefined || this.isSelf(candidate) || !isAvailable(candidate)) {
        continue;
      }
      const status = candidate.id === undefined ? 'alive' : this.members.status(candidate.id);
      if (status === 'alive' || status === undefined) {
        return candidate;
      }
      if (status !== 'leaving') {
        fallback ??= candidate;
      }
    }
    return fallback;
  }

  /** Candidate lists for a scope, in order of preference. */
  private candidateLists(
    scope: LinkScope,
    machines: MachineIndex,
  ): readonly (readonly DialCandidate[])[] {
    const { zone, region } = this.self;
    switch (scope) {
      case 'zone':
        return [machines.inZone(zone)];
      case 'region':
        return [machines.inZone(this.pickName(otherThan(machines.zonesOf(region), zone)))];
      case 'remote':
        return [machines.inRegion(this.pickName(otherThan(machines.regionNames(), region)))];
      case 'contact':
        return this.contacts();
    }
  }

  /** Usually prefers known members over seeds, because every new node dials the seeds. */
  private contacts(): readonly (readonly DialCandidate[])[] {
    const knownMembers = [...this.members.all()].map((record) => record.identity);
    const prefersKnownMembers = this.random() < KNOWN_MEMBER_SHARE;
    return prefersKnownMembers ? [knownMembers, this.seeds] : [this.seeds, knownMembers];
  }

  private pickName(names: readonly string[]): string {
    return names[Math.floor(this.random() * names.length)] ?? '';
  }

  private isSelf(candidate: DialCandidate): boolean {
    return candidate.id === this.self.id || addressKey(candidate) === addressKey(this.self);
  }
}

function otherThan(names: readonly string[], own: string): readonly string[] {
  return names.filter((name) => name !== own);
}
