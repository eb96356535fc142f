/** The peer from which a request's current attempt awaits its answer. */
import type { Endpoint } from '../model/resource.js';
import type { AwaitedAttempt } from './awaited-attempts.js';
import type { RequestServices } from './request-services.js';

/** The awaited peer of one request, across its successive attempts. */
export class AwaitedPeer {
  /** The machine of the awaited peer; undefined when no peer is awaited. */
  private machineId: string | undefined;

  constructor(
    private readonly services: RequestServices,
    private readonly attempt: AwaitedAttempt,
  ) {}

  get isAwaited(): boolean {
    return this.machineId !== undefined;
  }

  /** Starts to await the node on the endpoint's machine, unless that is this node. */
  startAwaiting(endpoint: Endpoint, nowMs: number): void {
    this.machineId = this.services.relayMachineOf(endpoint);
    if (this.machineId !== undefined) {
      this.services.awaited.add(this.machineId, this.attempt, nowMs);
    }
  }

  /** The peer answered, possibly with a refusal. */
  answerReceived(): void {
    if (this.machineId !== undefined) {
      this.services.recordResponse(this.machineId);
    }
    this.stopAwaiting();
  }

  stopAwaiting(): void {
    if (this.machineId !== undefined) {
      this.services.awaited.remove(this.machineId, this.attempt);
      this.machineId = undefined;
    }
  }
}
