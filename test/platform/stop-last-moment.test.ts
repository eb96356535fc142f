/**
 * What reaches a node in the same moment in which a planned stop closes something: a request on a kept
 * connection, a connection that waits in the listen backlog, an upload of which a part is here.
 */
import { once } from 'node:events';
import { expect } from 'chai';
import { answer } from '../../standins/store-platform/backend-stand-in.js';
import { LateCaller, type LateResult } from '../support/late-caller.js';
import {
  CALLER_PORT,
  pause,
  PlatformFleet,
  readWhole,
  untilArrivals,
  type FleetMachine,
} from './platform-fleet.js';
import { SLOW_ROUTE, STOP_OVER_MS } from './stop-terms.js';

/** Time without a request after which a stop ends early, in milliseconds. */
const QUIET_MS = 400;
/** When a stop closes what is open at the latest, in milliseconds since it began. */
const CLOSES_MS = 5_500;
/** More than the system holds of an answer that nobody reads. */
const LONG_ANSWER_BYTES = 16_000_000;

describe('the last moment of a planned stop', () => {
  let fleet: PlatformFleet;
  let machine: FleetMachine;

  beforeEach(async () => {
    fleet = await PlatformFleet.start(SLOW_ROUTE);
    machine = await fleet.addMachine('a');
    await fleet.untilStatus(machine, 200);
    machine.backend.arrivals.length = 0;
  });

  afterEach(() => fleet.close());

  /** A request that comes while the process stands still over the end of the time without requests. */
  async function sendWhileStill(first: string): Promise<LateResult> {
    const { address: host } = machine;
    const request = fleet.uploadText(2, 2);
    const caller = await LateCaller.start({ host, port: CALLER_PORT, first, request });
    const stopped = machine.node.stop();
    await pause(QUIET_MS / 2);
    // Timers come next after this callback, and only then what waits in the system.
    await new Promise(setImmediate);
    const result = await caller.sendWhileStill(QUIET_MS);
    await stopped;
    await caller.close();
    return result;
  }

  it('answers a request that waits on a kept connection', async () => {
    const { text } = await sendWhileStill(fleet.uploadText(2, 2));
    expect(text).to.match(/^HTTP\/1.1 (200|503) /);
  });

  it('answers a request that waits in the listen backlog', async () => {
    const { text } = await sendWhileStill('');
    expect(text).to.match(/^HTTP\/1.1 (200|503) /);
  });

  it('lets its refusal reach the caller of an upload that is half sent', async () => {
    // The stop waits to its last moment for a caller who does not read his answer.
    machine.backend.behaviour = (_request, response, { requestId }) => {
      answer(response, requestId, 'x'.repeat(LONG_ANSWER_BYTES));
    };
    const slow = fleet.beginUpload(machine, 10, 10);
    const socket = fleet.connect(machine);
    await once(socket, 'connect');
    await untilArrivals(machine, 1);
    const beganAtMs = performance.now();
    const stopped = machine.node.stop().then(() => performance.now() - beganAtMs);
    const answered = readWhole(socket);
    await pause(CLOSES_MS - 60);
    fleet.sendUpload(socket, 60_000, 10);
    socket.pause();
    for (let part = 0; part < 8; part += 1) {
      await pause(20);
      socket.write('x'.repeat(100));
    }
    socket.resume();
    expect(await answered).to.match(/^HTTP\/1.1 503 [^]*not-run/);
    expect(await stopped).to.be.lessThan(STOP_OVER_MS);
    slow.destroy();
  });

  it('gives every request of a connection its answer where the last is half sent as the first ends', async () => {
    machine.backend.behaviour = (_request, response, { requestId }) => {
      setTimeout(() => answer(response, requestId), QUIET_MS);
    };
    const socket = fleet.beginUpload(machine, 10, 10);
    const answered = readWhole(socket);
    await untilArrivals(machine, 1);
    const stopped = machine.node.stop();
    fleet.sendUpload(socket, 10, 5);
    await pause(QUIET_MS + 100);
    socket.write('x'.repeat(5));
    expect((await answered).match(/HTTP\/1.1 (200|503) /g)).to.have.length(2);
    await stopped;
  });
});
