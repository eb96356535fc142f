/**
 * Stateful fuzz test of the request path under a virtual clock. Runs the production code from the caller's node to
 * the endpoint with process kills, freezes, connection losses, unresponsive peers, reordered and delayed messages,
 * drains and load shedding, and checks it against an oracle that records every execution. One mutant per invariant
 * shows that a violation is detected.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { EndpointAdmission } from '../../src/admission/endpoint-admission.js';
import { Containment } from '../../src/containment/containment.js';
import { SuspicionTable } from '../../src/containment/suspicion-table.js';
import { EndpointAttempt } from '../../src/proxy/endpoint-attempt.js';
import { GatedCall } from '../../src/proxy/gated-call.js';
import { RequestLifecycle } from '../../src/proxy/request-lifecycle.js';
import { EndpointStatement } from '../../src/routing/endpoint-statement.js';
import { seededRandom } from '../../tools/emulator/seeded-random.js';
import { findAbandonedRun, findUnsettled, findViolation } from './fuzz/request-oracle.js';
import { RequestWorld } from './fuzz/request-world.js';

const SEED = Number(process.env.FERRYSPOOL_FUZZ_SEED ?? 20_260_101);
const RUNS = Number(process.env.FERRYSPOOL_FUZZ_RUNS ?? 600);
/** Maximum number of runs within which a mutant must be detected. */
const MUTANT_RUNS = 5_000;
const MAX_COMMANDS = 60;
/** Number of calls in a series that repeats a crashing request. */
const CRASHING_CALL_COUNT = 12;
/** Number of calls in a burst, and the target latency of their route, in milliseconds. */
const BURST_CALL_COUNT = 12;
const BURST_TARGET_MS = 60;
/** Number of calls in a series that finds rate limits exceeded. */
const SERIES_CALL_COUNT = 30;
/** Exceeds the duration of any request, slot occupation or delayed message, in milliseconds. */
const SETTLE_MS = 20_000;

interface Command {
  readonly name: string;
  run(world: RequestWorld): void;
}

const index = fc.nat({ max: 2 });
const flag = fc.boolean();

type WeightedCommand = fc.WeightedArbitrary<Command>;

const callCommands: readonly WeightedCommand[] = [
  {
    weight: 12,
    arbitrary: fc
      .record({
        node: index,
        repeatable: flag,
        timeoutMs: fc.integer({ min: 20, max: 1_500 }),
        count: fc.constantFrom(1, 1, 6),
      })
      .map(({ node, repeatable, timeoutMs, count }) =>
        command(`${count} calls n${node} ${repeatable} ${timeoutMs}`, (world) => {
          for (let i = 0; i < count; i += 1) {
            world.call(at(world.nodes, node), repeatable, timeoutMs);
          }
        }),
      ),
  },
];

const burstCommands: readonly WeightedCommand[] = [
  {
    weight: 10,
    arbitrary: fc
      .tuple(index, flag, fc.integer({ min: 4 * BURST_TARGET_MS, max: 1_500 }))
      .map(([node, repeatable, timeoutMs]) =>
        command(`burst n${node} ${repeatable} ${timeoutMs}`, (world) => {
          for (let i = 0; i < BURST_CALL_COUNT; i += 1) {
            world.call(at(world.nodes, node), repeatable, timeoutMs);
          }
        }),
      ),
  },
];

const crashCommands: readonly WeightedCommand[] = [
  {
    weight: 3,
    arbitrary: fc.tuple(index, flag, fc.constantFrom(1, 3)).map(([node, repeatable, count]) =>
      command(`${count} crashing calls n${node} ${repeatable}`, (world) => {
        for (let i = 0; i < count; i += 1) {
          world.call(at(world.nodes, node), repeatable, 1_000, true);
        }
      }),
    ),
  },
  {
    weight: 1,
    arbitrary: fc
      .tuple(index, flag, fc.integer({ min: 60, max: 250 }))
      .map(([first, repeatable, gapMs]) =>
        command(`series of crashing calls from n${first} ${repeatable} ${gapMs}`, (world) => {
          for (let i = 0; i < CRASHING_CALL_COUNT; i += 1) {
            world.call(at(world.nodes, (first + i) % 3), repeatable, 1_000, true);
            world.advance(gapMs);
          }
        }),
      ),
  },
];

