/**
 * Chooses the peers that a node asks what they carry from before a restore of the store. A node that starts knows the store
 * alone, which may have been restored to a state that its peers know to be outdated. It is not ready until a peer has
 * answered, or until all peers that it asks have started as well and know no more than it does. Nodes that were running ask
 * too, since one may have missed what was written last. Pure: events in, peers to ask out.
 */
import type { RandomSource } from '../control/control-event.js';

/** Peers that are asked at the most, so that the cost of a start does not grow with the fleet. */
const MAX_CANDIDATES = 16;
/** Answers after which no more peers are asked: a single peer may have missed the last changes too. */
const WANTED_ANSWERS = 3;
/** Time until a peer is asked again that has not heard of the restore, in milliseconds. */
const OTHER_ERA_RETRY_MS = 150;
/** Time until a peer is asked again that knows nothing or did not answer, in milliseconds. */
const UNHELPFUL_RETRY_MS = 1_000;
/** Time after which no more peers are asked, in milliseconds. */
const MAX_ASKING_MS = 10_000;

/**
 * - `answered`: it has told what it carries.
 * - `other-era`: it has not heard of the restore yet, or knows of a later one.
 * - `unhelpful`: it has started too, there is no process, or it did not answer.
 */
export type HandoverOutcome = 'answered' | 'other-era' | 'unhelpful';

interface Candidate {
  readonly peer: string;
  nextAtMs: number;
  isAsked: boolean;
  outcome: HandoverOutcome | undefined;
}

/** The choice of one node. A store that has never been restored is in era 0, in which nothing is carried. */
export class HandoverChoice {
  private candidates: Candidate[] = [];
  private era = 0;
  private beganAtMs = 0;

  constructor(private readonly random: RandomSource) {}

  /** Whether the node knows all that it can expect to learn from its peers now. */
  get isSettled(): boolean {
    return (
      this.era === 0 ||
      this.answerCount > 0 ||
      this.candidates.every(({ outcome }) => outcome === 'unhelpful')
    );
  }

  /** The peers to ask now, if the replica is in `era`; they count as asked until {@link handleOutcome}. */
  next(era: number, peers: () => readonly string[], nowMs: number): string[] {
    if (era === 0) {
      return [];
    }
    if (era !== this.era || this.candidates.length === 0) {
      this.begin(era, peers(), nowMs);
    }
    if (nowMs - this.beganAtMs >= MAX_ASKING_MS) {
      return [];
    }
    const askedCount = this.candidates.filter(({ isAsked }) => isAsked).length;
    const wantedCount = Math.max(0, WANTED_ANSWERS - this.answerCount - askedCount);
    const chosen = this.candidates
      .filter(({ isAsked, outcome, nextAtMs }) => {
        return !isAsked && outcome !== 'answered' && nowMs >= nextAtMs;
      })
      .slice(0, wantedCount);
    chosen.forEach((candidate) => {
      candidate.isAsked = true;
    });
    return chosen.map(({ peer }) => peer);
  }

  /** Records how asking a peer ended. */
  handleOutcome(peer: string, outcome: HandoverOutcome, nowMs: number): void {
    const candidate = this.candidates.find((one) => one.peer === peer);
    if (candidate !== undefined) {
      candidate.isAsked = false;
      candidate.outcome = outcome;
      const retryMs = outcome === 'other-era' ? OTHER_ERA_RETRY_MS : UNHELPFUL_RETRY_MS;
      candidate.nextAtMs = nowMs + retryMs;
    }
  }

  private get answerCount(): number {
    return this.candidates.filter(({ outcome }) => outcome === 'answered').length;
  }

  private begin(era: number, peers: readonly string[], nowMs: number): void {
    this.era = era;
    this.beganAtMs = nowMs;
    this.candidates = peers
      .map((peer) => ({ peer, rank: this.random() }))
      .sort((left, right) => left.rank - right.rank)
      .slice(0, MAX_CANDIDATES)
      .map(({ peer }) => ({ peer, nextAtMs: nowMs, isAsked: false, outcome: undefined }));
  }
}
