/**
 * Guards against long work of low priority that occupies all slots of endpoints, so that short calls, on which requests
 * at other endpoints wait, start too late. Uses a virtual clock.
 */
import { expect } from 'chai';
import type { AdmissionTicket } from '../../src/admission/admission-queue.js';
import { EndpointAdmission, type AdmissionEffect } from '../../src/admission/endpoint-admission.js';
import { slotsBeside } from '../../src/admission/slot-headroom.js';
import { lateRank, rankOfWork } from '../../src/admission/work-rank.js';
import { seededRandom } from '../../tools/emulator/seeded-random.js';
import { VirtualScheduler } from '../../tools/emulator/virtual-scheduler.js';

const ENDPOINTS = 5;
const SLOTS = 4;
const QUEUE_BOUND = 64;
const QUEUED_PER_SLOT = 1;
const MAX_ATTEMPTS = 3;
const LATE_SLOT_WAIT_SHARE = 0.4;
const RUN_MS = 60_000;

/** Requests of one class; `perS` is their rate for each endpoint. */
interface WorkClass {
  readonly name: string;
  readonly priority: number;
  readonly workMs: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  readonly perS: number;
}

const CALLS: WorkClass = {
  name: 'call',
  priority: 0,
  workMs: 21,
  targetMs: 132,
  deadlineMs: 331,
  perS: 33,
};
const QUERIES: WorkClass = {
  name: 'query',
  priority: 1,
  workMs: 105,
  targetMs: 600,
  deadlineMs: 1_500,
  perS: 2,
};
const BULK: WorkClass = {
  name: 'bulk',
  priority: 2,
  workMs: 343,
  targetMs: 2_500,
  deadlineMs: 6_000,
  perS: 7,
};

/** A request with the number of its attempts. */
interface Request {
  readonly work: WorkClass;
  readonly arrivedAtMs: number;
  readonly firstEndpoint: number;
  attempts: number;
}

/** Replays random arrivals; a refused request is tried at the next endpoint, the last time as late work. */
class Replay {
  private readonly clock = new VirtualScheduler();
  private readonly random = seededRandom(20_261_204);
  private readonly endpoints: readonly EndpointAdmission[];
  private readonly requests = new Map<string, Request>();
  private readonly offered = new Map<string, number>();
  private readonly served = new Map<string, number>();
  private attemptCount = 0;

  constructor(classes: readonly WorkClass[], keepsHeadroom: boolean) {
    this.endpoints = Array.from({ length: ENDPOINTS }, () => admissionWith(keepsHeadroom));
    classes.forEach((work) => this.arriveLater(work));
    this.clock.runUntil(RUN_MS);
  }

  servedShare({ name }: WorkClass): number {
    return (this.served.get(name) ?? 0) / (this.offered.get(name) ?? 0);
  }

  delayedByHeadroom(): number {
    return this.endpoints.reduce((sum, one) => sum + one.delayedByHeadroomCount, 0);
  }

  private arriveLater(work: WorkClass): void {
    const gapMs = (-Math.log(1 - this.random()) * 1_000) / (work.perS * ENDPOINTS);
    this.after(gapMs, () => {
      this.arriveLater(work);
      const firstEndpoint = Math.floor(this.random() * ENDPOINTS);
      const request = { work, arrivedAtMs: this.clock.nowMs, firstEndpoint, attempts: 0 };
      this.count(this.offered, request);
      this.attempt(request);
    });
  }

  private attempt(request: Request): void {
    if (request.attempts === MAX_ATTEMPTS) {
      return;
    }
    request.attempts += 1;
    this.attemptCount += 1;
    const { nowMs } = this.clock;
    const requestId = `${this.attemptCount}`;
    const ticket = ticketOf(request, requestId, nowMs);
    const endpoint = (request.firstEndpoint + request.attempts) % ENDPOINTS;
    const admission = this.endpoints[endpoint] as EndpointAdmission;
    this.requests.set(requestId, request);
    this.execute(admission, admission.offer(ticket, nowMs));
    this.after(admission.latestStartAtMs(ticket, nowMs) - nowMs, () => {
      if (admission.withdraw(requestId, ticket.callerNode)) {
        this.attempt(request);
      }
    });
  }

  private execute(admission: EndpointAdmission, effects: readonly AdmissionEffect[]): void {
    for (const { type, requestId } of effects) {
      const request = this.requests.get(requestId) as Request;
      if (type === 'refuse') {
        this.attempt(request);
        continue;
      }
      const { workMs, deadlineMs } = request.work;
      this.after(workMs, () => {
        if (this.clock.nowMs <= request.arrivedAtMs + deadlineMs) {
          this.count(this.served, request);
        }
        this.execute(admission, admission.release(requestId, this.clock.nowMs, workMs));
      });
    }
  }

