/** A caller: makes a request, comes back when it is refused, and keeps what it came to. */
import type { VirtualScheduler } from '../emulator/virtual-scheduler.js';
import type { PlannedRequest } from './call-plan.js';
import { FAULT_STATUS } from './emulated-endpoint.js';
import type { NodeRequest } from './emulated-node.js';
import { EmulatedReply, type Told } from './emulated-reply.js';
import type { RequestClass } from './scenario.js';

/** Status of a refusal. */
const REFUSED_STATUS = 503;
/** Statuses that say that an endpoint may have got the request. */
const GATEWAY_STATUSES: readonly number[] = [502, 504];

/** What a caller's request came to, after its last try. */
export interface CallerOutcome {
  readonly requestClass: RequestClass;
  /** `none` when the run was over before the caller was told anything. */
  readonly end: 'answered' | 'refused' | 'failed' | 'none';
  /** When the first try was made. */
  readonly startedAtMs: number;
  /** From the first try to the end. */
  readonly elapsedMs: number;
  /** How long each try was held that was told an error or a fault. */
  readonly heldMs: readonly number[];
  readonly tries: number;
  /** Tries that were told 502 or 504 although no endpoint got them. */
  readonly misreported: number;
}

/** What a caller needs of the run. */
export interface CallerWorld {
  readonly clock: VirtualScheduler;
  readonly run: (request: NodeRequest, reply: EmulatedReply, isRepeat: boolean) => void;
  /** Whether an endpoint got an attempt of the try. */
  readonly wasReached: (id: string) => boolean;
}

/** The credit of an outcome: whole in time, a part when late, none otherwise. */
export function worthOf({ requestClass, end, elapsedMs }: CallerOutcome): number {
  const { worth, lateShare, targetMs, deadlineMs } = requestClass;
  if (end !== 'answered' || elapsedMs > deadlineMs) {
    return 0;
  }
  return elapsedMs <= targetMs ? worth : worth * lateShare;
}

/** One request of a caller. */
export class EmulatedCaller {
  private tries = 0;
  private startedAtMs = 0;
  private tryStartedAtMs = 0;
  private end: CallerOutcome['end'] = 'none';
  private endedAtMs = Infinity;
  private misreported = 0;
  private readonly heldMs: number[] = [];

  constructor(
    private readonly world: CallerWorld,
    private readonly request: PlannedRequest,
  ) {}

  start(): void {
    this.startedAtMs = this.world.clock.nowMs;
    this.try();
  }

  get outcome(): CallerOutcome {
    const { end, heldMs, misreported, startedAtMs, tries } = this;
    const { requestClass } = this.request;
    const elapsedMs = this.endedAtMs - startedAtMs;
    return { requestClass, end, startedAtMs, elapsedMs, heldMs, tries, misreported };
  }

  private get deadlineAtMs(): number {
    return this.startedAtMs + this.request.requestClass.deadlineMs;
  }

  private try(): void {
    this.tries += 1;
    this.tryStartedAtMs = this.world.clock.nowMs;
    const { request, deadlineAtMs } = this;
    const id = `${request.id}t${this.tries}`;
    const reply = new EmulatedReply((told) => this.take(id, told));
    this.world.run({ request, id, deadlineAtMs, retries: undefined }, reply, this.tries > 1);
  }

  private take(id: string, told: Told): void {
    const nowMs = this.world.clock.nowMs;
    if (told.kind === 'answer' && told.status < FAULT_STATUS) {
      this.finish('answered');
      return;
    }
    this.heldMs.push(nowMs - this.tryStartedAtMs);
    const claimsToHaveReached = GATEWAY_STATUSES.includes(told.status);
    this.misreported += claimsToHaveReached && !this.world.wasReached(id) ? 1 : 0;
    const isRefused = told.status === REFUSED_STATUS && told.isNotRun;
    if (!isRefused || !this.comeBack(told)) {
      this.finish(isRefused ? 'refused' : 'failed');
    }
  }

  /** False when there is no use in it. */
  private comeBack({ retryAfterMs }: Told): boolean {
    const mayRetry = this.tries <= this.request.requestClass.callerRetries;
    if (!mayRetry || retryAfterMs === undefined) {
      return false;
    }
    const { nowMs } = this.world.clock;
    const { maxRetryWaitShare = Infinity } = this.request.requestClass;
    const maxWaitMs = (this.deadlineAtMs - nowMs) * maxRetryWaitShare;
    const atMs = nowMs + Math.min(retryAfterMs, maxWaitMs);
    if (atMs >= this.deadlineAtMs) {
      return false;
    }
    this.world.clock.schedule(atMs, { run: () => this.try() });
    return true;
  }

  private finish(end: CallerOutcome['end']): void {
    this.end = end;
    this.endedAtMs = this.world.clock.nowMs;
  }
}
