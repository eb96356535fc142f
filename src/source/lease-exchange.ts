/** Exchanges requests, answers and releases between this node's candidates, its own elector, and other electors. */
import type { ControlEffect, CounterSink } from '../control/control-event.js';
import { TargetLinks } from '../control/target-links.js';
import type { PeerIdentity } from '../membership/peer-identity.js';
import type { LeaseAnswerMessage, LeaseRequestMessage } from '../wire/message.js';
import type { Elector } from './elector.js';
import type { Electorate } from './electorate.js';
import type { ElectorCommand, LeaseCandidate } from './lease-candidate.js';
import { ROUND_TIMEOUT_MS } from './lease-terms.js';
import { SOURCE_COUNTERS } from './source-counters.js';

/** Sends the commands of candidates and answers the requests of other nodes. */
export class LeaseExchange {
  readonly links = new TargetLinks();
  private isStopped = false;

  constructor(
    private readonly identity: PeerIdentity,
    private readonly electorate: Electorate,
    private readonly elector: Elector,
    private readonly counters: CounterSink,
  ) {}

  /** Refuses all further requests. */
  stop(): void {
    this.isStopped = true;
  }

  /** Answers a request as an elector. */
  answerRequest(
    from: PeerIdentity,
    request: LeaseRequestMessage,
    nowMs: number,
  ): LeaseAnswerMessage {
    const guardedUntilMs = this.isStopped ? Infinity : this.electorate.guardedUntilMs(request.slot);
    const answer = this.elector.request(from, request, guardedUntilMs, nowMs);
    if (answer.granted) {
      this.counters.add(SOURCE_COUNTERS.leaseGrants);
    }
    return answer;
  }

  /** Sends commands; those addressed to this node are executed directly, including any resulting commands. */
  deliver(
    candidate: LeaseCandidate,
    commands: readonly ElectorCommand[],
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    const queue = [...commands];
    for (const { target, message } of queue) {
      if (!this.electorate.isSelf(target)) {
        this.counters.add(SOURCE_COUNTERS.leaseMessages);
        const wait = { key: message.slot, untilMs: nowMs + ROUND_TIMEOUT_MS };
        const isRequest = message.type === 'lease-request';
        effects.push(...this.links.send(target, message, isRequest ? wait : undefined));
      } else if (message.type === 'lease-release') {
        this.elector.release(this.identity, message, nowMs);
      } else {
        const answer = this.answerRequest(this.identity, message, nowMs);
        queue.push(...candidate.handleAnswer(this.identity, answer, nowMs));
      }
    }
  }
}
