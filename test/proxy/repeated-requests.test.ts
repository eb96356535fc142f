/** The place of requests whose callers come back after a refusal, among those of callers that come for the first time. */
import { expect } from 'chai';
import { isLateRank } from '../../src/admission/work-rank.js';
import type { AttemptObserver, Call, EndpointPath } from '../../src/proxy/call.js';
import { DEFAULT_PROXY_LIMITS } from '../../src/proxy/proxy-limits.js';
import { EMPTY_BODY } from '../../src/proxy/request-body.js';
import type { CallerReply } from '../../src/proxy/request-context.js';
import { OverloadedError } from '../../src/proxy/request-error.js';
import { RequestRunner } from '../../src/proxy/request-runner.js';
import { VirtualProcess } from '../../tools/emulator/virtual-process.js';
import { VirtualScheduler } from '../../tools/emulator/virtual-scheduler.js';
import { echoSnapshot, loneNodeServices, matchOf } from './lone-node.js';

const TARGET_MS = 400;
const DEADLINE_MS = 2_500;
/** Deadline of a caller in a hurry. */
const SHORT_DEADLINE_MS = 900;

const SILENT_REPLY: CallerReply = {
  answer: () => undefined,
  fail: () => undefined,
  breakConnection: () => undefined,
  hasBegun: () => false,
  onClose: () => undefined,
};

const ENDPOINTS = ['e1', 'e2', 'e3'];

/** A node that sends each request to endpoints that refuse it. */
class RefusedCallers implements EndpointPath {
  private readonly clock = new VirtualScheduler();
  private readonly process = new VirtualProcess(this.clock);
  private readonly calls: Call[] = [];
  private readonly snapshot = echoSnapshot(TARGET_MS, ENDPOINTS);
  private readonly services = loneNodeServices(this.process, this, {
    limits: { ...DEFAULT_PROXY_LIMITS, maxRetries: 0, maxRedirects: 1 },
  });

  /** A try at `atMs`; returns the first attempt that was made for it. */
  tryAt(atMs: number, target: string, deadlineAtMs: number): Call | undefined {
    return this.attemptsAt(atMs, target, deadlineAtMs)[0];
  }

  /** A try at `atMs`; returns its attempts. */
  attemptsAt(atMs: number, target: string, deadlineAtMs: number): readonly Call[] {
    this.clock.runUntil(atMs);
    this.calls.splice(0);
    new RequestRunner({
      services: this.services,
      snapshot: this.snapshot,
      match: matchOf(this.snapshot, target),
      method: 'GET',
      target,
      headers: [],
      retries: undefined,
      response: SILENT_REPLY,
      requestId: `${target} at ${atMs}`,
      attemptPrefix: `${target} at ${atMs}`,
      deadlineAtMs,
      callerDeadlineAtMs: deadlineAtMs,
    }).start(EMPTY_BODY);
    this.clock.runUntil(atMs + 1);
    return [...this.calls];
  }

  submit(_endpoint: unknown, call: Call, observer: AttemptObserver) {
    this.calls.push(call);
    this.process.schedule(0, () => observer.failed(new OverloadedError('full', 50)));
    return { abort: () => undefined, isUnsent: () => true };
  }
}

describe('a request whose caller comes back after a refusal', () => {
  // Guards against repeats that take the places of requests which could still be in time.
  it('ranks behind requests in time once its target latency has passed since the first try', () => {
    const callers = new RefusedCallers();
    const first = callers.tryAt(0, '/a', DEADLINE_MS);
    expect(first?.targetAtMs).to.equal(TARGET_MS);
    const repeat = callers.tryAt(700, '/a', DEADLINE_MS);
    expect(repeat && isLateRank(repeat.priority)).to.equal(true);
    expect(repeat?.targetAtMs).to.equal(undefined);
  });

  it('keeps the target of its first try while that can be met', () => {
    const callers = new RefusedCallers();
    callers.tryAt(0, '/a', DEADLINE_MS);
    expect(callers.tryAt(150, '/a', DEADLINE_MS)?.targetAtMs).to.equal(TARGET_MS);
  });

  // Guards against callers in a hurry that are taken for repeats since they have little time left.
  it('is not taken for a first try with a short deadline, nor that for a repeat', () => {
    const callers = new RefusedCallers();
    callers.tryAt(0, '/a', DEADLINE_MS);
    const hurried = callers.tryAt(700, '/a', 700 + SHORT_DEADLINE_MS);
    expect(hurried?.targetAtMs).to.equal(700 + TARGET_MS);
    expect(callers.tryAt(1_100, '/b', DEADLINE_MS)?.targetAtMs).to.equal(1_100 + TARGET_MS);
  });
});

describe('a request whose caller does not come back after a refusal', () => {
  // Guards against calls of endpoints that are refused early, so that the work on the request behind them is lost.
  it('is sent on as late work once two endpoints could not serve it in time', () => {
    const attempts = new RefusedCallers().attemptsAt(0, '/a', DEADLINE_MS);
    expect(attempts.map(({ targetAtMs }) => targetAtMs)).to.deep.equal([
      TARGET_MS,
      TARGET_MS,
      undefined,
    ]);
    const last = attempts.at(-1);
    expect(last && isLateRank(last.priority)).to.equal(true);
  });

  it('is told from one whose caller does', () => {
    const callers = new RefusedCallers();
    callers.tryAt(0, '/a', DEADLINE_MS);
    callers.tryAt(1_000, '/a', DEADLINE_MS);
    expect(callers.attemptsAt(2_000, '/b', 2_000 + DEADLINE_MS)).to.have.length(2);
  });
});
