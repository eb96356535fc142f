/** Picks whom to dial: by place from the machine list, else from members met and from seeds. */
import type { RandomSource } from '../control/control-event.js';
import type { MachineIndex } from './machine-index.js';
import type { MemberTable } from './member-table.js';
import type { PeerAddress, PeerIdentity } from './peer-identity.js';

/** What a link is for: own zone, another zone of the region, another region, or any first contact. */
export const LINK_SCOPES = ['zone', 'region', 'remote', 'contact'] as const;
export type LinkScope = (typeof LINK_SCOPES)[number];

/** Candidates looked at in one pick, so that a pick costs the same in any fleet. */
const MAX_CANDIDATES_PER_PICK = 16;

/** Share of first contacts sought among members met rather than seeds, once any was met. */
const KNOWN_MEMBER_SHARE = 0.75;

/** Text form of an address, for keys of maps. */
export function addressKey(target: PeerAddress): string {
  return `${target.address}:${target.controlPort}`;
}

/** Someone to dial. `id` is absent for seeds. */
export interface DialCandidate extends PeerAddress {
  readonly id?: string;
}

/** Candidates by place. */
export class DialCandidates {
  constructor(
    private readonly self: PeerIdentity,
    private readonly seeds: readonly PeerAddress[],
    private readonly members: MemberTable,
    private readonly random: RandomSource,
  ) {}

  /**
   * A random candidate for which `isFree` holds. Members held dead are taken only when no other was
   * met: that is how the two sides of a healed partition find each other again.
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

  /** Candidates for a place; the next list is looked at when the one before has none. */
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

  /** Members met first, mostly, since seeds are what every newcomer dials. */
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
