/** Admission to an endpoint: slots, queue, fairness, deadlines, drains and measured service times. */
import { expect } from 'chai';
import fc from 'fast-check';
import { EndpointAdmission, type AdmissionEffect } from '../../src/admission/endpoint-admission.js';

const SEED = 20_260_102;
const NO_DEADLINE_MS = 1e9;
const SLOTS = 2;
const QUEUE_BOUND = 2 * SLOTS;

type Step =
  | { readonly type: 'offer'; readonly node: string; readonly deadlineInMs: number }
  | { readonly type: 'release'; readonly pick: number; readonly isMeasured: boolean }
  | { readonly type: 'withdraw'; readonly pick: number }
  | { readonly type: 'refused-by-endpoint' }
  | { readonly type: 'drain'; readonly isDraining: boolean }
  | { readonly type: 'wait'; readonly forMs: number };

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      type: fc.constant('offer' as const),
      node: fc.constantFrom('a', 'b', 'c'),
      deadlineInMs: fc.constantFrom(0, 5, 50, 500),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant('release' as const),
      pick: fc.nat(),
      isMeasured: fc.boolean(),
    }),
  },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('withdraw' as const), pick: fc.nat() }) },
  { weight: 1, arbitrary: fc.constant({ type: 'refused-by-endpoint' as const }) },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant('drain' as const), isDraining: fc.boolean() }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('wait' as const),
      forMs: fc.integer({ min: 1, max: 60 }),
    }),
  },
);

/** Applies the steps and tracks the outcome of every request. */
class Model {
  readonly admission = new EndpointAdmission(SLOTS);
  private nowMs = 0;
  private offered = 0;
  private isDraining = false;
  private readonly waiting = new Map<string, { node: string; deadlineAtMs: number }>();
  private readonly running = new Map<string, number>();

  private drain(isDraining: boolean): void {
    this.isDraining = isDraining;
    this.applyEffects(this.admission.close(isDraining ? 'draining' : undefined, this.nowMs));
  }

  apply(step: Step): void {
    switch (step.type) {
      case 'offer':
        return this.offer(step.node, step.deadlineInMs);
      case 'release': {
        const id = pickOf([...this.running.keys()], step.pick);
        const startedAtMs = this.running.get(id ?? '') ?? 0;
        this.running.delete(id ?? '');
        const serviceMs = step.isMeasured ? this.nowMs - startedAtMs : undefined;
        return this.applyEffects(
          id === undefined ? [] : this.admission.release(id, this.nowMs, serviceMs),
        );
      }
      case 'withdraw': {
        const id = pickOf([...this.waiting.keys()], step.pick) ?? '';
        const node = this.waiting.get(id)?.node ?? '';
        expect(this.admission.withdraw(id, node)).to.equal(this.waiting.delete(id));
        return;
      }
      case 'refused-by-endpoint':
        return this.admission.endpointRefused();
      case 'drain':
        return this.drain(step.isDraining);
      case 'wait':
        this.nowMs += step.forMs;
        return;
    }
  }

  check(): void {
    expect(this.running.size, 'running').to.be.at.most(SLOTS);
    expect(this.waiting.size, 'waiting').to.be.at.most(QUEUE_BOUND);
    expect(this.admission.runningCount).to.equal(this.running.size);
    expect(this.admission.waitingCount).to.equal(this.waiting.size);
    expect(this.isDraining && this.waiting.size > 0, 'queued during a drain').to.equal(false);
    expect(this.running.size === 0 && this.waiting.size > 0, 'queued while none runs').to.equal(
      false,
    );
  }

  private offer(callerNode: string, deadlineInMs: number): void {
    this.offered += 1;
    const requestId = `r${this.offered}`;
    const deadlineAtMs = this.nowMs + deadlineInMs;
    this.waiting.set(requestId, { node: callerNode, deadlineAtMs });
    this.applyEffects(this.admission.offer({ requestId, callerNode, deadlineAtMs }, this.nowMs));
  }

  private applyEffects(effects: readonly AdmissionEffect[]): void {
    for (const effect of effects) {
      const request = this.waiting.get(effect.requestId);
      expect(this.waiting.delete(effect.requestId), 'one decision per request').to.equal(true);
      if (effect.type === 'refuse') {
        expect(effect.retryAfterMs).to.be.greaterThan(0);
        continue;
      }
      expect(this.isDraining, 'dispatched during a drain').to.equal(false);
      expect(request?.deadlineAtMs, 'dispatched too late').to.be.greaterThan(this.nowMs);
      this.running.set(effect.requestId, this.nowMs);
    }
  }
}

const property = fc.property(fc.array(stepArbitrary, { maxLength: 80, size: 'max' }), (steps) => {
  const model = new Model();
  for (const step of steps) {
    model.apply(step);
    model.check();
  }
});

