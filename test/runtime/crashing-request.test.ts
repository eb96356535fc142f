/**
 * A request that crashes each back end that runs it, on nodes connected by the control plane. Guards
 * against nodes that do not share suspicions: after three back ends beside three different nodes had
 * crashed, the fourth attempt was handled like the first, because no other node knew of the crashes.
 */
import { expect } from 'chai';
import { Agent, request } from 'node:http';
import { VERDICT_HEADER } from '../../src/model/verdict.js';
import { eventually, LocalFleet, statusOf, type FleetMachine } from '../support/local-fleet.js';

const CRASH_AFTER_MS = 20;
const CRASHING = '/tiles/crash';

interface Result {
  readonly status: number;
  readonly verdict: string | undefined;
  readonly text: string;
}

/** Sends one request to the machine's caller port, on its own connection. */
function send({ ports }: FleetMachine, path: string, method = 'GET'): Promise<Result> {
  return new Promise((resolve, reject) => {
    const headers = { 'x-call-id': path };
    const agent = new Agent({ keepAlive: false });
    const clientRequest = request({
      host: '127.0.0.1',
      port: ports.caller,
      path,
      method,
      agent,
      headers,
    });
    clientRequest.on('error', reject);
    clientRequest.on('response', (message) => {
      let text = '';
      message.setEncoding('utf8');
      message.on('data', (chunk: string) => {
        text += chunk;
      });
      message.on('end', () => {
        const verdict = message.headers[VERDICT_HEADER];
        resolve({ status: message.statusCode ?? 0, verdict: String(verdict), text });
      });
    });
    clientRequest.end();
  });
}

describe('a request that crashes each back end, on nodes of a control plane', function () {
  this.timeout(20_000);
  let fleet: LocalFleet;
  const crashes: string[] = [];

  beforeEach(async () => {
    crashes.length = 0;
    fleet = await LocalFleet.start({
      zones: ['a', 'b'],
      backendsPerZone: 2,
      workMs: 60,
      onWork: crash,
    });
    await fleet.converged(1);
    for (const machine of fleet.machines) {
      await eventually(async () => (await statusOf(machine)).members.length === 5);
    }
  });

  afterEach(() => fleet.stop());

  /** Restarts the back end shortly after it has started to run a crashing request. */
  function crash(machineId: string, callId: string | undefined): void {
    if (callId !== CRASHING) {
      return;
    }
    crashes.push(machineId);
    setTimeout(() => void fleet.restartBackend(machineId), CRASH_AFTER_MS);
  }

  it('is refused by all nodes as not run once three back ends have crashed', async () => {
    const [edge = expect.fail('no machine')] = fleet.machines;
    while (crashes.length < 3) {
      await send(edge, CRASHING, 'POST');
      await new Promise((resolve) => setTimeout(resolve, 300));
    }
    expect(crashes).to.have.length(3);
    for (const machine of fleet.machines) {
      const { status, verdict, text } = await send(machine, CRASHING, 'POST');
      expect([status, verdict]).to.deep.equal([503, 'not-run']);
      expect(JSON.parse(text)).to.include({ code: 'CONTAINED' });
      expect((await send(machine, '/tiles/other')).status).to.equal(200);
    }
    expect(crashes).to.have.length(3);
    expect(fleet.machines.length).to.equal(6);
  });
});
