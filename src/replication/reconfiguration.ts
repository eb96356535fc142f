/**
 * Reconfiguration: the primary replaces voters that are dead, restarted or leaving, one at a time
 * and through the log. The voters of an epoch commit the operation that ends it.
 */
import type { PeerIdentity } from '../membership/peer-identity.js';
import { HEARTBEAT_INTERVAL_MS, type ReplicaCore } from './replica-core.js';
import type { LogOperation } from './replication-message.js';
import { configurationEntry, voterOf, type Voter } from './voter-configuration.js';

/** Time without a message after which a voter is replaced, in milliseconds. */
export const REPLACEMENT_TIMEOUT_MS = 30_000;
/** Time for which only candidates of the best zone are eligible, in milliseconds. */
const BEST_ZONE_TIMEOUT_MS = 5_000;

/** Determines the next change of the voters. */
export class Reconfiguration {
  /** Time since which a voter has been missing; undefined while none is. */
  private missingSinceMs: number | undefined;
  private lastDialMs = -Infinity;
  private dialCount = 0;

  constructor(private readonly core: ReplicaCore) {}

  /**
   * The operation that replaces or adds one voter; undefined if no change is needed or possible.
   */
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

  /**
   * The voters with one replaced or added. The primary comes first and therefore remains primary.
   */
  private improvedVoters(): Voter[] | undefined {
    const { state, options, nowMs } = this.core;
    const voters = state?.configuration.voters ?? [];
    const others = voters.filter((voter) => voter.id !== options.self.id);
    const replaced =
      others.find((voter) => this.isReplaceable(voter)) ?? this.findDisplacedVoter(others);
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
   * A voter to be replaced by a machine that the settings declare. Declared machines are preferred
   * as voters, so that the machines that could form a first group remember the existing one.
   */
  private findDisplacedVoter(others: readonly Voter[]): Voter | undefined {
    const { initialVoterIds } = this.core.options;
    const hasCandidate = this.declaredCandidates(others).some((member) => this.isLinked(member));
    return hasCandidate ? others.find((voter) => !initialVoterIds.includes(voter.id)) : undefined;
  }

  private declaredCandidates(kept: readonly Voter[]): readonly PeerIdentity[] {
    const { options } = this.core;
    const taken = new Set([options.self.id, ...kept.map((voter) => voter.id)]);
    return options.fleet
      .liveMembers()
      .filter(({ id }) => options.initialVoterIds.includes(id) && !taken.has(id));
  }

  private isReplaceable(voter: Voter): boolean {
    const { options, links, lastReceivedMs, nowMs } = this.core;
    const link = links.get(voter.id);
    const hasRestarted = link !== undefined && link.incarnation !== voter.incarnation;
    const isUnresponsive = nowMs - (lastReceivedMs.get(voter.id) ?? 0) >= REPLACEMENT_TIMEOUT_MS;
    const { fleet } = options;
    return hasRestarted || isUnresponsive || fleet.isGone(voter.id) || fleet.isLeaving(voter.id);
  }

  /**
   * A linked member in one of the zones with the fewest voters, or in any zone once
   * {@link BEST_ZONE_TIMEOUT_MS} has passed. Declared machines come first.
   */
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
    const eligible = waitedMs < BEST_ZONE_TIMEOUT_MS ? best : candidates;
    const linked = eligible.find((member) => this.isLinked(member));
    if (linked === undefined) {
      this.dialNext(best);
    }
    return linked;
  }

  private dialNext(candidates: readonly PeerIdentity[]): void {
    const { core } = this;
    const unlinked = candidates.filter((member) => !this.isLinked(member));
    const next = unlinked[this.dialCount % Math.max(1, unlinked.length)];
    if (next === undefined || core.nowMs - this.lastDialMs < HEARTBEAT_INTERVAL_MS) {
      return;
    }
    this.lastDialMs = core.nowMs;
    this.dialCount += 1;
    core.dial(next);
  }

  private isLinked(member: PeerIdentity): boolean {
    return this.core.links.get(member.id)?.incarnation === member.incarnation;
  }
}

function isSameProcess(member: PeerIdentity, voter: Voter | undefined): boolean {
  return member.id === voter?.id && member.incarnation === voter.incarnation;
}
