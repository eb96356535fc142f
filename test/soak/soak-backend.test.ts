/** How the back end of a soak notes the ends of its runs: who ended each, and with what. */
import http from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'chai';
import type { BackendFault } from '../../tools/soak/fault-plan.js';
import { SoakBackend } from '../../tools/soak/soak-backend.js';
import type { SoakArrival } from '../../tools/soak/soak-record.js';

const PLACE = { address: '127.0.9.2', port: 23_101 };
const WORK_MS = 60;
/** Time after which every run is over. */
const OVER_MS = 4 * WORK_MS;
const ID = 'i-0-1';

describe('a back end of a soak', () => {
  let backend: SoakBackend;
  let arrivals: SoakArrival[];

  beforeEach(async () => {
    arrivals = [];
    backend = await SoakBackend.start({
      id: ID,
      instance: ID,
      machine: 0,
      place: PLACE,
      random: () => 0,
      nowMs: () => performance.now(),
      onArrival: (arrival) => arrivals.push(arrival),
      workOf: () => ({ leastMs: WORK_MS, mostMs: WORK_MS }),
      onCrash: () => undefined,
    });
  });

  afterEach(() => backend.close());

  function send(instance = ID): http.ClientRequest {
    const headers = { 'Request-Id': 'q1', 'Target-Instance': instance };
    const request = http.get({ host: PLACE.address, port: PLACE.port, headers, agent: false });
    return request.on('error', () => undefined).on('response', (response) => response.resume());
  }

  async function endOf(
    act: (request: http.ClientRequest) => void = () => undefined,
  ): Promise<Pick<SoakArrival, 'outcome' | 'brokeOff'> | undefined> {
    const request = send();
    await delay(WORK_MS / 2);
    act(request);
    await delay(OVER_MS);
    const [noted] = arrivals;
    return noted && { outcome: noted.outcome, brokeOff: noted.brokeOff };
  }

  it('notes a whole answer, and a run that goes on', async () => {
    send();
    await delay(WORK_MS / 2);
    expect(arrivals[0]?.outcome).to.equal('open');
    await delay(OVER_MS);
    expect(arrivals[0]?.outcome).to.equal('answered');
  });

  it('notes a run that the other side cut', async () => {
    const end = await endOf((request) => request.destroy());
    expect(end).to.deep.equal({ outcome: 'cut', brokeOff: false });
  });

  it('notes a run under which it ended itself', async () => {
    const end = await endOf(() => backend.close());
    expect(end).to.deep.equal({ outcome: 'broke-off', brokeOff: true });
  });

  const faults: readonly [BackendFault, string][] = [
    ['reset', 'broke-off'],
    ['cut-answer', 'broke-off'],
    ['errors', 'failed'],
    ['refuse', 'failed'],
  ];
  for (const [fault, outcome] of faults) {
    it(`notes ${outcome} where its fault is ${fault}`, async () => {
      backend.misbehave(fault, 1);
      expect((await endOf())?.outcome).to.equal(outcome);
    });
  }

  it('notes a refusal of what is meant for another one as failed, and not as run', async () => {
    send('i-0-2');
    await delay(OVER_MS);
    expect(arrivals[0]).to.include({ hasRun: false, outcome: 'failed' });
  });
});
