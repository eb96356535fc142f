/**
 * Guards against confirmed configurations that are refused whole for a bound of the project's own: the version before stayed
 * in force, and nodes that started meanwhile had none. Likewise entries of back ends that were passed over.
 */
import { expect } from 'chai';
import { createRecordReader } from '../../platform/records.js';
import type { Route } from '../../src/model/resource.js';
import { lateRank, isLateRank, priorityOf, rankOfWork } from '../../src/admission/work-rank.js';
import { addressOf, PlatformFleet, type FleetMachine } from './platform-fleet.js';

const LONG_NAME = 'n'.repeat(2_000);
const HOST = 'h.example';
/** Time in which a confirmed configuration has to be in force, in milliseconds. */
const APPLY_MS = 2_000;

interface Fields {
  readonly route?: object;
  readonly service?: object;
  readonly limits?: object;
  readonly services?: readonly object[];
  readonly hosts?: readonly object[];
}

/** A value that no page forbids, and whether a part of it is cut to what a node can do. */
interface ValueCase extends Fields {
  readonly what: string;
  readonly isCut?: boolean;
}

const CASES: readonly ValueCase[] = [
  { what: 'a rank of 128', route: { priority: 128 } },
  { what: 'a rank of 2^40', route: { priority: 2 ** 40 }, isCut: true },
  { what: '5,000 attempts', route: { maxAttempts: 5_000 } },
  { what: '10^9 attempts', route: { maxAttempts: 1e9 }, isCut: true },
  { what: 'a time-out of a month', route: { timeoutS: 2_592_000 }, isCut: true },
  { what: 'a target latency of a month', route: { targetLatencyS: 2_592_000 }, isCut: true },
  { what: 'a target latency of 20 minutes', route: { targetLatencyS: 1_200 } },
  { what: 'a route with a long name', route: { name: LONG_NAME } },
  { what: 'a long kind', route: { kind: LONG_NAME } },
  { what: 'a long path', route: { pathPrefix: `/${LONG_NAME}/` } },
  {
    what: 'large weights',
    route: {
      service: undefined,
      weightedTargets: [
        { service: 'a', weight: 1e300 },
        { service: 'b', weight: 0 },
      ],
    },
  },
  { what: 'bodies of 2^40 bytes', limits: { maxBodyBytes: 2 ** 40 } },
  { what: 'heads of 2^40 bytes', limits: { maxHeaderBytes: 2 ** 40 }, isCut: true },
  { what: 'a time for heads of a month', limits: { headerTimeoutS: 2_592_000 }, isCut: true },
  { what: 'idle connections of 10^300 s', limits: { idleTimeoutS: 1e300 }, isCut: true },
  { what: 'idle connections of a month', limits: { idleTimeoutS: 2_592_000 }, isCut: true },
  { what: 'cold times of a day', service: { coldStartS: 86_400, coldPerS: 1_000 } },
  { what: 'cold times of a month', service: { coldStartS: 2_592_000, coldPerS: 9 }, isCut: true },
  { what: 'a cold rate of 10^9', service: { coldStartS: 1, coldPerS: 1e9 }, isCut: true },
  { what: 'a service with a long name', services: [{ name: LONG_NAME }] },
  {
    what: 'a host with a long name, whose route has the name of another',
    hosts: [{ hostname: LONG_NAME, paths: [routeOf({ name: 'r-added', service: 'b' })] }],
  },
];

function routeOf(fields: object = {}): object {
  return {
    name: 'r-added',
    pathPrefix: '/added/',
    kind: 'safe',
    timeoutS: 2,
    targetLatencyS: 0.5,
    priority: 1,
    maxAttempts: 2,
    service: 'a',
    ...fields,
  };
}

function configurationOf(
  version: number,
  { route, service, limits, services = [], hosts = [] }: Fields,
): object {
  return {
    version: version.toString(16).padStart(8, '0'),
    services: [...['a', 'b'].map((name) => ({ name, ...service })), ...services],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 65_536,
      headerTimeoutS: 3,
      idleTimeoutS: 15,
      ...limits,
    },
    virtualHosts: [{ hostname: HOST, paths: [routeOf(route)] }, ...hosts],
  };
}

describe('a confirmed configuration with a value that no page forbids', () => {
  let fleet: PlatformFleet;
  let machine: FleetMachine;
  let version = 100;

  beforeEach(async () => {
    fleet = await PlatformFleet.start();
    machine = await fleet.addMachine();
    await fleet.untilStatus(machine, 200);
  });

  afterEach(() => fleet.close());

  for (const { what, isCut = false, ...fields } of CASES) {
    it(`is in force: ${what}`, async () => {
      version += 1;
      fleet.store.put('op/config', configurationOf(version, fields));
      const writtenAtMs = performance.now();
      const { pathPrefix = '/added/' } = (fields.route ?? {}) as { pathPrefix?: string };
      await fleet.untilStatus(machine, 200, `${pathPrefix}x`);
      expect(performance.now() - writtenAtMs).to.be.lessThan(APPLY_MS);
      expect(machine.log.some((line) => line.includes('store-item-refused'))).to.equal(false);
      expect(machine.log.some((line) => line.includes('store-value-limited'))).to.equal(isCut);
    }).timeout(5_000);
  }

  it('is served by back ends at other nodes, also of a service with a long name', async () => {
    const other = await fleet.addMachine('b');
    const name = LONG_NAME;
    const added = { services: [{ name }], route: { service: name } };
    fleet.store.put('op/config', configurationOf(900, added));
    fleet.announce(other, name, 'ready');
    await fleet.untilStatus(machine, 200, '/added/x');
  }).timeout(10_000);
});

describe('an entry of a back end with large values', () => {
  const read = createRecordReader({ retryBudgetPercent: 20, regionOfZone: () => 'r1' });

  function slotsOf(slots: number): unknown {
    const text = JSON.stringify({
      address: `${addressOf(1)}:80`,
      info: { service: 'a', version: LONG_NAME, zone: 'z'.repeat(300), slots },
      status: { state: 'ready', sequence: 1, coldRemainingS: 7_200 },
    });
    const record = read('servers/x', text);
    return record.kind === 'endpoint'
      ? { slots: record.endpoint.spec.slots, isCut: record.limited !== undefined }
      : record.kind;
  }

  it('is used, with as many slots as a node can count', () => {
    expect(slotsOf(64)).to.deep.equal({ slots: 64, isCut: false });
    expect(slotsOf(200_000)).to.deep.equal({ slots: 100_000, isCut: true });
  });
});

describe('ranks of work with a long target latency', () => {
  it('stay within their priority, and are not taken for late', () => {
    const rank = rankOfWork(2, 86_400_000);
    expect(priorityOf(rank)).to.equal(2);
    expect(isLateRank(rank)).to.equal(false);
    expect(lateRank(rank)).to.be.lessThan(rankOfWork(3, 0));
  });
});

describe('the weights of a route', () => {
  it('keep their proportions when they are scaled down', () => {
    const read = createRecordReader({ retryBudgetPercent: 20, regionOfZone: () => 'r1' });
    const weightedTargets = [
      { service: 'a', weight: 3e300 },
      { service: 'b', weight: 1e300 },
    ];
    const record = read(
      'op/config',
      JSON.stringify(configurationOf(1, { route: { service: undefined, weightedTargets } })),
    );
    const resources = record.kind === 'configuration' ? record.resources : [];
    const route = resources.find((resource): resource is Route => resource.kind === 'route');
    const [first, second] = route?.spec.targets ?? [];
    expect((first?.weight ?? 0) / (second?.weight ?? 1)).to.be.closeTo(3, 1e-9);
  });
});
