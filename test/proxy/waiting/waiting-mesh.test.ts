/** Requests that wait for slots, on real nodes: offers on their way between nodes, and within one. */
import { expect } from 'chai';
import type { ProxyLimits } from '../../../src/proxy/proxy-limits.js';
import {
  call,
  echoEndpoint,
  echoService,
  rawAnswer,
  startRawEndpoint,
  TestMesh,
  until,
  type RawEndpoint,
  type TestNode,
} from '../rig.js';

const WORK_MS = 60;
const TARGET_MS = 200;
const TIME_OUT_MS = 2_000;
const REQUEST_COUNT = 4;
const LIMITS: Partial<ProxyLimits> = { maxRetries: 0, maxQueuedPerSlot: 0, maxWaitingRequests: 64 };

describe('requests that wait for a slot on real nodes', () => {
  const mesh = new TestMesh();
  let backend: RawEndpoint;

  afterEach(() => {
    mesh.close();
    mesh.nodes.length = 0;
    backend.close();
  });

  /** Two nodes; the second has an endpoint with one slot. */
  async function start(limits: Partial<ProxyLimits> = {}): Promise<[TestNode, TestNode]> {
    backend = await startRawEndpoint((socket) => {
      setTimeout(() => socket.write(rawAnswer('served')), WORK_MS);
    });
    mesh.configure([
      ...echoService({ targetLatencyMs: TARGET_MS, timeoutMs: TIME_OUT_MS }),
      echoEndpoint('e1', backend.port, { machine: 'n2', slots: 1 }),
    ]);
    const caller = await mesh.addNode('n1', { ...LIMITS, ...limits });
    return [caller, await mesh.addNode('n2', { ...LIMITS, ...limits })];
  }

  function callAll({ callerPort }: TestNode): Promise<number[]> {
    const calls = Array.from({ length: REQUEST_COUNT }, () => call(callerPort));
    return Promise.all(calls.map(async (answered) => (await answered).status));
  }

  for (const [name, index] of [
    ['another node', 0],
    ['the same node', 1],
  ] as const) {
    it(`are served for slots that ${name} offers, and refused at once without waiting`, async () => {
      const nodes = await start();
      const statuses = await callAll(nodes[index]);
      const servedCount = statuses.filter((status) => status === 200).length;
      expect(servedCount, 'one is served without waiting').to.be.above(1);
      expect(backend.heads).to.have.length(servedCount);
      expect(nodes[index].counters.get('ferryspool_waiting_served_total')).to.equal(
        servedCount - 1,
      );
      expect(nodes[1].counters.get('ferryspool_slot_offers_used_total')).to.equal(servedCount - 1);
      expect(nodes[index].proxy.waitingRequestCount()).to.equal(0);
    });
  }

  it('are refused at once where waiting is switched off', async () => {
    const [caller] = await start({ maxWaitingRequests: 0 });
    const statuses = await callAll(caller);
    expect(statuses.filter((status) => status === 200)).to.have.length(1);
  });

  // Guards against callers that learn of a planned stop only when it ends.
  it('are refused as soon as their node begins to stop', async () => {
    const [caller] = await start();
    const statuses = callAll(caller);
    await until(() => caller.proxy.waitingRequestCount() > 0);
    const stopped = caller.proxy.stop();
    expect(caller.proxy.waitingRequestCount()).to.equal(0);
    expect(await statuses).to.include(503);
    await stopped;
  });

  // Guards against slots that are offered to a node that has gone.
  it('get no offers once their node has ended', async () => {
    const [caller, owner] = await start();
    void callAll(caller);
    await until(() => caller.proxy.waitingRequestCount() > 0);
    caller.proxy.abort();
    await new Promise((resolve) => setTimeout(resolve, 2 * WORK_MS));
    expect(owner.counters.get('ferryspool_slot_offers_total')).to.equal(undefined);
  });
});
