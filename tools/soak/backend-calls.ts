/** Calls that back ends make through the nodes beside them while they work on a request. */
import type http from 'node:http';
import { callerAgent } from './caller-agent.js';
import { sendCall } from './soak-client.js';
import { CALLED_PREFIX, ROUTE_TIMEOUT_MS, SOAK_HOST } from './soak-configuration.js';
import type { SoakMachine } from './soak-fleet.js';
import type { SoakCall } from './soak-record.js';
import { demandQuery } from './work-demand.js';

/** A call asks for little work. */
const CALLED_WORK_MS = 50;
const CALLED_ANSWER_BYTES = 400;
/** Time that a back end gives to a call at most, in milliseconds. */
const MAX_CALL_MS = 700;
const SUCCESS_STATUS = 200;

/** A request whose run makes calls. */
export interface CallingRun {
  readonly id: string;
  readonly count: number;
  /** Time that the request has left, in milliseconds. */
  readonly leftMs: number;
  /** Ends the calls: nobody waits for the run any more. */
  readonly signal: AbortSignal;
}

/** The calls of all back ends. */
export class BackendCalls {
  readonly calls: SoakCall[] = [];
  private readonly agents = new Map<number, http.Agent>();
  private count = 0;

  constructor(private readonly nowMs: () => number) {}

  /** Makes the calls of one run together; tells whether all were served. */
  async make(machine: SoakMachine, run: CallingRun): Promise<boolean> {
    const served = await Promise.all(
      Array.from({ length: run.count }, () => this.makeOne(machine, run)),
    );
    return served.every((isServed) => isServed);
  }

  close(): void {
    this.agents.forEach((agent) => agent.destroy());
  }

  private async makeOne(machine: SoakMachine, { leftMs, signal }: CallingRun): Promise<boolean> {
    this.count += 1;
    const id = `c${this.count}`;
    const demand = demandQuery({
      workMs: CALLED_WORK_MS,
      answerBytes: CALLED_ANSWER_BYTES,
      isChunked: false,
      calls: 0,
    });
    const call = await sendCall({
      id,
      machine: machine.idx,
      life: machine.life,
      isSafe: true,
      target: `${CALLED_PREFIX}${id}${demand}`,
      body: '',
      addedBy: undefined,
      deadlineMs: Math.round(Math.min(leftMs, MAX_CALL_MS)),
      timeoutMs: ROUTE_TIMEOUT_MS,
      place: machine.caller,
      host: SOAK_HOST,
      agent: this.agentOf(machine.idx),
      leavesAfterMs: Infinity,
      nowMs: this.nowMs,
      signal,
    });
    this.calls.push(call);
    return call.status === SUCCESS_STATUS && call.isWhole;
  }

  private agentOf(idx: number): http.Agent {
    const agent = this.agents.get(idx) ?? callerAgent();
    this.agents.set(idx, agent);
    return agent;
  }
}
