/** Which endpoint a request tries next, and when it turns late; no clock and no endpoint is run. */
import { expect } from 'chai';
import { resourceSchema, type Endpoint } from '../../src/model/resource.js';
import { EndpointChoice, type FindEndpoint } from '../../src/proxy/endpoint-choice.js';
import { echoEndpoint } from './rig.js';

const TARGET_AT_MS = 1_100;
const IN_TIME_MS = 1_000;

describe('choice of an endpoint for a request', () => {
  it('goes on to endpoints that were not tried, while there is time', () => {
    const { choice, next, lateTurns } = choiceAmong(['one', 'two']);
    expect(next(IN_TIME_MS)).to.equal('one');
    choice.markTried('one');
    expect(next(IN_TIME_MS)).to.equal('two');
    expect(choice.isLate).to.equal(false);
    expect(lateTurns()).to.equal(0);
  });

  it('turns late once no endpoint is left, and asks those that refused again', () => {
    const { choice, next, lateTurns } = choiceAmong(['broken', 'full']);
    choice.markTried('broken');
    choice.markTried('full');
    choice.markRefused('full');
    expect(next(IN_TIME_MS)).to.equal('full');
    expect(choice.isLate).to.equal(true);
    expect(lateTurns()).to.equal(1);
  });

  it('does not ask an endpoint that was tried late a second time', () => {
    const { choice, next, lateTurns } = choiceAmong(['full']);
    choice.markTried('full');
    choice.markRefused('full');
    choice.checkTarget(TARGET_AT_MS);
    expect(next(TARGET_AT_MS)).to.equal('full');
    choice.markTried('full');
    choice.markRefused('full');
    expect(next(TARGET_AT_MS)).to.equal(undefined);
    expect(lateTurns()).to.equal(1);
  });

  it('turns late at the target, not before', () => {
    const { choice } = choiceAmong([]);
    choice.checkTarget(TARGET_AT_MS - 1);
    expect(choice.isLate).to.equal(false);
    choice.checkTarget(TARGET_AT_MS);
    expect(choice.isLate).to.equal(true);
  });

  it('turns late earlier by the least time that any node told', () => {
    const { choice } = choiceAmong([]);
    choice.recordServiceMs(40);
    choice.recordServiceMs(30);
    choice.recordServiceMs(50);
    choice.checkTarget(TARGET_AT_MS - 31);
    expect(choice.isLate).to.equal(false);
    choice.checkTarget(TARGET_AT_MS - 30);
    expect(choice.isLate).to.equal(true);
  });

  it('tells the finder whether the work is late', () => {
    const asked: boolean[] = [];
    const choice = new EndpointChoice(TARGET_AT_MS, () => undefined);
    choice.next(IN_TIME_MS, (_tried, isLate) => {
      asked.push(isLate);
      return undefined;
    });
    expect(asked).to.deep.equal([false, true]);
  });

  it('never turns late without a target', () => {
    const { choice, next, lateTurns } = choiceAmong(['full'], false);
    choice.markTried('full');
    choice.markRefused('full');
    expect(next(Number.MAX_SAFE_INTEGER)).to.equal(undefined);
    expect(choice.isLate).to.equal(false);
    expect(lateTurns()).to.equal(0);
  });
});

interface TriedChoice {
  readonly choice: EndpointChoice;
  /** The name of the endpoint that is chosen. */
  readonly next: (nowMs: number) => string | undefined;
  readonly lateTurns: () => number;
}

/** A choice that takes the first untried endpoint. */
function choiceAmong(names: string[], hasTarget = true): TriedChoice {
  const endpoints = names.map((name) => resourceSchema.parse(echoEndpoint(name, 1)) as Endpoint);
  const find: FindEndpoint = (tried) => endpoints.find(({ name }) => !tried.has(name));
  let turns = 0;
  const choice = new EndpointChoice(hasTarget ? TARGET_AT_MS : undefined, () => (turns += 1));
  return {
    choice,
    next: (nowMs) => choice.next(nowMs, find)?.name,
    lateTurns: () => turns,
  };
}
