/** Which endpoint a request tries next, and when it becomes late; runs without a clock and endpoints. */
import { expect } from 'chai';
import { resourceSchema, type Endpoint } from '../../src/model/resource.js';
import { EndpointChoice, type FindEndpoint } from '../../src/proxy/endpoint-choice.js';
import { echoEndpoint } from './rig.js';

const TARGET_AT_MS = 1_100;
const BEFORE_TARGET_MS = 1_000;

describe('choice of an endpoint for a request', () => {
  it('chooses endpoints that were not tried, before the target', () => {
    const { choice, next, lateTurns } = choiceAmong(['one', 'two']);
    expect(next(BEFORE_TARGET_MS)).to.equal('one');
    choice.markTried('one');
    expect(next(BEFORE_TARGET_MS)).to.equal('two');
    expect(choice.isLate).to.equal(false);
    expect(lateTurns()).to.equal(0);
  });

  it('becomes late once no untried endpoint is left, and retries endpoints that refused', () => {
    const { choice, next, lateTurns } = choiceAmong(['broken', 'full']);
    choice.markTried('broken');
    choice.markTried('full');
    choice.markRefused('full');
    expect(next(BEFORE_TARGET_MS)).to.equal('full');
    expect(choice.isLate).to.equal(true);
    expect(lateTurns()).to.equal(1);
  });

  it('does not retry an endpoint that was already tried late', () => {
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

  it('becomes late at the target, not before', () => {
    const { choice } = choiceAmong([]);
    choice.checkTarget(TARGET_AT_MS - 1);
    expect(choice.isLate).to.equal(false);
    choice.checkTarget(TARGET_AT_MS);
    expect(choice.isLate).to.equal(true);
  });

  it('becomes late earlier by the shortest service time that any node reported', () => {
    const { choice } = choiceAmong([]);
    choice.recordServiceMs(40);
    choice.recordServiceMs(30);
    choice.recordServiceMs(50);
    choice.checkTarget(TARGET_AT_MS - 31);
    expect(choice.isLate).to.equal(false);
    choice.checkTarget(TARGET_AT_MS - 30);
    expect(choice.isLate).to.equal(true);
  });

  it('passes to the finder whether the request is late', () => {
    const receivedLateFlags: boolean[] = [];
    const choice = new EndpointChoice(TARGET_AT_MS, () => undefined);
    choice.next(BEFORE_TARGET_MS, (_tried, isLate) => {
      receivedLateFlags.push(isLate);
      return undefined;
    });
    expect(receivedLateFlags).to.deep.equal([false, true]);
  });

  it('never becomes late without a target', () => {
    const { choice, next, lateTurns } = choiceAmong(['full'], false);
    choice.markTried('full');
    choice.markRefused('full');
    expect(next(Number.MAX_SAFE_INTEGER)).to.equal(undefined);
    expect(choice.isLate).to.equal(false);
    expect(lateTurns()).to.equal(0);
  });
});

interface ChoiceUnderTest {
  readonly choice: EndpointChoice;
  /** Returns the name of the chosen endpoint. */
  readonly next: (nowMs: number) => string | undefined;
  readonly lateTurns: () => number;
}

/** Creates a choice whose finder returns the first untried endpoint. */
function choiceAmong(names: string[], hasTarget = true): ChoiceUnderTest {
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
