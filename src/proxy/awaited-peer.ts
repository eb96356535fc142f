/** The peer whose node owes the answer of a request's attempt under way. */
import type { Endpoint } from '../model/resource.js';
import type { AwaitedAttempt } from './awaited-attempts.js';
import type { RequestServices } from './request-services.js';

/** Who owes the answer of one request, from one attempt to the next. */
export class AwaitedPeer {
  /** The machine whose node owes the answer; undefined when no peer does. */
  private machineId: string | undefined;

  constructor(
    private readonly services: RequestServices,
    private readonly attempt: AwaitedAttempt,
  ) {}

  /** Whether a peer owes the answer. */
  get isAwaited(): boolean {
    return this.machineId !== undefined;
  }

  /** An attempt begins: its answer comes over the node beside the endpoint, if that is another one. */
  awaitFor(endpoint: Endpoint, nowMs: number): void {
    this.machineId = this.services.relayMachineOf(endpoint);
    if (this.machineId !== undefined) {
      this.services.awaited.began(this.machineId, this.attempt, nowMs);
    }
  }

  /** The peer answered, if only with a refusal. */
  hasAnswered(): void {
    if (this.machineId !== undefined) {
      this.services.recordResponse(this.machineId);
    }
    this.stop();
  }

  /** Nothing is awaited any more. */
  stop(): void {
    if (this.machineId !== undefined) {
      this.services.awaited.ended(this.machineId, this.attempt);
      this.machineId = undefined;
    }
  }
}
