/**
 * Stateful fuzzing of the request path under a virtual clock: the product's own code from the
 * caller's node to the endpoint, with kills, freezes, cuts, silences, crossed and late messages, drains
 * and shed load, against an oracle that knows every execution. A mutant per invariant must be caught.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { EndpointAdmission } from '../../src/admission/endpoint-admission.js';
import { Containment } from '../../src/containment/containment.js';
import { SuspicionTable } from '../../src/containment/suspicion-table.js';
import { EndpointAttempt } from '../../src/proxy/endpoint-attempt.js';
import { GatedCall } from '../../src/proxy/gated-call.js';
import { RequestLifecycle } from '../../src/proxy/request-lifecycle.js';
import { seededRandom } from '../../tools/emulator/seeded-random.js';
import { findUnsettled, findViolation } from './fuzz/request-oracle.js';
import { RequestWorld } from './fuzz/request-world.js';

const SEED = Number(process.env.FERRYSPOOL_FUZZ_SEED ?? 20_260_101);
const RUNS = Number(process.env.FERRYSPOOL_FUZZ_RUNS ?? 600);
/** A mutant is caught within so many runs. */
const MUTANT_RUNS = 5_000;
const MAX_COMMANDS = 60;
/** Calls of a caller that repeats a crashing request. */
const CRASHING_SERIES = 12;
/** Longer than any request, hold of a slot or late message. */
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
          for (let made = 0; made < count; made += 1) {
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
        for (let made = 0; made < count; made += 1) {
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
          for (let made = 0; made < CRASHING_SERIES; made += 1) {
            world.call(at(world.nodes, (first + made) % 3), repeatable, 1_000, true);
            world.advance(gapMs);
          }
        }),
      ),
  },
];

