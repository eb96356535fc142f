/**
 * Callers with long bodies, and callers that keep one connection each: they go on using it until the node
 * closes it, also after the node was told to stop.
 */
import type http from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import type { RandomSource } from '../../src/control/control-event.js';
import { callerAgent } from './caller-agent.js';
import { between } from './draws.js';
import type { Place } from './link-proxy.js';
import { sendCall, type SendingPace, type SoakRequest } from './soak-client.js';
import {
  ROUTE_TIMEOUT_MS,
  SAFE_PREFIX,
  SOAK_HOST,
  UNSAFE_PREFIX,
  UPLOAD_PREFIX,
  UPLOAD_TIMEOUT_MS,
} from './soak-configuration.js';
import type { SoakFleet, SoakMachine } from './soak-fleet.js';
import type { SoakCall } from './soak-record.js';

const MS_PER_SECOND = 1_000;
/** Sizes of bodies are log-normal: median and largest in bytes, spread of the logarithm. */
const MEDIAN_UPLOAD_BYTES = 60_000;
const MAX_UPLOAD_BYTES = 360_000;
const UPLOAD_SPREAD = 0.6;
const UPLOAD_DEADLINES_MS = [5_000, 6_500, 8_000] as const;
const CALL_DEADLINES_MS = [1_000, 3_000] as const;
/** Share of the uploads that go out in pieces, and of these that never go out whole. */
const SLOW_SHARE = 0.2;
const STALL_SHARE = 0.15;
const PIECES = 12;
const MIN_PIECE_GAP_MS = 10;
const MAX_PIECE_GAP_MS = 250;
/** A caller that stalls keeps its connection for so long, at least and at most. */
const MIN_STALL_MS = 2_000;
const MAX_STALL_MS = 8_000;
const NEW_CONNECTION_SHARE = 0.3;
/** Connections that callers keep to each machine, and the mean time between two uses of one. */
const KEPT_CONNECTIONS = 3;
const MEAN_REST_MS = 1_500;
/** Of the requests on kept connections, shares of uploads and of other unsafe ones. */
const KEPT_UPLOAD_SHARE = 0.4;
const KEPT_UNSAFE_SHARE = 0.3;
const FILLER_STEP = 16;
/** Of so many requests and kept connections, one goes through the link of callers, where there is one. */
const LINKED_CYCLE = 3;

/** What the traffic is made with. */
export interface UploadTrafficParams {
  readonly fleet: SoakFleet;
  readonly random: RandomSource;
  readonly nowMs: () => number;
  /** Uploads a second on shared or new connections, of all machines together. */
  readonly perSecond: number;
}

/** The way that a request takes to its node. */
interface CallerRoute {
  readonly machine: SoakMachine;
  readonly place: Place;
  readonly agent: http.Agent | undefined;
}

/** The traffic, from its start until it is stopped. */
export class UploadTraffic {
  readonly calls: SoakCall[] = [];
  private readonly underWay = new Set<Promise<void>>();
  private readonly shared = new Map<string, http.Agent>();
  private readonly kept: http.Agent[] = [];
  private isStopped = false;
  private count = 0;

  constructor(private readonly params: UploadTrafficParams) {}

  /** Sends until {@link stop}. */
  async run(): Promise<void> {
    await Promise.all([
      this.runUploads(),
      ...this.params.fleet.machines.flatMap((machine) =>
        Array.from({ length: KEPT_CONNECTIONS }, (_, idx) =>
          this.runKeptConnection(machine, placeOf(machine, idx)),
        ),
      ),
    ]);
  }

  /** Sends nothing more, and resolves when all that is under way is over. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.underWay);
    [...this.shared.values(), ...this.kept].forEach((agent) => agent.destroy());
  }

  /** Arrivals are random and do not wait for answers. */
  private async runUploads(): Promise<void> {
    const { fleet, random, perSecond } = this.params;
    while (!this.isStopped) {
      await this.rest(MS_PER_SECOND / perSecond);
      const machine = fleet.machines[Math.floor(random() * fleet.machines.length)];
      if (!this.isStopped && machine !== undefined) {
        const place = placeOf(machine, this.count);
        const agent = random() < NEW_CONNECTION_SHARE ? undefined : this.sharedAgent(place);
        void this.send(this.drawUpload({ machine, place, agent }));
      }
    }
  }

