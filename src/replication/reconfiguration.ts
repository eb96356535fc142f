/**
 * Reconfiguration: the primary replaces voters that are dead, restarted or leaving, one at a time,
 * through the log. The voters of an epoch decide on the operation that ends it.
 */
import type { PeerIdentity } from '../membership/peer-identity.js';
import { HEARTBEAT_INTERVAL_MS, type ReplicaCore } from './replica-core.js';
import type { LogOperation } from './replication-message.js';
import { configurationEntry, voterOf, type Voter } from './voter-configuration.js';

/** Silence after which a voter is replaced, in milliseconds. */
export const REPLACE_AFTER_MS = 30_000;
/** How long a candidate of the best zone is waited for, in milliseconds. */
const BEST_ZONE_WAIT_MS = 5_000;

/** Finds the next change of the voters. */
export class Reconfiguration {
  /** Since when a voter is missing; undefined while none is. */
  private missingSinceMs: number | undefined;
  private lastDialMs = -Infinity;
  private dialed = 0;

  constructor(private readonly core: ReplicaCore) {}

  /** The operation that improves the configuration by one voter; undefined when there is none. */
  nextOperation(): LogOperation | undefined {
    const { state, options } = this.core;
    const next = this.improvedVoters();
    if (state === undefined || next === undefined) {
      return undefined;
    }
    this.missingSinceMs = undefined;
    const { epoch, round } = state.configuration;
    const entry = configurationEntry({ epoch: epoch + 1, round, voters: next });
    return {
      number: state.number + 1,
      requestId: `${options.self.id}/${options.self.incarnation}/epoch-${epoch + 1}`,
      upserts: [entry],
      removals: [],
    };
  }

  /** Voters with one replaced or added; the primary stands first, and so goes on as primary. */
  private improvedVoters(): Voter[] | undefined {
    const { state, options, nowMs } = this.core;
    const voters = state?.configuration.voters ?? [];
    const others = voters.filter((voter) => voter.id !== options.self.id);
    const replaced =
      others.find((voter) => this.isReplaceable(voter)) ?? this.findDisplaced(others);
    if (replaced === undefined && voters.length >= options.targetVoterCount) {
      this.missingSinceMs = undefined;
      return undefined;
    }
    this.missingSinceMs ??= nowMs;
    const kept = [voterOf(options.self), ...others.filter((voter) => voter !== replaced)];
    const candidate = this.findCandidate(kept, replaced);
    return candidate === undefined ? undefined : [...kept, voterOf(candidate)];
  }

  /**
   * A voter that gives way to a machine that the settings declare. Declared machines are preferred,
   * so that those who could form a first group remember the group that there is.
   */
  private findDisplaced(others: readonly Voter[]): Voter | undefined {
    const { initialVoterIds } = this.core.options;
    const isAwaited = this.declaredCandidates(others).some((member) => this.isLinked(member));
    return isAwaited ? others.find((voter) => !initialVoterIds.includes(voter.id)) : undefined;
  }

  private declaredCandidates(kept: readonly Voter[]): readonly PeerIdentity[] {
    const { options } = this.core;
    const taken = new Set([options.self.id, ...kept.map((voter) => voter.id)]);
    return options.fleet
      .liveMembers()
      .filter(({ id }) => options.initialVoterIds.includes(id) && !taken.has(id));
  }

  private isReplaceable(voter: Voter): boolean {
    const { options, links, lastHeardMs, nowMs } = this.core;
    const link = links.get(voter.id);
    const hasRestarted = link !== undefined && link.incarnation !== voter.incarnation;
    const isSilent = nowMs - (lastHeardMs.get(voter.id) ?? 0) >= REPLACE_AFTER_MS;
    const { fleet } = options;
    return hasRestarted || isSilent || fleet.isGone(voter.id) || fleet.isLeaving(voter.id);
  }

  /** A linked member of a zone with the fewest voters; after a while one of any zone. */
  private findCandidate(
    kept: readonly Voter[],
    replaced: Voter | undefined,
  ): PeerIdentity | undefined {
    const { core } = this;
    const declared = this.declaredCandidates(kept).find(
      (member) => this.isLinked(member) && !isSameProcess(member, replaced),
    );
    if (declared !== undefined) {
      return declared;
    }
    const candidates = core.options.fleet
      .liveMembers()
      .filter((member) => !kept.some((voter) => voter.id === member.id))
      .filter((member) => !isSameProcess(member, replaced));
    const countInZone = (member: PeerIdentity): number =>
      kept.filter((voter) => voter.zone === member.zone).length;
    const fewest = Math.min(...candidates.map(countInZone));
    const best = candidates.filter((member) => countInZone(member) === fewest);
    const waitedMs = core.nowMs - (this.missingSinceMs ?? core.nowMs);
    const eligible = waitedMs < BEST_ZONE_WAIT_MS ? best : candidates;
    const linked = eligible.find((member) => this.isLinked(member));
    if (linked === undefined) {
      this.dialNext(best);
    }
    return linked;
  }

  private dialNext(candidates: readonly PeerIdentity[]): void {
    const { core } = this;
    const unlinked = candidates.filter((member) => !this.isLinked(member));
    const next = unlinked[this.dialed % Math.max(1, unlinked.length)];
    if (next === undefined || core.nowMs - this.lastDialMs < HEARTBEAT_INTERVAL_MS) {
      return;
    }
    this.lastDialMs = core.nowMs;
    this.dialed += 1;
    core.dial(next);
  }

  private isLinked(member: PeerIdentity): boolean {
    return this.core.links.get(member.id)?.incarnation === member.incarnation;
  }
}

function isSameProcess(member: PeerIdentity, voter: Voter | undefined): boolean {
  return member.id === voter?.id && member.incarnation === voter.incarnation;
}
