/**
 * A rate limit of an endpoint that several nodes send to directly, because it has no node or its node is dead to them:
 * guards against an excess that arises because no node counts the requests of the others.
 */
import { expect } from 'chai';
import {
  call,
  echoEndpoint,
  echoService,
  rawAnswer,
  startRawEndpoint,
  TestMesh,
  type CallerResult,
  type RawEndpoint,
} from './rig.js';

const NODE_COUNT = 10;
const NODE_NAMES = Array.from({ length: NODE_COUNT }, (_, index) => `n${index + 1}`);
const RATE_PER_S = 100;
const MS_PER_SECOND = 1_000;
const WINDOW_MS = 4_000;
/** Time in which every node gets an answer, and after which its requests count, in seconds. */
const TOLD_S = 0.7;

describe('the rate limit of an endpoint that several nodes send to', () => {
  let mesh: TestMesh;
  let endpoint: RawEndpoint;
  let limitPerS: number;
  let arrivedAtMs: number[];

  beforeEach(async () => {
    arrivedAtMs = [];
    endpoint = await startRawEndpoint((socket) => {
      arrivedAtMs.push(performance.now());
      socket.write(rawAnswer('ok', `x-load: 1/20\r\nx-rate-limit: ${limitPerS}\r\n`));
    });
    mesh = new TestMesh();
    for (const name of NODE_NAMES) {
      await mesh.addNode(name);
    }
  });

  afterEach(() => {
    mesh.close();
    endpoint.close();
  });

  async function load(forS: number): Promise<CallerResult[]> {
    const results: Promise<CallerResult>[] = [];
    for (let sent = 0; sent < forS * RATE_PER_S; sent += 1) {
      const node = mesh.nodes[sent % NODE_COUNT];
      results.push(call(node?.callerPort ?? 0, { headers: { 'x-deadline-ms': 1_000 } }));
      await new Promise((resolve) => setTimeout(resolve, MS_PER_SECOND / RATE_PER_S));
    }
    return Promise.all(results);
  }

  function configure(machine?: string): void {
    const spec = machine === undefined ? {} : { machine };
    mesh.configure([...echoService(), echoEndpoint('e1', endpoint.port, spec)]);
  }

  /** Most requests within any window, from when all nodes know the limit. */
  async function busiestWindow(): Promise<number> {
    await load(TOLD_S);
    arrivedAtMs.length = 0;
    await load(4.5);
    const counts = arrivedAtMs.map(
      (firstMs) =>
        arrivedAtMs.filter((atMs) => atMs >= firstMs && atMs < firstMs + WINDOW_MS).length,
    );
    return Math.max(0, ...counts);
  }

  it('is in the status of the nodes, with what they sent and refused', async () => {
    limitPerS = 3.3;
    configure('n1');
    await load(2);
    const [first, second] = mesh.nodes.map(({ proxy }) => proxy.endpointStates()[0]?.rateLimit);
    expect(first?.maxRatePerS).to.equal(3.3);
    expect(first?.recentlySent).to.be.within(3, 40);
    expect(first?.refused).to.be.greaterThan(10);
    expect(second).to.deep.equal({ maxRatePerS: 3.3, recentlySent: 0, refused: 0 });
    const { counters } = mesh.nodes[0] ?? { counters: new Map<string, number>() };
    expect(counters.get('ferryspool_rate_limit_refusals_total')).to.equal(first?.refused);
  }).timeout(15_000);

  for (const limit of [0.4, 3.3, 17.2]) {
    const allowed = 1.5 * limit * 4 + 5;

    it(`holds for ${limit}/s and an endpoint without a node`, async () => {
      limitPerS = limit;
      configure();
      const most = await busiestWindow();
      expect(most).to.be.at.most(allowed);
      expect(most).to.be.at.least(limit * 2);
    }).timeout(15_000);

    it(`holds for ${limit}/s while the endpoint's node sends and is dead to all others`, async () => {
      limitPerS = limit;
      configure('n1');
      mesh.statuses.set('n1', 'dead');
      const most = await busiestWindow();
      expect(most).to.be.at.most(allowed);
      expect(most).to.be.at.least(limit * 2);
    }).timeout(15_000);

    it(`holds for ${limit}/s when the endpoint's node dies after all were told`, async () => {
      limitPerS = limit;
      configure('n1');
      await load(TOLD_S);
      mesh.statuses.set('n1', 'dead');
      expect(await busiestWindow()).to.be.at.most(allowed);
    }).timeout(15_000);
  }
});
