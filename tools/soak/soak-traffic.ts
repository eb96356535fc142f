/** Callers of all machines of a soak, at a steady rate, and probes of the newest routes. */
import type http from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import type { RandomSource } from '../../src/control/control-event.js';
import { callerAgent } from './caller-agent.js';
import { pick } from './draws.js';
import type { SoakCall } from './soak-record.js';
import { sendCall, type SoakRequest } from './soak-client.js';
import {
  addedPrefix,
  INVALID_PREFIX,
  JOB_PREFIX,
  LONG_TIMEOUT_MS,
  MOVED_PREFIX,
  ROUTE_TIMEOUT_MS,
  SAFE_PREFIX,
  SCAN_PREFIX,
  SOAK_HOST,
  UNSAFE_PREFIX,
} from './soak-configuration.js';
import type { SoakFleet, SoakMachine } from './soak-fleet.js';
import { SOAK_TERMS } from './soak-terms.js';

const MS_PER_SECOND = 1_000;
const UNSAFE_SHARE = 0.3;
const PROBE_SHARE = 0.25;
const NEW_CONNECTION_SHARE = 0.3;
const LEAVES_SHARE = 0.05;
const MAX_LEAVES_AFTER_MS = 200;
const DEADLINES_MS = [400, 1_000, 2_000, 3_000] as const;
/** Time that callers give to requests that work for long. */
const LONG_DEADLINES_MS = [3_000, 6_000] as const;

/** What the traffic is made with. */
export interface TrafficParams {
  readonly fleet: SoakFleet;
  readonly random: RandomSource;
  readonly nowMs: () => number;
  /** Requests a second, of all machines together. */
  readonly perSecond: number;
  /** Share of the requests that work for long. */
  readonly longShare: number;
  /** Share of the requests on the route that moves, and on routes of configurations that are not valid. */
  readonly movedShare: number;
  readonly invalidShare: number;
}

type DrawnRoute = Pick<SoakRequest, 'isSafe' | 'target' | 'body' | 'addedBy'>;

/** The traffic, from its start until it is stopped. */
export class SoakTraffic {
  readonly calls: SoakCall[] = [];
  private readonly underWay = new Set<Promise<void>>();
  private readonly agents = new Map<number, http.Agent>();
  private isStopped = false;
  private count = 0;

  constructor(private readonly params: TrafficParams) {}

  /** Sends until {@link stop}; arrivals are random and do not wait for answers. */
  async run(): Promise<void> {
    const { random, perSecond } = this.params;
    let nextAtMs = this.params.nowMs();
    while (!this.isStopped) {
      nextAtMs += (-Math.log(1 - random()) * MS_PER_SECOND) / perSecond;
      await delay(Math.max(0, nextAtMs - this.params.nowMs()));
      if (!this.isStopped) {
        this.sendOne();
      }
    }
  }

  /** Sends nothing more, and resolves when all that is under way is over. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.underWay);
    this.agents.forEach((agent) => agent.destroy());
  }

  private sendOne(): void {
    const { fleet, random } = this.params;
    const machine = fleet.machines[Math.floor(random() * fleet.machines.length)];
    if (machine === undefined) {
      return;
    }
    const sent = sendCall(this.requestAt(machine)).then((call) => {
      this.calls.push(call);
      this.underWay.delete(sent);
    });
    this.underWay.add(sent);
  }

  private requestAt(machine: SoakMachine): SoakRequest {
    const { random, nowMs } = this.params;
    this.count += 1;
    const id = `q${this.count}`;
    return {
      ...this.drawRequest(id),
      id,
      machine: machine.idx,
      life: machine.life,
      place: machine.caller,
      host: SOAK_HOST,
      agent: random() < NEW_CONNECTION_SHARE ? undefined : this.agentOf(machine.idx),
      leavesAfterMs: random() < LEAVES_SHARE ? random() * MAX_LEAVES_AFTER_MS : Infinity,
      nowMs,
    };
  }

  private drawRequest(id: string): DrawnRoute & Pick<SoakRequest, 'deadlineMs' | 'timeoutMs'> {
    const { random, longShare, movedShare, invalidShare } = this.params;
    if (longShare > 0 && random() < longShare) {
      const isSafe = random() >= UNSAFE_SHARE;
      return {
        isSafe,
        target: `${isSafe ? SCAN_PREFIX : JOB_PREFIX}${id}`,
        body: isSafe ? '' : `order of ${id}`,
        addedBy: undefined,
        deadlineMs: pick(LONG_DEADLINES_MS, random),
        timeoutMs: LONG_TIMEOUT_MS,
      };
    }
    const deadlineMs = pick(DEADLINES_MS, random);
    const fixed = { isSafe: true, body: '', addedBy: undefined };
    if (movedShare > 0 && random() < movedShare) {
      return {
        ...fixed,
        target: `${MOVED_PREFIX}${id}`,
        deadlineMs,
        timeoutMs: ROUTE_TIMEOUT_MS,
      };
    }
    if (invalidShare > 0 && random() < invalidShare) {
      return {
        ...fixed,
        target: `${INVALID_PREFIX}${id}`,
        deadlineMs,
        timeoutMs: ROUTE_TIMEOUT_MS,
      };
    }
    return { ...this.drawRoute(id), deadlineMs, timeoutMs: ROUTE_TIMEOUT_MS };
  }

  private drawRoute(id: string): DrawnRoute {
    const { fleet, random } = this.params;
    if (random() < PROBE_SHARE) {
      const back = Math.floor(random() * (SOAK_TERMS.routeLifeInConfigurations + 1));
      const addedBy = Math.max(1, fleet.newestConfiguration - back);
      return { isSafe: true, target: `${addedPrefix(addedBy)}${id}`, body: '', addedBy };
    }
    const isSafe = random() >= UNSAFE_SHARE;
    const prefix = isSafe ? SAFE_PREFIX : UNSAFE_PREFIX;
    const target = `${prefix}${id}?n=${Math.floor(random() * 10)}`;
    return { isSafe, target, body: isSafe ? '' : `order of ${id}`, addedBy: undefined };
  }

  private agentOf(idx: number): http.Agent {
    const agent = this.agents.get(idx) ?? callerAgent();
    this.agents.set(idx, agent);
    return agent;
  }
}