/** Lets time pass. */
const advanceCommand: WeightedCommand = {
  weight: 8,
  arbitrary: fc
    .integer({ min: 1, max: 400 })
    .map((durationMs) => command(`advance ${durationMs}`, (world) => world.advance(durationMs))),
};

function disconnectCommand(weight: number): WeightedCommand {
  return {
    weight,
    arbitrary: fc.nat({ max: 50 }).map((call) =>
      command(`caller ${call} disconnects`, (world) => {
        const record = world.calls[call];
        if (record !== undefined && record.outcomes.length === 0 && !record.node.process.isFrozen) {
          record.outcomes.push({ kind: 'nothing' });
          record.leftAtMs = world.clock.nowMs;
          record.close(false);
        }
      }),
    ),
  };
}

const faultCommands: readonly WeightedCommand[] = [
  advanceCommand,
  {
    weight: 2,
    arbitrary: fc
      .tuple(index, flag, flag)
      .map(([node, toServer, toClient]) =>
        command(`cut n${node}`, (world) =>
          world.cut(at(world.nodes, node).process, toServer, toClient),
        ),
      ),
  },
  {
    weight: 1,
    arbitrary: index.map((node) =>
      command(`give up at n${node}`, (world) => world.giveUp(at(world.nodes, node))),
    ),
  },
  {
    weight: 4,
    arbitrary: index.map((node) =>
      command(`kill or start n${node}`, (world) => {
        const target = at(world.nodes, node);
        if (target.process.isAlive) {
          world.killNode(target);
        } else {
          target.start();
        }
      }),
    ),
  },
  {
    weight: 4,
    arbitrary: fc.nat({ max: 4 }).map((which) =>
      command(`freeze or thaw process ${which}`, (world) => {
        const { process } = which < 3 ? at(world.nodes, which) : at(world.endpoints, which - 3);
        if (which < 3) {
          world.nodeInterrupted(at(world.nodes, which));
        }
        if (process.isFrozen) {
          world.resetCrashTimes();
          process.thaw();
        } else if (process.isAlive) {
          process.freeze();
          world.resetCrashTimes();
        }
      }),
    ),
  },
  {
    weight: 4,
    arbitrary: fc.nat({ max: 1 }).map((which) =>
      command(`kill or start e${which + 1}`, (world) => {
        const endpoint = at(world.endpoints, which);
        if (endpoint.process.isAlive) {
          world.killEndpoint(endpoint);
        } else {
          world.restartEndpoint(endpoint);
        }
      }),
    ),
  },
  {
    weight: 2,
    arbitrary: fc
      .tuple(fc.nat({ max: 4 }), fc.integer({ min: 10, max: 2_000 }))
      .map(([which, durationMs]) =>
        command(`pause process ${which} for ${durationMs}`, (world) => {
          const { process } = which < 3 ? at(world.nodes, which) : at(world.endpoints, which - 3);
          process.freeze();
          world.advance(durationMs);
          world.resetCrashTimes();
          process.thaw();
          if (which < 3) {
            world.nodeInterrupted(at(world.nodes, which));
          }
        }),
      ),
  },
  {
    weight: 2,
    arbitrary: fc.nat({ max: 1 }).map((which) =>
      command(`restart e${which + 1}`, (world) => {
        world.killEndpoint(at(world.endpoints, which));
        world.restartEndpoint(at(world.endpoints, which));
      }),
    ),
  },
  {
    weight: 2,
    arbitrary: fc.tuple(fc.nat({ max: 1 }), flag).map(([which, isDraining]) =>
      command(`drain e${which + 1} ${isDraining}`, (world) => {
        at(world.endpoints, which).isDraining = isDraining;
      }),
    ),
  },
  {
    weight: 2,
    arbitrary: fc
      .subarray(['e1', 'e2'])
      .map((names) =>
        command(`set configured drains to ${names.join()}`, (world) =>
          world.configureDrain(new Set(names)),
        ),
      ),
  },
  {
    weight: 2,
    arbitrary: fc
      .tuple(index, fc.constantFrom('alive', 'suspect', 'dead', 'leaving'))
      .map(([node, status]) =>
        command(`member n${node} is ${status}`, (world) => world.statuses.set(`n${node}`, status)),
      ),
  },
  disconnectCommand(1),
];

