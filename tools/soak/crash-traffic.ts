/**
 * Callers that send few requests again and again, at any machine: each of these ends every back end that
 * begins to run it.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { RandomSource } from '../../src/control/control-event.js';
import { between } from './draws.js';
import { sendCall, type SoakRequest } from './soak-client.js';
import { ROUTE_TIMEOUT_MS, SAFE_PREFIX, SOAK_HOST, UNSAFE_PREFIX } from './soak-configuration.js';
import type { SoakFleet, SoakMachine } from './soak-fleet.js';
import type { SoakCall } from './soak-record.js';

/** Ends the paths of requests that end back ends, before their number. */
const CRASHING_NAME = 'crash-';
/** How many such requests there are, at least and at most. */
const MIN_REQUESTS = 1;
const MAX_REQUESTS = 3;
/** Time between two tries of one of them, in milliseconds. */
const MIN_GAP_MS = 50;
const MAX_GAP_MS = 400;
const DEADLINE_MS = 1_000;

/** Whether the request ends the back end that runs it. */
export function isCrashing(target: string): boolean {
  return target.includes(`/${CRASHING_NAME}`);
}

/** What the traffic is made with. */
export interface CrashTrafficParams {
  readonly fleet: SoakFleet;
  readonly random: RandomSource;
  readonly nowMs: () => number;
}

/** The traffic, from its start until it is stopped. */
export class CrashTraffic {
  readonly calls: SoakCall[] = [];
  private readonly underWay = new Set<Promise<void>>();
  private isStopped = false;
  private count = 0;

  constructor(private readonly params: CrashTrafficParams) {}

  /** Sends until {@link stop}. */
  async run(): Promise<void> {
    const { random } = this.params;
    const requests = MIN_REQUESTS + Math.floor(random() * (MAX_REQUESTS - MIN_REQUESTS + 1));
    await Promise.all(Array.from({ length: requests }, (_, idx) => this.repeat(idx)));
  }

  /** Sends nothing more, and resolves when all that is under way is over. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.underWay);
  }

  private async repeat(idx: number): Promise<void> {
    const { fleet, random } = this.params;
    while (!this.isStopped) {
      await delay(between(MIN_GAP_MS, MAX_GAP_MS, random));
      const machine = fleet.machines[Math.floor(random() * fleet.machines.length)];
      if (!this.isStopped && machine !== undefined) {
        this.send(this.requestAt(machine, idx));
      }
    }
  }

  private send(request: SoakRequest): void {
    const sent = sendCall(request).then((call) => {
      this.calls.push(call);
      this.underWay.delete(sent);
    });
    this.underWay.add(sent);
  }

  private requestAt(machine: SoakMachine, idx: number): SoakRequest {
    this.count += 1;
    const isSafe = idx % 2 === 0;
    return {
      id: `c${this.count}`,
      isSafe,
      target: `${isSafe ? SAFE_PREFIX : UNSAFE_PREFIX}${CRASHING_NAME}${idx}`,
      body: isSafe ? '' : 'the same each time',
      addedBy: undefined,
      machine: machine.idx,
      life: machine.life,
      place: machine.caller,
      host: SOAK_HOST,
      deadlineMs: DEADLINE_MS,
      timeoutMs: ROUTE_TIMEOUT_MS,
      agent: undefined,
      leavesAfterMs: Infinity,
      nowMs: this.params.nowMs,
    };
  }
}
