/**
 * An endpoint's answer that reports a fault, and another attempt that does no better.
 *
 * A request that may be repeated is sent to another endpoint after such an answer, which was thrown away
 * first: where no other endpoint was found or it refused, the caller got the node's own 502 in place of an
 * answer that its endpoint had made, 10 ms after that had come in full.
 */
import { expect } from 'chai';
import {
  call,
  closedPort,
  echoEndpoint,
  echoService,
  rawAnswer,
  rawRefusal,
  startRawEndpoint,
  TestMesh,
  type RawEndpoint,
  type TestNode,
} from './rig.js';

const FAULT = rawAnswer('fault', 'x-origin: e1\r\n', '500 Internal Server Error');
const CHUNKED_FAULT =
  'HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\nx-origin: e1\r\n\r\n5\r\nfault\r\n0\r\n\r\n';

describe('an answer that reports a fault', () => {
  const mesh = new TestMesh();
  const endpoints: RawEndpoint[] = [];
  let node: TestNode;

  beforeEach(async () => {
    node = await mesh.addNode('n1', { retriesFaults: true, maxRedirects: 1 });
    await mesh.addNode('n2', { retriesFaults: true });
  });

  afterEach(() => {
    mesh.close();
    mesh.nodes.length = 0;
    endpoints.splice(0).forEach((endpoint) => endpoint.close());
  });

  async function endpoint(answer: string): Promise<number> {
    const started = await startRawEndpoint((socket) => socket.write(answer));
    endpoints.push(started);
    return started.port;
  }

  /** A faulty endpoint beside the node, and another one, which is the second choice. */
  async function configure(fault: string, otherPort?: number, machine = 'n1'): Promise<void> {
    const faulty = echoEndpoint('e1', await endpoint(fault), { machine });
    const other =
      otherPort === undefined
        ? []
        : [echoEndpoint('e2', otherPort, { machine: 'n1', zone: 'z2', region: 'r2' })];
    mesh.configure([...echoService({ timeoutMs: 1_000 }), faulty, ...other]);
  }

  for (const machine of ['n1', 'n2']) {
    for (const [form, fault] of Object.entries({ sized: FAULT, chunked: CHUNKED_FAULT })) {
      it(`is passed on where there is no other endpoint (${form}, ${machine})`, async () => {
        await configure(fault, undefined, machine);
        const result = await call(node.callerPort);
        expect(result).to.include({ status: 500, body: 'fault', isWhole: true });
        expect(result.headers['x-origin']).to.equal('e1');
      });
    }
  }

  it('is passed on where the other endpoint refuses, or is not there', async () => {
    for (const port of [await endpoint(rawRefusal()), await closedPort()]) {
      await configure(FAULT, port);
      expect(await call(node.callerPort)).to.include({ status: 500, body: 'fault' });
    }
  });

  it('is passed on at the deadline while another attempt is under way', async () => {
    await configure(FAULT, await endpoint(''));
    expect(await call(node.callerPort)).to.include({ status: 500, body: 'fault' });
  });

  it('gives way to a good one', async () => {
    await configure(FAULT, await endpoint(rawAnswer('good')));
    expect(await call(node.callerPort)).to.include({ status: 200, body: 'good' });
  });

  it('is not passed on where it broke off, or is too long to be kept', async () => {
    const head = 'HTTP/1.1 500 Internal Server Error\r\nContent-Length: ';
    await configure(`${head}20000\r\n\r\n${'x'.repeat(20_000)}`);
    expect((await call(node.callerPort)).status).to.equal(502);
  });
});