/** Reports a peer as unresponsive, although it may be working. */
const suspicionCommand: WeightedCommand = {
  weight: 8,
  arbitrary: fc.tuple(index, index).map(([node, peer]) =>
    command(`n${node} reports n${peer} as unresponsive`, (world) => {
      const { process, services } = at(world.nodes, node);
      if (process.isAlive && !process.isFrozen) {
        services.awaited.machineUnresponsive(`n${peer}`);
      }
    }),
  ),
};

/** Endpoints name rate limits, change and lift them, and say that they leave, while callers send many requests. */
const statementCommands: readonly WeightedCommand[] = [
  {
    weight: 4,
    arbitrary: fc
      .tuple(fc.nat({ max: 1 }), fc.constantFrom(0, 0.4, 1, 3.3, Infinity))
      .map(([which, maxRatePerS]) =>
        command(`e${which + 1} names limit ${maxRatePerS}`, (world) =>
          world.nameLimit(at(world.endpoints, which), maxRatePerS),
        ),
      ),
  },
  {
    weight: 1,
    arbitrary: fc.nat({ max: 1 }).map((which) =>
      command(`e${which + 1} says that it leaves`, (world) => {
        at(world.endpoints, which).isLeaving = true;
      }),
    ),
  },
  {
    weight: 6,
    arbitrary: fc.tuple(index, fc.integer({ min: 20, max: 120 })).map(([first, gapMs]) =>
      command(`series of calls from n${first}, one in ${gapMs} ms`, (world) => {
        for (let i = 0; i < SERIES_CALL_COUNT; i += 1) {
          world.call(at(world.nodes, (first + i) % 3), true, 600);
          world.advance(gapMs);
        }
      }),
    ),
  },
];

const scenarioOf = (
  commands: readonly WeightedCommand[],
  silentShares: fc.Arbitrary<number> = fc.constant(0),
) =>
  fc.record({
    seed: fc.nat(),
    faults: fc.record({
      shed: fc.constantFrom(0, 0.3),
      lost: fc.constantFrom(0, 0.3),
      broken: fc.constantFrom(0, 0.3),
      slow: fc.constantFrom(0, 0.3, 0.9),
      late: fc.constantFrom(0.05, 0.4),
      silent: silentShares,
    }),
    commands: fc.array(fc.oneof(...commands), {
      minLength: 5,
      maxLength: MAX_COMMANDS,
      size: 'max',
    }),
  });

/** Number of requests that waited for a slot in all runs. */
let startedWaits = 0;

/** With `publishesStartTimes`, nodes are notified that an endpoint has restarted under the same name. */
const propertyOf = (
  arbitrary: ReturnType<typeof scenarioOf>,
  publishesStartTimes = false,
  findFurther: (world: RequestWorld) => string | undefined = () => undefined,
  route: Readonly<Record<string, unknown>> = {},
) =>
  fc.property(arbitrary, ({ seed, faults, commands }) => {
    const world = new RequestWorld(faults, seededRandom(seed), publishesStartTimes, route);
    for (const step of commands) {
      step.run(world);
      world.advance(1);
      failOn(findViolation(world) ?? findFurther(world), step.name);
    }
    world.resetCrashTimes();
    for (const { process } of [...world.nodes, ...world.endpoints]) {
      process.thaw();
    }
    for (let settledMs = 0; settledMs < SETTLE_MS; settledMs += 500) {
      world.advance(500);
      failOn(findViolation(world) ?? findFurther(world), 'settling');
    }
    failOn(findUnsettled(world), 'the end of the run');
    startedWaits += world.startedWaits;
  });

