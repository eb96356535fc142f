/** Callers that keep connections on which reads come behind each other, in the shape of a deployment. */
import { setTimeout as delay } from 'node:timers/promises';
import type { RandomSource } from '../../src/control/control-event.js';
import { LONG_TIMEOUT_MS, SCAN_PREFIX, SOAK_HOST } from './soak-configuration.js';
import type { SoakFleet, SoakMachine } from './soak-fleet.js';
import { PipelinedConnection, type PipelinedRequest } from './pipelined-connection.js';
import type { SoakCall } from './soak-record.js';
import type { SoakShape } from './soak-shape.js';
import { demandQuery, type WorkDemand } from './work-demand.js';

/** Time between two looks whether answers are still awaited, in milliseconds. */
const LOOK_MS = 100;

/** What the traffic is made with. */
export interface PipelinedTrafficParams {
  readonly fleet: SoakFleet;
  readonly random: RandomSource;
  readonly nowMs: () => number;
  readonly shape: SoakShape;
}

/** The traffic, from its start until it is stopped. */
export class PipelinedTraffic {
  readonly calls: SoakCall[] = [];
  private readonly connections = new Set<PipelinedConnection>();
  private isStopped = false;
  private count = 0;

  constructor(private readonly params: PipelinedTrafficParams) {}

  /** Sends until {@link stop}. */
  async run(): Promise<void> {
    const { fleet, shape } = this.params;
    await Promise.all(
      fleet.machines.flatMap((machine) =>
        Array.from({ length: shape.connections }, () => this.runCaller(machine)),
      ),
    );
  }

  /** Sends nothing more, and resolves when all that is under way is over. */
  async stop(): Promise<void> {
    this.isStopped = true;
    const { deadlineMs } = this.params.shape;
    const isBusy = (): boolean =>
      [...this.connections].some(({ waitingCount }) => waitingCount > 0);
    for (let waitedMs = 0; waitedMs < deadlineMs && isBusy(); waitedMs += LOOK_MS) {
      await delay(LOOK_MS);
    }
    this.connections.forEach((connection) => connection.close());
  }

  private async runCaller(machine: SoakMachine): Promise<void> {
    const { random, shape } = this.params;
    let connection: PipelinedConnection | undefined;
    while (!this.isStopped) {
      if (connection?.isUsable !== true) {
        connection = this.openAnew(machine, connection);
      }
      const room = shape.depth - connection.waitingCount;
      const count = Math.ceil(random() * room);
      for (let sent = 0; sent < count; sent += 1) {
        connection.send(this.drawRequest(machine));
      }
      await delay(-Math.log(1 - random()) * shape.restMs);
    }
  }

  /** Opens a connection in the place of one that can't be used any more. */
  private openAnew(machine: SoakMachine, before?: PipelinedConnection): PipelinedConnection {
    if (before !== undefined) {
      this.connections.delete(before);
    }
    const { random, nowMs, shape } = this.params;
    const isSlow = random() < shape.slowReaders.share;
    const connection = new PipelinedConnection({
      place: machine.caller,
      pace: { pauseMs: isSlow ? shape.slowReaders.pauseMs : 0 },
      nowMs,
      onCall: (call) => this.calls.push(call),
    });
    this.connections.add(connection);
    return connection;
  }

  private drawRequest({ idx, life }: SoakMachine): PipelinedRequest {
    this.count += 1;
    const id = `p${this.count}`;
    return {
      id,
      machine: idx,
      life,
      target: `${SCAN_PREFIX}${id}${demandQuery(this.drawDemand())}`,
      addedBy: undefined,
      deadlineMs: this.params.shape.deadlineMs,
      timeoutMs: LONG_TIMEOUT_MS,
      host: SOAK_HOST,
    };
  }

  private drawDemand(): WorkDemand {
    const { random } = this.params;
    const { work, answer, calls } = this.params.shape;
    const isLong = random() < work.longShare;
    const isLarge = random() < answer.largeShare;
    const workMs = Math.min(work.mostMs, logNormal(work.medianMs, work.spread, random));
    const answerBytes = Math.min(
      answer.mostBytes,
      logNormal(answer.medianBytes, answer.spread, random),
    );
    return {
      workMs: isLong ? workMs * work.longFactor : workMs,
      answerBytes: isLarge ? answer.largeBytes : answerBytes,
      isChunked: random() < answer.chunkedShare,
      calls: random() < calls.share ? calls.times : 0,
    };
  }
}

/** A draw by Box and Muller. */
function logNormal(median: number, spread: number, random: RandomSource): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return median * Math.exp(spread * normal);
}
