/** Callers of a soak: what they tell of a body that is sent at once, slowly, or never whole. */
import { once } from 'node:events';
import http, { type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { sendCall, type SendingPace, type SoakRequest } from '../../tools/soak/soak-client.js';

const BODY = 'x'.repeat(3_000);
const GAP_MS = 20;

describe('a caller of a soak', () => {
  let server: Server;
  let received: string[] = [];
  let port = 0;

  beforeEach(async () => {
    received = [];
    server = http.createServer((request, response) => {
      let body = '';
      request.on('data', (chunk: Buffer) => {
        body += chunk.toString('latin1');
      });
      request.on('end', () => {
        received.push(body);
        response.end('ok');
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    ({ port } = server.address() as AddressInfo);
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  function request(pace?: SendingPace, leavesAfterMs = Infinity): SoakRequest {
    return {
      id: 'u1',
      machine: 0,
      life: 1,
      isSafe: false,
      target: '/uploads/u1',
      body: BODY,
      addedBy: undefined,
      deadlineMs: 2_000,
      timeoutMs: 2_000,
      place: { address: '127.0.0.1', port },
      host: 'soak.example',
      agent: undefined,
      leavesAfterMs,
      nowMs: () => performance.now(),
      ...(pace && { pace }),
    };
  }

  it('tells when a body was sent whole', async () => {
    const call = await sendCall(request());
    expect(received).to.deep.equal([BODY]);
    expect(call.status).to.equal(200);
    expect(call.sentWholeAtMs).to.be.within(call.sentAtMs, call.endedAtMs);
  });

  it('sends a body in pieces, and whole after the last', async () => {
    const call = await sendCall(
      request({ pieceBytes: 1_000, gapMs: GAP_MS, stallsAfter: Infinity }),
    );
    expect(received).to.deep.equal([BODY]);
    expect(call.sentWholeAtMs - call.sentAtMs).to.be.at.least(2 * GAP_MS);
  });

  it('stalls, and never claims to have sent the body whole', async () => {
    const pace = { pieceBytes: 1_000, gapMs: 1, stallsAfter: 1 };
    const call = await sendCall(request(pace, 5 * GAP_MS));
    expect(received).to.be.empty;
    expect(call.sentWholeAtMs).to.equal(Infinity);
    expect(call.isGivenUp).to.equal(true);
  });
});
