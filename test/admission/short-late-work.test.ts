/**
 * Short requests that have missed their target at an endpoint saturated with long requests. The short requests are
 * calls of other endpoints, whose callers occupy slots in the meantime. Uses a virtual clock.
 */
import { expect } from 'chai';
import { EndpointAdmission, type AdmissionEffect } from '../../src/admission/endpoint-admission.js';
import type { AdmissionTicket } from '../../src/admission/admission-queue.js';
import type { Route } from '../../src/model/resource.js';
import { resourceSchema } from '../../src/model/resource.js';
import { workOf } from '../../src/proxy/request-work.js';
import { VirtualScheduler } from '../../tools/emulator/virtual-scheduler.js';

const SLOTS = 4;
const QUEUED_PER_SLOT = 2;
const RUN_MS = 20_000;
/** A class of requests in the load; all classes have the same priority. */
interface WorkClass {
  readonly name: string;
  readonly workMs: number;
  readonly targetLatencyMs: number;
  readonly deadlineMs: number;
  readonly everyMs: number;
  readonly isLate: boolean;
}

/** 4 slots sustain 14.5 orders a second; the load is 14 orders and 3 calls a second. */
const ORDERS: WorkClass = {
  name: 'order',
  workMs: 276,
  targetLatencyMs: 1_016,
  deadlineMs: 3_000,
  everyMs: 71,
  isLate: false,
};
const LATE_CALLS: WorkClass = {
  name: 'call',
  workMs: 52,
  targetLatencyMs: 206,
  deadlineMs: 400,
  everyMs: 331,
  isLate: true,
};

function routeOf({ name, targetLatencyMs }: WorkClass): Route {
  const route = resourceSchema.parse({
    kind: 'route',
    name,
    spec: { pathPrefix: '/', service: 's', targetLatencyMs, priority: 1 },
  });
  if (route.kind !== 'route') {
    throw new Error('not a route');
  }
  return route;
}

/** Share of the requests that were served before their deadline, by class. */
function servedShares(classes: readonly WorkClass[]): Map<string, number> {
  const clock = new VirtualScheduler();
  const admission = new EndpointAdmission(SLOTS, Infinity, QUEUED_PER_SLOT);
  const offered = new Map<string, number>();
  const served = new Map<string, number>();
  const workById = new Map<string, WorkClass>();

  const after = (delayMs: number, run: () => void): void => {
    clock.schedule(clock.nowMs + delayMs, { run });
  };
  const execute = (effects: readonly AdmissionEffect[]): void => {
    for (const effect of effects) {
      const work = workById.get(effect.requestId);
      if (effect.type === 'dispatch' && work !== undefined) {
        after(work.workMs, () => {
          served.set(work.name, (served.get(work.name) ?? 0) + 1);
          execute(admission.release(effect.requestId, clock.nowMs, work.workMs));
        });
      }
    }
  };
  const arrive = (work: WorkClass, count: number): void => {
    const startedAtMs = work.isLate ? clock.nowMs - work.targetLatencyMs : clock.nowMs;
    const ticket: AdmissionTicket = {
      ...workOf(routeOf(work), startedAtMs, clock.nowMs, work.isLate),
      requestId: `${work.name}${count}`,
      callerNode: `n${count % 5}`,
      deadlineAtMs: clock.nowMs + work.deadlineMs,
    };
    workById.set(ticket.requestId, work);
    offered.set(work.name, count + 1);
    execute(admission.offer(ticket, clock.nowMs));
    const leftMs = admission.latestStartAtMs(ticket, clock.nowMs) - clock.nowMs;
    after(leftMs, () => void admission.withdraw(ticket.requestId, ticket.callerNode));
    if (clock.nowMs + work.everyMs < RUN_MS) {
      after(work.everyMs, () => arrive(work, count + 1));
    }
  };
  classes.forEach((work) => arrive(work, 0));
  clock.runUntil(RUN_MS + ORDERS.deadlineMs);
  return new Map(
    classes.map(({ name }) => [name, (served.get(name) ?? 0) / (offered.get(name) ?? 1)]),
  );
}

describe('short late work at an endpoint saturated with long work', () => {
  it('is served before its deadline', () => {
    expect(servedShares([ORDERS, LATE_CALLS]).get('call')).to.be.at.least(0.9);
  });

  it('reduces the served share of the long work by no more than the time it needs', () => {
    const alone = servedShares([ORDERS]).get('order') ?? 0;
    const together = servedShares([ORDERS, LATE_CALLS]).get('order') ?? 0;
    const neededShare =
      LATE_CALLS.workMs / LATE_CALLS.everyMs / SLOTS + 1 / (RUN_MS / ORDERS.everyMs);
    expect(alone - together).to.be.at.most(neededShare + 0.05);
  });
});