  private async runKeptConnection(machine: SoakMachine, place: Place): Promise<void> {
    const agent = callerAgent(1);
    this.kept.push(agent);
    while (!this.isStopped) {
      await this.rest(MEAN_REST_MS);
      if (!this.isStopped) {
        await this.send(this.drawKept({ machine, place, agent }));
      }
    }
  }

  private async rest(meanMs: number): Promise<void> {
    await delay(-Math.log(1 - this.params.random()) * meanMs);
  }

  private send(request: SoakRequest): Promise<void> {
    const sent = sendCall(request).then((call) => {
      this.calls.push(call);
      this.underWay.delete(sent);
    });
    this.underWay.add(sent);
    return sent;
  }

  private drawKept(route: CallerRoute): SoakRequest {
    const { random } = this.params;
    const dice = random();
    if (dice < KEPT_UPLOAD_SHARE) {
      return this.drawUpload(route);
    }
    const isSafe = dice >= KEPT_UPLOAD_SHARE + KEPT_UNSAFE_SHARE;
    const common = this.drawCommon(route, CALL_DEADLINES_MS);
    return {
      ...common,
      isSafe,
      target: `${isSafe ? SAFE_PREFIX : UNSAFE_PREFIX}${common.id}`,
      body: isSafe ? '' : `order of ${common.id}`,
      timeoutMs: ROUTE_TIMEOUT_MS,
      leavesAfterMs: Infinity,
    };
  }

  private drawUpload(route: CallerRoute): SoakRequest {
    const { random } = this.params;
    const common = this.drawCommon(route, UPLOAD_DEADLINES_MS);
    const body = uploadBody(common.id, drawUploadBytes(random));
    const pace = random() < SLOW_SHARE ? drawPace(body.length, random) : undefined;
    const isStalled = pace !== undefined && pace.stallsAfter !== Infinity;
    return {
      ...common,
      isSafe: false,
      target: `${UPLOAD_PREFIX}${common.id}`,
      body,
      timeoutMs: UPLOAD_TIMEOUT_MS,
      ...(pace && { pace }),
      leavesAfterMs: isStalled ? between(MIN_STALL_MS, MAX_STALL_MS, random) : Infinity,
    };
  }

  private drawCommon(
    { machine, place, agent }: CallerRoute,
    deadlinesMs: readonly number[],
  ): Pick<
    SoakRequest,
    'id' | 'machine' | 'life' | 'place' | 'host' | 'addedBy' | 'deadlineMs' | 'agent' | 'nowMs'
  > {
    const { random, nowMs } = this.params;
    this.count += 1;
    return {
      id: `u${this.count}`,
      machine: machine.idx,
      life: machine.life,
      place,
      host: SOAK_HOST,
      addedBy: undefined,
      deadlineMs: deadlinesMs[Math.floor(random() * deadlinesMs.length)] ?? UPLOAD_TIMEOUT_MS,
      agent,
      nowMs,
    };
  }

  private sharedAgent({ address, port }: Place): http.Agent {
    const name = `${address}:${port}`;
    const agent = this.shared.get(name) ?? callerAgent();
    this.shared.set(name, agent);
    return agent;
  }
}

/** Where a request goes: the link of callers now and then, where the machine has one. */
function placeOf({ caller, linkedCaller }: SoakMachine, idx: number): Place {
  return idx % LINKED_CYCLE === 0 ? (linkedCaller ?? caller) : caller;
}

/** A size by Box and Muller. */
function drawUploadBytes(random: RandomSource): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const sizeBytes = Math.round(MEDIAN_UPLOAD_BYTES * Math.exp(UPLOAD_SPREAD * normal));
  return Math.min(MAX_UPLOAD_BYTES, sizeBytes);
}

/** A body each part of which tells its place, so that one that is lost or moved shows. */
function uploadBody(id: string, sizeBytes: number): string {
  const steps = Math.ceil(sizeBytes / FILLER_STEP);
  const parts = Array.from({ length: steps }, (_, idx) => `${id} ${idx} `.padEnd(FILLER_STEP, '.'));
  return parts.join('').slice(0, sizeBytes);
}

function drawPace(sizeBytes: number, random: RandomSource): SendingPace {
  return {
    pieceBytes: Math.ceil(sizeBytes / PIECES),
    gapMs: between(MIN_PIECE_GAP_MS, MAX_PIECE_GAP_MS, random),
    stallsAfter: random() < STALL_SHARE ? Math.floor(random() * PIECES) : Infinity,
  };
}
