/** Guards against an endpoint that is taken for unreachable since the process stood still while it connected. */
import { expect } from 'chai';
import { ExchangeAgent, startExchange } from '../../src/proxy/http-exchange.js';
import { EMPTY_BODY } from '../../src/proxy/request-body.js';
import { rawAnswer, startRawEndpoint, type RawEndpoint } from './rig.js';

const CONNECT_TIMEOUT_MS = 100;
/** Ticks in which Node hands the socket over; nothing is read of sockets meanwhile. */
const TICKS = 5;

describe('a connection to an endpoint that opens while the process stands still', () => {
  let target: RawEndpoint;

  afterEach(() => target.close());

  it('is used', async () => {
    target = await startRawEndpoint((socket) => socket.write(rawAnswer('ran')));
    const outcome = new Promise<string>((resolve) => {
      const request = {
        host: '127.0.0.1',
        port: target.port,
        method: 'GET',
        target: '/',
        headers: ['Host', 'a'],
        body: EMPTY_BODY,
        limits: { connectTimeoutMs: CONNECT_TIMEOUT_MS, answerIdleTimeoutMs: 1_000 },
      };
      startExchange(new ExchangeAgent(), request, {
        answered: (message) => {
          message.resume();
          resolve('answered');
        },
        failed: resolve,
      });
    });
    for (let tick = 0; tick < TICKS; tick += 1) {
      await new Promise<void>((resolve) => process.nextTick(resolve));
    }
    const wakeAtMs = performance.now() + 3 * CONNECT_TIMEOUT_MS;
    while (performance.now() < wakeAtMs);
    expect(await outcome).to.equal('answered');
  });
});