const scenarios = scenarioOf([...callCommands, ...crashCommands, ...faultCommands]);
const property = propertyOf(scenarios);
const restartProperty = propertyOf(scenarios, true);
const suspicionProperty = propertyOf(
  scenarioOf([...callCommands, ...faultCommands, suspicionCommand]),
);
/** Endpoints fall silent inside their answers. */
const silentShares = fc.constantFrom(0, 0.2);
const silenceProperty = propertyOf(
  scenarioOf([...callCommands, ...faultCommands, suspicionCommand], silentShares),
);
const crashAndSilenceProperty = propertyOf(
  scenarioOf([...callCommands, ...crashCommands, ...faultCommands], silentShares),
);
const statementProperty = propertyOf(
  scenarioOf([...callCommands, ...faultCommands, ...statementCommands]),
  true,
);
const abandonProperty = propertyOf(
  scenarioOf([...callCommands, advanceCommand, disconnectCommand(12)]),
  false,
  findAbandonedRun,
);

/** Bursts on a route with a target latency: requests that are refused for lack of capacity wait for a slot. */
const waitingProperty = propertyOf(
  scenarioOf([...burstCommands, advanceCommand, ...faultCommands, disconnectCommand(3)]),
  true,
  undefined,
  { targetLatencyMs: BURST_TARGET_MS },
);

interface Mutant {
  readonly name: string;
  /** The property that must detect the mutant; by default the one without unresponsive peers. */
  readonly property?: typeof property;
  readonly target: object;
  readonly method: string;
  /** Returns the replacement for the method. */
  readonly replace: (original: (...inputs: unknown[]) => unknown) => unknown;
}

const mutants: readonly Mutant[] = [
  {
    name: 'a request waits for a slot although it may have run',
    property: waitingProperty,
    target: RequestLifecycle.prototype,
    method: 'waitForSlot',
    replace: () =>
      function (this: { state: string; lastFailure: unknown }): unknown[] {
        this.state = 'waiting';
        return [{ type: 'wait', delayMs: 50, failure: this.lastFailure }];
      },
  },
  {
    name: 'requests that are not repeatable are retried without proof that they have not run',
    target: RequestLifecycle.prototype,
    method: 'mayRetry',
    replace: () =>
      function (this: { retriesLeft: number }): boolean {
        return this.retriesLeft > 0;
      },
  },
  {
    name: 'the verdict depends only on the last attempt',
    target: RequestLifecycle.prototype,
    method: 'report',
    replace: (original) =>
      function (this: { mayHaveRun: boolean }, failure: unknown): unknown {
        this.mayHaveRun = false;
        return original.call(this, failure);
      },
  },
  {
    name: 'a refusal is reported while an attempt is suspected',
    property: suspicionProperty,
    target: RequestLifecycle.prototype,
    method: 'settle',
    replace: () =>
      function (this: { report: (failure: unknown) => unknown }, failure: unknown): unknown {
        return this.report(failure);
      },
  },
  {
    name: 'a sent request is treated as unsent at its deadline',
    target: EndpointAttempt.prototype,
    method: 'expire',
    replace: (original) =>
      function (this: unknown): unknown {
        return original.call(this, false);
      },
  },
  {
    name: 'a sent request is treated as unsent when it is given up',
    target: GatedCall.prototype,
    method: 'isUnsent',
    replace: () => () => true,
  },
  {
    name: 'a request that is unknown to its endpoint is treated as not run',
    target: EndpointAttempt.prototype,
    method: 'takeCancelOutcome',
    replace: (original) =>
      function (this: unknown, outcome: unknown): unknown {
        return original.call(this, outcome === 'unknown' ? 'not-started' : outcome);
      },
  },
  {
    name: 'a slot is released although the cancellation is unconfirmed',
    target: EndpointAttempt.prototype,
    method: 'takeCancelOutcome',
    replace: (original) =>
      function (this: unknown, outcome: unknown): unknown {
        return original.call(this, outcome === 'unconfirmed' ? 'finished' : outcome);
      },
  },
  {
    name: 'a slot is released before the endpoint confirms the cancellation',
    target: EndpointAttempt.prototype,
    method: 'cancel',
    replace: (original) =>
      function (this: unknown, report: unknown): unknown {
        const effects = original.call(this, report) as unknown[];
        return [...effects, { type: 'release-slot', isMeasured: false }];
      },
  },
  {
    name: 'the end of an answer is ignored',
    target: EndpointAttempt.prototype,
    method: 'endAnswer',
    replace: () => () => [],
  },
  {
    name: 'occupied slots are not counted',
    target: EndpointAdmission.prototype,
    method: 'dispatchOrRefuse',
    replace: () => (ticket: { requestId: string }) => ({
      type: 'dispatch',
      requestId: ticket.requestId,
    }),
  },
  {
    name: 'the deadline is not checked when a slot becomes free',
    target: EndpointAdmission.prototype,
    method: 'dispatchOrRefuse',
    replace: () =>
      function (
        this: { running: Map<string, string | undefined> },
        ticket: { requestId: string },
      ): unknown {
        this.running.set(ticket.requestId, undefined);
        return { type: 'dispatch', requestId: ticket.requestId };
      },
  },
  {
    name: 'a request during which endpoints have crashed is forwarded',
    target: SuspicionTable.prototype,
    method: 'standingOf',
    replace: () => () => 'clear',
  },
  {
    name: 'the suspicions of a node are not propagated',
    target: Containment.prototype,
    method: 'tell',
    replace: () => () => undefined,
  },
  {
    name: 'a drain does not close admission',
    target: EndpointAdmission.prototype,
    method: 'close',
    replace: () => () => [],
  },
  {
    name: 'a rate limit is known but not enforced',
    property: statementProperty,
    target: EndpointStatement.prototype,
    method: 'updateBucket',
    replace: () => () => undefined,
  },
  {
    name: 'a request whose caller has left is not aborted',
    property: abandonProperty,
    target: RequestLifecycle.prototype,
    method: 'abandon',
    replace: () =>
      function (this: { state: string }): unknown[] {
        this.state = 'over';
        return [];
      },
  },
  {
    name: 'an endpoint that says that it leaves is not remembered',
    property: statementProperty,
    target: EndpointStatement.prototype,
    method: 'markLeaving',
    replace: () => () => false,
  },
];

