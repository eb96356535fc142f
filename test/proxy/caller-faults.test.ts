/** Faults at the caller interface: malformed, slow and hostile requests. */
import net from 'node:net';
import { expect } from 'chai';
import {
  call,
  callRaw,
  echoEndpoint,
  echoService,
  rawAnswer,
  startRawEndpoint,
  TestMesh,
  until,
  type RawEndpoint,
} from './rig.js';

const HEAD = 'POST / HTTP/1.1\r\nHost: a\r\n';

/** Requests that must be answered with `status` and `not-run`, and never reach an endpoint. */
const refused: readonly { fault: string; bytes: string; status: number }[] = [
  { fault: 'a request that is not HTTP', bytes: 'EHLO example\r\n\r\n', status: 400 },
  { fault: 'a missing Host header', bytes: 'GET / HTTP/1.1\r\n\r\n', status: 400 },
  { fault: 'HTTP/1.0', bytes: 'GET / HTTP/1.0\r\nHost: a\r\n\r\n', status: 505 },
  {
    fault: 'two Content-Length headers',
    bytes: `${HEAD}Content-Length: 1\r\nContent-Length: 2\r\n\r\n12`,
    status: 400,
  },
  {
    fault: 'both Content-Length and chunked encoding',
    bytes: `${HEAD}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
    status: 400,
  },
  { fault: 'an oversized head', bytes: `${HEAD}A: ${'x'.repeat(40_000)}\r\n\r\n`, status: 431 },
  { fault: 'a control character in a header', bytes: `${HEAD}A: \u0001\r\n\r\n`, status: 400 },
  {
    fault: 'a target that is not a path',
    bytes: 'GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n',
    status: 400,
  },
  {
    fault: 'an unknown expectation',
    bytes: `${HEAD}Expect: more\r\nContent-Length: 0\r\n\r\n`,
    status: 417,
  },
  {
    fault: 'a malformed deadline',
    bytes: `${HEAD}x-deadline-ms: soon\r\nContent-Length: 0\r\n\r\n`,
    status: 400,
  },
  {
    fault: 'a body that does not arrive in time',
    bytes: `${HEAD}x-deadline-ms: 50\r\nContent-Length: 5\r\n\r\n12`,
    status: 408,
  },
];

describe('faults at the caller interface', () => {
  let mesh: TestMesh;
  let target: RawEndpoint;
  let callerPort: number;

  beforeEach(async () => {
    mesh = new TestMesh();
    target = await startRawEndpoint((socket) => socket.write(rawAnswer('ran')));
    mesh.configure([...echoService(), echoEndpoint('e1', target.port, { machine: 'n2' })]);
    ({ callerPort } = await mesh.addNode('n1', {
      maxReplayBodyBytes: 1_000,
      maxBodyBytes: 400_000,
    }));
    await mesh.addNode('n2');
  });

  afterEach(() => {
    mesh.close();
    target.close();
  });

  for (const { fault, bytes, status } of refused) {
    it(`answers ${status} with not-run: ${fault}`, async () => {
      const text = await callRaw(callerPort, bytes, 150);
      expect(text).to.match(new RegExp(`^HTTP/1.1 ${status} `));
      expect(text).to.match(/ferryspool-verdict: not-run/i);
      expect(text).to.include('"verdict":"not-run"');
      expect(target.heads).to.have.length(0);
    });
  }

  const brokenBodies = [
    { body: 'small', bytes: `${HEAD}Content-Length: 10\r\n\r\n12345` },
    { body: 'chunked, small', bytes: `${HEAD}Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n` },
    { body: 'large', bytes: `${HEAD}Content-Length: 9000\r\n\r\n${'x'.repeat(5_000)}` },
    {
      body: 'chunked, large',
      bytes: `${HEAD}Transfer-Encoding: chunked\r\n\r\n1388\r\n${'x'.repeat(5_000)}\r\n`,
    },
  ];
  for (const { body, bytes } of brokenBodies) {
    it(`sends no complete request when the caller disconnects within its body: ${body}`, async () => {
      await callRaw(callerPort, bytes, 20);
      const later = await call(callerPort);
      expect(later.body).to.equal('ran');
      expect(target.received).to.have.length(1);
    });
  }

  it('aborts a chunked body that exceeds the limit', async () => {
    const result = await call(callerPort, {
      method: 'POST',
      headers: { 'transfer-encoding': 'chunked' },
      body: Buffer.alloc(500_000),
    });
    expect(result.status).to.be.oneOf([0, 413, 502]);
    expect(target.heads).to.have.length(0);
  });

  it('sends 100 Continue before the body when the caller expects it, and forwards the body', async () => {
    const text = await callRaw(
      callerPort,
      `${HEAD}Expect: 100-continue\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody`,
    );
    expect(text).to.match(/^HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200 OK/);
    expect(target.received[0]).to.match(/\r\n\r\nbody$/);
  });

  it('does not answer a malformed request before an earlier request', async () => {
    target.close();
    target = await startRawEndpoint((socket) => {
      setTimeout(() => socket.write(rawAnswer('first')), 30);
    });
    mesh.configure([...echoService(), echoEndpoint('e2', target.port, { machine: 'n2' })]);
    const text = await callRaw(callerPort, 'GET / HTTP/1.1\r\nHost: a\r\n\r\nGARBAGE\r\n\r\n', 150);
    expect(text).to.not.match(/^HTTP\/1.1 400/);
  });

  it('limits the bytes buffered for a caller that does not read', async () => {
    const chunk = 'x'.repeat(64 * 1024);
    let sentBytes = 0;
    target.close();
    target = await startRawEndpoint((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n');
      const send = (): void => {
        while (sentBytes < 200_000_000) {
          sentBytes += chunk.length;
          if (!socket.write(chunk)) {
            socket.once('drain', send);
            return;
          }
        }
      };
      send();
    });
    mesh.configure([...echoService(), echoEndpoint('e2', target.port, { machine: 'n2' })]);
    const caller = net.connect(callerPort, '127.0.0.1');
    caller.pause();
    caller.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
    await until(() => sentBytes > 0);
    let previousBytes = -1;
    while (previousBytes !== sentBytes) {
      previousBytes = sentBytes;
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
    caller.destroy();
    expect(sentBytes).to.be.lessThan(60_000_000);
  });
});
