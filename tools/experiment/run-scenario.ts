/** Plays one scenario with one variant under one seed. */
import { planArrivals, type Arrival } from './call-plan.js';
import { EmulatedCaller, type CallerOutcome } from './emulated-caller.js';
import { EmulatedFleet } from './emulated-fleet.js';
import { measuresOf, type Measures } from './measures.js';
import { settingsOf, type Variant } from './policy-settings.js';
import type { Scenario } from './scenario.js';

/** Time after the last deadline in which a run ends, in milliseconds. */
const REST_MS = 2_000;

/** What one run came to. */
export interface RunResult {
  readonly outcomes: readonly CallerOutcome[];
  readonly measures: Measures;
}

/** Plays it. The same seed gives the same arrivals whatever the variant. */
export function runScenario(scenario: Scenario, variant: Variant, seed: number): RunResult {
  const fleet = new EmulatedFleet(scenario, seed, settingsOf(variant));
  const callers = planArrivals(scenario, seed).map((arrival) => callerOf(fleet, arrival));
  const longestMs = Math.max(...scenario.classes.map(({ deadlineMs }) => deadlineMs));
  fleet.clock.runUntil(scenario.durationMs + longestMs + REST_MS);
  const outcomes = callers.map(({ outcome }) => outcome);
  return { outcomes, measures: measuresOf(outcomes, fleet) };
}

function callerOf(fleet: EmulatedFleet, { atMs, place, request }: Arrival): EmulatedCaller {
  const caller = new EmulatedCaller(
    {
      clock: fleet.clock,
      run: (nodeRequest, reply, isRepeat) => {
        const node = fleet.entryAt(place);
        const work = isRepeat ? 'repeat' : 'request';
        node.processor.handle(work, () => node.run(nodeRequest, reply));
      },
      wasReached: (id) => fleet.wasReached(id),
    },
    request,
  );
  fleet.clock.schedule(atMs, { run: () => caller.start() });
  return caller;
}
