/** The log entry and the counts of an answer that misses the target latency of its route. */
import { expect } from 'chai';
import type { Answer, EndpointPath } from '../../src/proxy/call.js';
import { EMPTY_BODY } from '../../src/proxy/request-body.js';
import type { RequestDecision } from '../../src/proxy/request-log.js';
import { RequestRunner } from '../../src/proxy/request-runner.js';
import type { RequestTimes } from '../../src/proxy/request-times.js';
import { VirtualProcess } from '../../tools/emulator/virtual-process.js';
import { VirtualScheduler } from '../../tools/emulator/virtual-scheduler.js';
import { echoSnapshot, loneNodeServices, matchOf } from './lone-node.js';

const TARGET_MS = 400;
const DEADLINE_MS = 2_500;
const UNREAD_MS = 20;
const NODE_TIMES = { bodyMs: 0, queueMs: 130, endpointMs: 200 };

/** What is recorded of a request whose answer arrives after `answerMs`. */
function recordedAfter(answerMs: number): { entries: RequestDecision[]; counted: RequestTimes[] } {
  const clock = new VirtualScheduler();
  const scheduler = new VirtualProcess(clock);
  const entries: RequestDecision[] = [];
  const counted: RequestTimes[] = [];
  const snapshot = echoSnapshot(TARGET_MS, ['e1']);
  const body = { kind: 'held', bytes: Buffer.alloc(0) } as const;
  const answer: Answer = {
    status: 200,
    headers: [],
    body,
    contentLength: 0,
    load: undefined,
    nodeTimes: NODE_TIMES,
  };
  const path: EndpointPath = {
    submit: (_endpoint, _call, observer) => {
      scheduler.schedule(answerMs, () => observer.answered(answer));
      return { abort: () => undefined, isUnsent: () => false };
    },
  };
  const services = loneNodeServices(scheduler, path, {
    requestLog: { record: (entry) => entries.push(entry) },
    onLateAnswer: (service, times) => service === 'echo' && counted.push(times),
  });
  clock.runUntil(1_000);
  new RequestRunner({
    services,
    snapshot,
    match: matchOf(snapshot, '/a'),
    method: 'GET',
    target: '/a',
    headers: [],
    retries: undefined,
    response: {
      answer: (_answer, _requestId, _maxBytes, observer) => observer.completed(),
      fail: () => undefined,
      breakConnection: () => undefined,
      hasBegun: () => false,
      onClose: () => undefined,
    },
    requestId: 'r1',
    attemptPrefix: 'r1',
    deadlineAtMs: scheduler.now() + DEADLINE_MS,
    unreadMs: UNREAD_MS,
  }).start(EMPTY_BODY);
  clock.runUntil(1_000 + DEADLINE_MS);
  return { entries, counted };
}

describe('the record of a late answer', () => {
  it('has the time of the request in each place', () => {
    const { entries, counted } = recordedAfter(390);
    expect(entries).to.have.length(1);
    expect(entries[0]).to.deep.include({
      event: 'answer-late',
      request: 'r1',
      service: 'echo',
      endpoint: 'e1',
      tries: 1,
      elapsedMs: 390 + UNREAD_MS,
    });
    expect(entries[0]?.times).to.deep.equal({
      'earlier-tries': 0,
      unread: UNREAD_MS,
      'earlier-attempts': 0,
      transit: 60,
      body: 0,
      queue: NODE_TIMES.queueMs,
      endpoint: NODE_TIMES.endpointMs,
      answer: 0,
    });
    expect(counted).to.have.length(1);
  });

  it('is not written for an answer in time', () => {
    expect(recordedAfter(370)).to.deep.equal({ entries: [], counted: [] });
  });
});