const faultCommands: readonly WeightedCommand[] = [
  {
    weight: 8,
    arbitrary: fc
      .integer({ min: 1, max: 400 })
      .map((byMs) => command(`advance ${byMs}`, (world) => world.advance(byMs))),
  },
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
      command(`freeze or thaw ${which}`, (world) => {
        const { process } = which < 3 ? at(world.nodes, which) : at(world.endpoints, which - 3);
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
      .map(([which, forMs]) =>
        command(`pause ${which} for ${forMs}`, (world) => {
          const { process } = which < 3 ? at(world.nodes, which) : at(world.endpoints, which - 3);
          process.freeze();
          world.advance(forMs);
          world.resetCrashTimes();
          process.thaw();
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
        command(`configure drains ${names.join()}`, (world) =>
          world.configureDrain(new Set(names)),
        ),
      ),
  },
  {
    weight: 2,
    arbitrary: fc
      .tuple(index, fc.constantFrom('alive', 'suspect', 'dead', 'leaving'))
      .map(([node, status]) =>
        command(`n${node} seems ${status}`, (world) => world.statuses.set(`n${node}`, status)),
      ),
  },
  {
    weight: 1,
    arbitrary: fc.nat({ max: 50 }).map((call) =>
      command(`caller ${call} leaves`, (world) => {
        const record = world.calls[call];
        if (record !== undefined && record.outcomes.length === 0 && !record.node.process.isFrozen) {
          record.outcomes.push({ kind: 'nothing' });
          record.close(false);
        }
      }),
    ),
  },
];

/** Signs of silence where nothing need be wrong. */
const silenceCommand: WeightedCommand = {
  weight: 8,
  arbitrary: fc.tuple(index, index).map(([node, peer]) =>
    command(`n${node} hears nothing of n${peer}`, (world) => {
      const { process, services } = at(world.nodes, node);
      if (process.isAlive && !process.isFrozen) {
        services.awaited.machineUnresponsive(`n${peer}`);
      }
    }),
  ),
};

const scenarioOf = (commands: readonly WeightedCommand[]) =>
  fc.record({
    seed: fc.nat(),
    faults: fc.record({
      shed: fc.constantFrom(0, 0.3),
      lost: fc.constantFrom(0, 0.3),
      broken: fc.constantFrom(0, 0.3),
      slow: fc.constantFrom(0, 0.3, 0.9),
      late: fc.constantFrom(0.05, 0.4),
    }),
    commands: fc.array(fc.oneof(...commands), {
      minLength: 5,
      maxLength: MAX_COMMANDS,
      size: 'max',
    }),
  });

/** `tellsBirths` says whether nodes hear that an endpoint has started again under its name. */
const propertyOf = (arbitrary: ReturnType<typeof scenarioOf>, tellsBirths = false) =>
  fc.property(arbitrary, ({ seed, faults, commands }) => {
    const world = new RequestWorld(faults, seededRandom(seed), tellsBirths);
    for (const step of commands) {
      step.run(world);
      world.advance(1);
      failOn(findViolation(world), step.name);
    }
    world.resetCrashTimes();
    for (const { process } of [...world.nodes, ...world.endpoints]) {
      process.thaw();
    }
    for (let settled = 0; settled < SETTLE_MS; settled += 500) {
      world.advance(500);
      failOn(findViolation(world), 'settling');
    }
    failOn(findUnsettled(world), 'the end');
  });

const scenarios = scenarioOf([...callCommands, ...crashCommands, ...faultCommands]);
const property = propertyOf(scenarios);
const birthsProperty = propertyOf(scenarios, true);
const silenceProperty = propertyOf(scenarioOf([...callCommands, ...faultCommands, silenceCommand]));

interface Mutant {
  readonly name: string;
  /** What has to find it; the property without silences when absent. */
  readonly property?: typeof property;
  readonly target: object;
  readonly method: string;
  /** Makes what stands in place of the method. */
  readonly replace: (original: (...inputs: unknown[]) => unknown) => unknown;
}

const mutants: readonly Mutant[] = [
  {
    name: 'requests that may run once are sent again without proof',
    target: RequestLifecycle.prototype,
    method: 'mayRetry',
    replace: () =>
      function (this: { retriesLeft: number }): boolean {
        return this.retriesLeft > 0;
      },
  },
  {
    name: 'the last attempt alone gives the verdict',
    target: RequestLifecycle.prototype,
    method: 'report',
    replace: (original) =>
      function (this: { mayHaveRun: boolean }, failure: unknown): unknown {
        this.mayHaveRun = false;
        return original.call(this, failure);
      },
  },
  {
    name: 'a request is told of a refusal while an attempt is in doubt',
    property: silenceProperty,
    target: RequestLifecycle.prototype,
    method: 'settle',
    replace: () =>
      function (this: { report: (failure: unknown) => unknown }, failure: unknown): unknown {
        return this.report(failure);
      },
  },
  {
    name: 'a request that was sent counts as not sent at its deadline',
    target: EndpointAttempt.prototype,
    method: 'expire',
    replace: (original) =>
      function (this: unknown): unknown {
        return original.call(this, false);
      },
  },
  {
    name: 'a request that was sent counts as not sent when it is given up',
    target: GatedCall.prototype,
    method: 'isUnsent',
    replace: () => () => true,
  },
  {
    name: 'an endpoint that does not know a request proves that it has not run',
    target: EndpointAttempt.prototype,
    method: 'takeCancelOutcome',
    replace: (original) =>
      function (this: unknown, outcome: unknown): unknown {
        return original.call(this, outcome === 'unknown' ? 'not-started' : outcome);
      },
  },
  {
    name: 'a slot is free although the cancellation is not confirmed',
    target: EndpointAttempt.prototype,
    method: 'takeCancelOutcome',
    replace: (original) =>
      function (this: unknown, outcome: unknown): unknown {
        return original.call(this, outcome === 'unconfirmed' ? 'finished' : outcome);
      },
  },
  {
    name: 'a slot is free before the endpoint confirms',
    target: EndpointAttempt.prototype,
    method: 'cancel',
    replace: (original) =>
      function (this: unknown, report: unknown): unknown {
        const effects = original.call(this, report) as unknown[];
        return [...effects, { type: 'release-slot', isMeasured: false }];
      },
  },
  {
    name: 'the end of an answer is not looked at',
    target: EndpointAttempt.prototype,
    method: 'endAnswer',
    replace: () => () => [],
  },
  {
    name: 'slots are not counted',
    target: EndpointAdmission.prototype,
    method: 'dispatchOrRefuse',
    replace: () => (ticket: { requestId: string }) => ({
      type: 'dispatch',
      requestId: ticket.requestId,
    }),
  },
  {
    name: 'the deadline is not checked when a slot comes free',
    target: EndpointAdmission.prototype,
    method: 'dispatchOrRefuse',
    replace: () =>
      function (this: { running: Set<string> }, ticket: { requestId: string }): unknown {
        this.running.add(ticket.requestId);
        return { type: 'dispatch', requestId: ticket.requestId };
      },
  },
  {
    name: 'a request under which endpoints ended is sent on',
    target: SuspicionTable.prototype,
    method: 'standingOf',
    replace: () => () => 'clear',
  },
  {
    name: 'what a node has learnt of a request is not told',
    target: Containment.prototype,
    method: 'tell',
    replace: () => () => undefined,
  },
  {
    name: 'a drain does not reach admission',
    target: EndpointAdmission.prototype,
    method: 'close',
    replace: () => () => [],
  },
];

describe('fuzzing of the request path', function () {
  this.timeout(600_000);

  it('keeps every promise', () => {
    fc.assert(property, { seed: SEED, numRuns: RUNS });
  });

  it('keeps every promise where peers seem silent', () => {
    fc.assert(silenceProperty, { seed: SEED, numRuns: RUNS });
  });

  it('keeps every promise where nodes hear that endpoints have started again', () => {
    fc.assert(birthsProperty, { seed: SEED, numRuns: RUNS });
  });

  for (const mutant of mutants) {
    it(`catches: ${mutant.name}`, () => {
      const original = Reflect.get(mutant.target, mutant.method) as () => unknown;
      expect(original).to.be.a('function');
      Reflect.set(mutant.target, mutant.method, mutant.replace(original));
      try {
        const checked = mutant.property ?? property;
        const result = fc.check(checked, { seed: SEED, numRuns: MUTANT_RUNS, endOnFailure: true });
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