const mutants: readonly { name: string; method: string; broken: unknown }[] = [
  { name: 'no bound on the queue', method: 'queueBound', broken: Infinity },
  {
    name: 'an idle endpoint refuses by earlier service times',
    method: 'isTooLate',
    broken: () => true,
  },
  {
    name: 'slots are not counted',
    method: 'dispatchOrRefuse',
    broken: ({ requestId }: { requestId: string }) => ({ type: 'dispatch', requestId }),
  },
  { name: 'a drain is ignored', method: 'close', broken: () => [] },
  {
    name: 'a late request is dispatched',
    method: 'dispatchOrRefuse',
    broken(
      this: { running: Map<string, undefined> },
      { requestId }: { requestId: string },
    ): unknown {
      this.running.set(requestId, undefined);
      return { type: 'dispatch', requestId };
    },
  },
];

describe('admission to an endpoint', () => {
  it('respects slots, queue limit, deadlines and drains for any sequence of steps', () => {
    fc.assert(property, { seed: SEED, numRuns: 1_000 });
  });

  for (const { name, method, broken } of mutants) {
    it(`detects the mutant: ${name}`, () => {
      const { prototype } = EndpointAdmission;
      const original = Object.getOwnPropertyDescriptor(prototype, method) ?? {};
      Object.defineProperty(prototype, method, {
        configurable: true,
        writable: true,
        value: broken,
      });
      try {
        const result = fc.check(property, { seed: SEED, numRuns: 1_000, endOnFailure: true });
        // If the estimate applied to an idle endpoint, every request would be refused.
        const isCaught = result.failed || !isAdmittedWhenIdle();
        expect(isCaught).to.equal(true);
      } finally {
        Object.defineProperty(prototype, method, original);
      }
    });
  }

  it('serves nodes round robin and displaces a request of a node with more queued requests', () => {
    const admission = new EndpointAdmission(1);
    offer(admission, 'running', 'a');
    offer(admission, 'a1', 'a');
    offer(admission, 'a2', 'a');
    const displaced = offer(admission, 'b1', 'b');
    expect(displaced).to.deep.include({
      type: 'refuse',
      requestId: 'a2',
      reason: 'queue-full',
      retryAfterMs: 50,
    });
    expect(offer(admission, 'b2', 'b')).to.have.nested.property('[0].reason', 'queue-full');
    const order = ['running', 'a1', 'b1'].map((id) => dispatched(admission.release(id, 1)));
    expect(order).to.deep.equal([['a1'], ['b1'], []]);
  });

  it('refuses immediately a request that cannot finish in time by the measured service time, with a retry delay', () => {
    const admission = new EndpointAdmission(1);
    offer(admission, 'first', 'a');
    admission.release('first', 100, 100);
    offer(admission, 'running', 'a', 1_000);
    const tight = admission.offer({ requestId: 'tight', callerNode: 'a', deadlineAtMs: 290 }, 100);
    expect(tight).to.deep.equal([
      { type: 'refuse', requestId: 'tight', reason: 'cannot-finish-in-time', retryAfterMs: 100 },
    ]);
    const loose = admission.offer({ requestId: 'loose', callerNode: 'a', deadlineAtMs: 310 }, 100);
    expect(loose).to.deep.equal([]);
  });

  it('lowers the concurrency limit after refusals and raises it again with responses', () => {
    const admission = new EndpointAdmission(10);
    for (let refusal = 0; refusal < 7; refusal += 1) {
      admission.endpointRefused();
    }
    const limitAfter = (): number => {
      let count = 0;
      while (dispatched(offer(admission, `r${count}`, 'a')).length > 0) {
        count += 1;
      }
      admission.withdraw(`r${count}`, 'a');
      for (let index = 0; index < count; index += 1) {
        admission.release(`r${index}`, 1, 1);
      }
      return count;
    };
    expect(limitAfter()).to.equal(4);
    for (let round = 0; round < 12; round += 1) {
      limitAfter();
    }
    expect(limitAfter()).to.equal(10);
  });
});

function offer(
  admission: EndpointAdmission,
  requestId: string,
  callerNode: string,
  deadlineAtMs = NO_DEADLINE_MS,
): AdmissionEffect[] {
  return admission.offer({ requestId, callerNode, deadlineAtMs }, 0);
}

function dispatched(effects: readonly AdmissionEffect[]): string[] {
  return effects.filter(({ type }) => type === 'dispatch').map(({ requestId }) => requestId);
}

function isAdmittedWhenIdle(): boolean {
  return dispatched(offer(new EndpointAdmission(1), 'r', 'a')).length === 1;
}

function pickOf(ids: readonly string[], pick: number): string | undefined {
  return ids[pick % Math.max(1, ids.length)];
}
