/**
 * A request that waits for a slot until shortly before its deadline: the node on the endpoint's machine logs
 * its refusal, like every other refusal.
 */
import { expect } from 'chai';
import { resourceSchema, type Endpoint } from '../../src/model/resource.js';
import type { Call } from '../../src/proxy/call.js';
import type { EndpointConnector } from '../../src/proxy/endpoint-client.js';
import { EndpointGate } from '../../src/proxy/endpoint-gate.js';
import { EMPTY_BODY } from '../../src/proxy/request-body.js';
import type { RequestDecision } from '../../src/proxy/request-log.js';
import { MACHINE_TIME } from '../../src/proxy/scheduler.js';
import type { Scheduler } from '../../src/proxy/scheduler.js';
import { VirtualScheduler } from '../../tools/emulator/virtual-scheduler.js';
import { echoEndpoint, until } from './rig.js';

const DEADLINE_MS = 100;

/** An endpoint that never answers. */
const UNRESPONSIVE_ENDPOINT: EndpointConnector = {
  send: () => ({ wasSent: () => true, abort: () => undefined }),
  cancel: () => undefined,
  probeDraining: () => undefined,
  probeListening: () => undefined,
};

function callOf(requestId: string, deadlineMs: number): Call {
  return {
    requestId,
    method: 'POST',
    target: '/',
    headers: ['Host', 'a'],
    body: EMPTY_BODY,
    deadlineAtMs: MACHINE_TIME.now() + deadlineMs,
    callerNode: 'n2',
    retriesLeft: 0,
    priority: 0,
    workClass: 'all',
    travelLostMs: 3,
  };
}

function schedulerOf(clock: VirtualScheduler): Scheduler {
  return {
    now: () => clock.nowMs,
    schedule: (delayMs, action) => {
      let isCancelled = false;
      const run = (): void => (isCancelled ? undefined : action());
      clock.schedule(clock.nowMs + delayMs, { run });
      return () => {
        isCancelled = true;
      };
    },
  };
}

describe('a request that waits until shortly before its deadline', () => {
  it('is logged by the node that refuses it', async () => {
    const decisions: RequestDecision[] = [];
    const gate = new EndpointGate(resourceSchema.parse(echoEndpoint('e1', 1)) as Endpoint, 1, {
      client: UNRESPONSIVE_ENDPOINT,
      counters: { add: () => undefined },
      scheduler: MACHINE_TIME,
      maxQueuedPerEndpoint: 10,
      cancelLead: { cancelLeadShare: 0.1, maxCancelLeadMs: 10 },
      requestLog: { record: (line) => decisions.push(line) },
      logStateChange: () => undefined,
    });
    const codes: string[] = [];
    const observer = {
      answered: () => undefined,
      failed: ({ code }: { code: string }) => codes.push(code),
    };
    const running = gate.submit(callOf('running', 60_000), observer);
    gate.submit(callOf('waiting', DEADLINE_MS), observer);
    await until(() => codes.length > 0);
    running.abort();
    expect(codes).to.deep.equal(['CANNOT_FINISH_IN_TIME']);
    const { deadlineLeftMs = NaN, startLeftMs = NaN, ...line } = decisions[0] ?? {};
    expect(line).to.deep.equal({
      event: 'attempt-refused',
      request: 'waiting',
      endpoint: 'e1',
      code: 'cannot-finish-in-time',
      retryAfterMs: 1_000,
      travelLostMs: 3,
      running: 1,
      waiting: 0,
      slots: 1,
    });
    expect(deadlineLeftMs).to.be.within(0, DEADLINE_MS);
    expect(startLeftMs).to.be.at.most(deadlineLeftMs);
  });

  /** Guards against refusals that reach the caller's node after the deadline, where they prove nothing any more. */
  for (const { name, lagMs, travelLostMs, refusedAtMs } of [
    { name: 'on a node that is on time', lagMs: 0, travelLostMs: 0, refusedAtMs: 1_440 },
    { name: 'on a node whose timers are late', lagMs: 80, travelLostMs: 0, refusedAtMs: 1_360 },
    { name: 'over a slow link', lagMs: 0, travelLostMs: 50, refusedAtMs: 1_390 },
    { name: 'on a node that stands still', lagMs: 5_000, travelLostMs: 0, refusedAtMs: 1_290 },
  ]) {
    it(`is refused ${1_500 - refusedAtMs} ms before it ${name}`, () => {
      const clock = new VirtualScheduler();
      const gate = new EndpointGate(resourceSchema.parse(echoEndpoint('e1', 1)) as Endpoint, 1, {
        client: UNRESPONSIVE_ENDPOINT,
        counters: { add: () => undefined },
        scheduler: schedulerOf(clock),
        maxQueuedPerEndpoint: 10,
        cancelLead: { cancelLeadShare: 0.1, maxCancelLeadMs: 10 },
        eventLoopLagMs: () => lagMs,
        logStateChange: () => undefined,
      });
      let failedAtMs: number | undefined;
      const observer = { answered: () => undefined, failed: () => (failedAtMs ??= clock.nowMs) };
      const call = { ...callOf('running', 0), deadlineAtMs: 60_000, travelLostMs };
      gate.submit(call, { answered: () => undefined, failed: () => undefined });
      gate.submit({ ...call, requestId: 'waiting', deadlineAtMs: 1_500 }, observer);
      clock.runUntil(2_000);
      expect(failedAtMs).to.equal(refusedAtMs);
    });
  }
});