describe('request path under fuzzing', function () {
  this.timeout(600_000);

  it('preserves all invariants', () => {
    fc.assert(property, { seed: SEED, numRuns: RUNS });
  });

  it('preserves all invariants while peers are reported as unresponsive', () => {
    fc.assert(suspicionProperty, { seed: SEED, numRuns: RUNS });
  });

  it('gives every request a final outcome while endpoints fall silent inside their answers', () => {
    fc.assert(silenceProperty, { seed: SEED, numRuns: RUNS });
  });

  it('preserves all invariants while endpoints crash or fall silent inside their answers', () => {
    fc.assert(crashAndSilenceProperty, { seed: SEED, numRuns: RUNS });
  });

  it('preserves all invariants while nodes are notified of endpoint restarts', () => {
    fc.assert(restartProperty, { seed: SEED, numRuns: RUNS });
  });

  it('preserves all invariants while endpoints name rate limits and leave', () => {
    fc.assert(statementProperty, { seed: SEED, numRuns: RUNS });
  });

  it('preserves all invariants while requests wait for slots', () => {
    startedWaits = 0;
    fc.assert(waitingProperty, { seed: SEED, numRuns: RUNS });
    expect(startedWaits).to.be.above(RUNS);
  });

  it('ends the requests of callers that disconnect', () => {
    fc.assert(abandonProperty, { seed: SEED, numRuns: RUNS });
  });

  for (const mutant of mutants) {
    it(`detects the mutant: ${mutant.name}`, () => {
      const original = Reflect.get(mutant.target, mutant.method) as () => unknown;
      expect(original).to.be.a('function');
      Reflect.set(mutant.target, mutant.method, mutant.replace(original));
      try {
        const checkedProperty = mutant.property ?? property;
        const result = fc.check(checkedProperty, {
          seed: SEED,
          numRuns: MUTANT_RUNS,
          endOnFailure: true,
        });
        expect(result.failed).to.equal(true);
      } finally {
        Reflect.set(mutant.target, mutant.method, original);
      }
    });
  }
});

function command(
  name: string,
  run: (world: RequestWorld) => void,
): Command & fc.WithToStringMethod {
  return { name, run, [fc.toStringMethod]: () => name };
}

function at<Item>(items: readonly Item[], position: number): Item {
  return items[position] as Item;
}

function failOn(violation: string | undefined, step: string): void {
  if (violation !== undefined) {
    throw new Error(`after ${step}: ${violation}`);
  }
}
