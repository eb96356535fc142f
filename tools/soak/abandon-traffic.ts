/** Callers that come in groups, send to one machine at the same moment, and leave before they are answered. */
import type http from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import type { RandomSource } from '../../src/control/control-event.js';
import { callerAgent } from './caller-agent.js';
import { between } from './draws.js';
import { sendCall, type SoakRequest } from './soak-client.js';
import {
  JOB_PREFIX,
  LONG_TIMEOUT_MS,
  SAFE_PREFIX,
  SCAN_PREFIX,
  SOAK_HOST,
  UNSAFE_PREFIX,
  ROUTE_TIMEOUT_MS,
} from './soak-configuration.js';
import type { SoakFleet, SoakMachine } from './soak-fleet.js';
import type { SoakCall } from './soak-record.js';

const MAX_GROUP = 24;
/** Mean time between two groups, in milliseconds. */
const MEAN_GAP_MS = 250;
const MAX_LEAVES_AFTER_MS = 300;
const NEW_CONNECTION_SHARE = 0.4;
const UNSAFE_SHARE = 0.3;
const LONG_SHARE = 0.5;
const DEADLINE_MS = 5_000;
/** Bodies of unsafe requests, in bytes: some do not fit one frame, or one read. */
const MAX_BODY_BYTES = 120_000;

/** What the traffic is made with. */
export interface AbandonTrafficParams {
  readonly fleet: SoakFleet;
  readonly random: RandomSource;
  readonly nowMs: () => number;
  /** Whether callers keep their connections open when they leave; the promises break then. */
  readonly hidesLeaves: boolean;
}

/** The traffic, from its start until it is stopped. */
export class AbandonTraffic {
  readonly calls: SoakCall[] = [];
  private readonly underWay = new Set<Promise<void>>();
  private readonly agents = new Map<number, http.Agent>();
  private isStopped = false;
  private count = 0;

  constructor(private readonly params: AbandonTrafficParams) {}

  /** Sends until {@link stop}. */
  async run(): Promise<void> {
    const { fleet, random } = this.params;
    while (!this.isStopped) {
      await delay(-Math.log(1 - random()) * MEAN_GAP_MS);
      const machine = fleet.machines[Math.floor(random() * fleet.machines.length)];
      const size = 1 + Math.floor(random() * MAX_GROUP);
      for (let idx = 0; idx < size && machine !== undefined && !this.isStopped; idx += 1) {
        this.send(machine);
      }
    }
  }

  /** Sends nothing more, and resolves when all that is under way is over. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.underWay);
    this.agents.forEach((agent) => agent.destroy());
  }

  private send(machine: SoakMachine): void {
    const sent = sendCall(this.requestAt(machine)).then((call) => {
      this.calls.push(call);
      this.underWay.delete(sent);
    });
    this.underWay.add(sent);
  }

  private requestAt(machine: SoakMachine): SoakRequest {
    const { random, nowMs, hidesLeaves } = this.params;
    this.count += 1;
    const id = `l${this.count}`;
    const isSafe = random() >= UNSAFE_SHARE;
    const isLong = random() < LONG_SHARE;
    const prefix = isSafe
      ? isLong
        ? SCAN_PREFIX
        : SAFE_PREFIX
      : isLong
        ? JOB_PREFIX
        : UNSAFE_PREFIX;
    return {
      id,
      machine: machine.idx,
      life: machine.life,
      isSafe,
      target: `${prefix}${id}`,
      body: isSafe ? '' : 'x'.repeat(1 + Math.floor(random() * MAX_BODY_BYTES)),
      addedBy: undefined,
      deadlineMs: DEADLINE_MS,
      timeoutMs: isLong ? LONG_TIMEOUT_MS : ROUTE_TIMEOUT_MS,
      place: machine.caller,
      host: SOAK_HOST,
      agent: random() < NEW_CONNECTION_SHARE ? undefined : this.agentOf(machine.idx),
      leavesAfterMs: between(1, MAX_LEAVES_AFTER_MS, random),
      hidesLeave: hidesLeaves,
      nowMs,
    };
  }

  private agentOf(idx: number): http.Agent {
    const agent = this.agents.get(idx) ?? callerAgent();
    this.agents.set(idx, agent);
    return agent;
  }
}
