/** Executes the decisions of {@link HandoverChoice}: asks peers over HTTP and applies their answers to the replica. */
import { MACHINE_CLOCK } from '../clock/machine-clock.js';
import type { ProgressTimeouts } from '../clock/progress-timer.js';
import type { CounterSink, RandomSource } from '../control/control-event.js';
import type { ReplicaHandover, StoreReplica } from '../store/store-replica.js';
import { eraOf } from '../store/store-revision.js';
import { fetchText, type FetchedText } from './delta-fetch.js';
import { HandoverChoice, type HandoverOutcome } from './handover-choice.js';
import { decodeHandover } from './handover-message.js';

/** Path of what a node carries from before a restore of the store. */
export const HANDOVER_PATH = '/handover';
/** A node waits for these answers before it is ready, so that a silent peer must not hold it up for long. */
const HANDOVER_TIMEOUTS: ProgressTimeouts = { beginMs: 400, idleMs: 400 };
const OK_STATUS = 200;
const HANDOVERS_COUNTER = 'ferryspool_handover_requests_total';

/** Options of a {@link HandoverExchange}. */
export interface HandoverExchangeOptions {
  readonly replica: StoreReplica;
  /** Port that serves {@link HANDOVER_PATH}, the same on every machine. */
  readonly port: number;
  readonly random: RandomSource;
  readonly counters: CounterSink;
  /** The other machines that are known. */
  readonly peers: () => readonly string[];
  /** Called after each answer of a peer in the same era; `hasChanged` is whether the replica carries more than before. */
  readonly onAnswer: (peer: string, hasChanged: boolean) => void;
  /** Called when the last of the asked peers turned out to know nothing. */
  readonly onNobodyKnows: () => void;
}

/** Learns what the peers of one node carry. */
export class HandoverExchange {
  private readonly choice: HandoverChoice;
  private isClosed = false;

  constructor(private readonly options: HandoverExchangeOptions) {
    this.choice = new HandoverChoice(options.random);
  }

  /** Whether the node knows all that it can expect to learn from its peers now. */
  get isSettled(): boolean {
    return this.choice.isSettled;
  }

  close(): void {
    this.isClosed = true;
  }

  /** Must be called several times a second, and once the machines are known. */
  tick(): void {
    const { replica, peers, counters } = this.options;
    const era = eraOf(replica.revision);
    for (const peer of this.choice.next(era, peers, MACHINE_CLOCK.now())) {
      counters.add(HANDOVERS_COUNTER);
      void this.ask(peer);
    }
  }

  private async ask(host: string): Promise<void> {
    const { port, replica, onAnswer, onNobodyKnows } = this.options;
    const fetched = await fetchText({ host, port, path: HANDOVER_PATH }, HANDOVER_TIMEOUTS);
    if (this.isClosed) {
      return;
    }
    const handover = handoverIn(fetched);
    const outcome = outcomeOf(handover && eraOf(handover.revision), eraOf(replica.revision));
    this.choice.handleOutcome(host, outcome, MACHINE_CLOCK.now());
    if (handover !== undefined && outcome === 'answered') {
      onAnswer(host, replica.takeOver(handover));
    } else if (this.isSettled) {
      onNobodyKnows();
    }
  }
}

function handoverIn(fetched: FetchedText): ReplicaHandover | undefined {
  const isAnswer = fetched.outcome === 'response' && fetched.status === OK_STATUS;
  return isAnswer ? decodeHandover(fetched.text) : undefined;
}

function outcomeOf(era: number | undefined, ownEra: number): HandoverOutcome {
  if (era === undefined) {
    return 'unhelpful';
  }
  return era === ownEra ? 'answered' : 'other-era';
}