  /** Counts the requests that end before the replay does. */
  private count(counts: Map<string, number>, { work, arrivedAtMs }: Request): void {
    if (arrivedAtMs < RUN_MS - BULK.deadlineMs) {
      counts.set(work.name, (counts.get(work.name) ?? 0) + 1);
    }
  }

  private after(delayMs: number, run: () => void): void {
    this.clock.schedule(this.clock.nowMs + delayMs, { run });
  }
}

function admissionWith(keepsHeadroom: boolean): EndpointAdmission {
  return new EndpointAdmission(
    SLOTS,
    QUEUE_BOUND,
    QUEUED_PER_SLOT,
    undefined,
    undefined,
    keepsHeadroom,
  );
}

function ticketOf(request: Request, requestId: string, nowMs: number): AdmissionTicket {
  const { work, arrivedAtMs, attempts } = request;
  const rank = rankOfWork(work.priority, work.targetMs);
  const targetAtMs = arrivedAtMs + work.targetMs;
  const isLate = attempts === MAX_ATTEMPTS || nowMs >= targetAtMs;
  return {
    requestId,
    callerNode: `n${attempts}`,
    workClass: work.name,
    deadlineAtMs: arrivedAtMs + work.deadlineMs,
    ...(isLate
      ? { priority: lateRank(rank), startByMs: nowMs + LATE_SLOT_WAIT_SHARE * work.targetMs }
      : { priority: rank, targetAtMs }),
  };
}

function ticketOfClass(work: WorkClass): AdmissionTicket {
  const request = { work, arrivedAtMs: 0, firstEndpoint: 0, attempts: 1 };
  return { ...ticketOf(request, '', 0), targetAtMs: undefined, deadlineAtMs: RUN_MS };
}

function replay(bulkFactor: number, keepsHeadroom = true): Replay {
  const bulk = { ...BULK, perS: BULK.perS * bulkFactor };
  return new Replay([CALLS, QUERIES, bulk], keepsHeadroom);
}

const usedSlots = ([CALLS, QUERIES] as const).reduce(
  (sum, { perS, workMs }) => sum + (perS * workMs) / 1_000,
  0,
);
/** Bulk work for which the other classes leave room, as a multiple of its usual rate. */
const roomForBulk = (SLOTS - usedSlots) / ((BULK.perS * BULK.workMs) / 1_000);

describe('headroom for short, urgent calls', () => {
  for (const bulkFactor of [1, 1.6, 2.3]) {
    it(`serves the calls with bulk work at ${bulkFactor} times its usual rate`, () => {
      const run = replay(bulkFactor);
      expect(run.servedShare(CALLS)).to.be.at.least(0.99);
      expect(run.servedShare(QUERIES)).to.be.at.least(0.99);
      expect(run.servedShare(BULK)).to.be.at.least(0.9 * Math.min(1, roomForBulk / bulkFactor));
      expect(run.delayedByHeadroom()).to.be.above(0);
    });
  }

  it('is not kept when switched off', () => {
    expect(replay(2.3, false).delayedByHeadroom()).to.equal(0);
  });

  // Guards against slots that stay free although no urgent work has arrived for seconds.
  it('is not kept without recent urgent work', () => {
    const admission = admissionWith(true);
    const bulk = (id: string): AdmissionTicket => ({ ...ticketOfClass(BULK), requestId: id });
    for (let count = 0; count < 200; count += 1) {
      for (const work of [CALLS, BULK]) {
        admission.offer({ ...ticketOfClass(work), requestId: work.name }, count * 30);
        admission.release(work.name, count * 30, work.workMs);
      }
    }
    expect(admission.headroomSlots(6_000)).to.equal(1);
    const ids = ['a', 'b', 'c', 'd'];
    ids.forEach((id) => admission.offer(bulk(id), 6_000));
    expect(admission.runningCount).to.equal(SLOTS - 1);
    expect(admission.resumeDelayMs(6_000)).to.be.above(0);
    admission.resume(26_000);
    expect(admission.runningCount).to.equal(SLOTS);
  });

  it('leaves one slot to long work where the endpoint has one', () => {
    expect(slotsBeside({ priority: 0, serviceMs: 20, slots: 1 }, 1)).to.equal(1);
  });
});
