/** The end of a process against everything that looks like it. */
import { expect } from 'chai';
import { ProcessExitDetector, type EndpointRequest } from '../../src/proxy/loss-judge.js';

class Work implements EndpointRequest {
  isOpen = true;

  constructor(readonly name: string) {}

  isConnected(): boolean {
    return this.isOpen;
  }
}

/** An endpoint with work, and what its judge says. */
class JudgedEndpoint {
  readonly work = ['first', 'second', 'third'].map((name) => new Work(name));
  readonly verdicts: boolean[] = [];
  readonly ends: string[][] = [];
  probes = 0;
  /** What a new connection tells. */
  isListening: boolean | undefined = false;
  private settle: () => void = () => undefined;
  readonly judge = new ProcessExitDetector<Work>({
    inProgress: () => [...this.work].reverse(),
    probeListening: (report) => {
      this.probes += 1;
      report(this.isListening);
    },
    schedule: (_delayMs, action) => {
      this.settle = action;
      return () => undefined;
    },
    onExit: (work) => this.ends.push(work.map(({ name }) => name)),
  });

  lose(...lost: readonly number[]): void {
    for (const idx of lost) {
      const work = this.work[idx] ?? expect.fail('no such work');
      work.isOpen = false;
      this.judge.connectionLost(work, (hasEnded) => this.verdicts.push(hasEnded));
    }
  }

  decide(): void {
    this.settle();
  }
}

describe('the loss of connections to an endpoint', () => {
  it('is its end where all go and nothing listens: all that was at work is named, once', () => {
    const endpoint = new JudgedEndpoint();
    endpoint.lose(0, 2, 1);
    expect(endpoint.verdicts).to.deep.equal([]);
    endpoint.decide();
    expect(endpoint.verdicts).to.deep.equal([true, true, true]);
    expect(endpoint.ends).to.deep.equal([['first', 'third', 'second']]);
  });

  it('is that of single ones where others go on: nobody is asked', () => {
    const endpoint = new JudgedEndpoint();
    endpoint.lose(0, 1);
    endpoint.decide();
    expect(endpoint.verdicts).to.deep.equal([false, false]);
    expect([endpoint.probes, endpoint.ends.length]).to.deep.equal([0, 0]);
  });

  for (const isListening of [true, undefined]) {
    it(`is no end where a new connection tells ${isListening}`, () => {
      const endpoint = new JudgedEndpoint();
      endpoint.isListening = isListening;
      endpoint.lose(0, 1, 2);
      endpoint.decide();
      expect(endpoint.verdicts).to.deep.equal([false, false, false]);
      expect(endpoint.ends).to.deep.equal([]);
    });
  }

  it('names what was given up meanwhile, not what was answered', () => {
    const endpoint = new JudgedEndpoint();
    endpoint.lose(0);
    const [, answered, abandoned] = endpoint.work;
    endpoint.judge.answered(answered ?? expect.fail('no work'));
    for (const work of [answered, abandoned]) {
      (work ?? expect.fail('no work')).isOpen = false;
    }
    endpoint.decide();
    expect(endpoint.ends).to.deep.equal([['first', 'third']]);
  });

  it('is looked at anew the next time', () => {
    const endpoint = new JudgedEndpoint();
    endpoint.lose(0);
    endpoint.decide();
    endpoint.lose(1, 2);
    endpoint.decide();
    expect(endpoint.verdicts).to.deep.equal([false, true, true]);
  });
});
