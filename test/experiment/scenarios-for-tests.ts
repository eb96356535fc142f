/** Small fleets and scenarios by name, for tests of the experiment tool. */
import type { RequestClass, Scenario } from '../../tools/experiment/scenario.js';
import { SCENARIOS } from '../../tools/experiment/scenarios.js';

/** A scenario of the tool. */
export function scenarioOf(name: string): Scenario {
  const found = SCENARIOS.find((one) => one.name === name);
  if (found === undefined) {
    throw new RangeError(`there is no scenario ${name}`);
  }
  return found;
}

/** Seeds from 1 on. */
export function seedsUpTo(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index + 1);
}

/** A class of requests that has 100 ms to be in time, and 400 ms in all. */
export const READ: RequestClass = {
  name: 'read',
  service: 'store',
  ratePerSecond: 20,
  workMs: 20,
  uploadBytes: 0,
  answerBytes: 100,
  targetMs: 100,
  deadlineMs: 400,
  priority: 0,
  repeatable: true,
  worth: 2,
  lateShare: 0.5,
  callerRetries: 1,
  calls: [],
};

/** One caller's node, one service, nothing amiss. */
export const SMALL: Scenario = {
  name: 'small',
  title: 'small',
  durationMs: 1_000,
  edgeNodes: 1,
  zones: 1,
  linkBytesPerMs: 1_000,
  services: [{ name: 'store', endpoints: 1, slots: 2 }],
  classes: [READ],
  faults: [],
};
