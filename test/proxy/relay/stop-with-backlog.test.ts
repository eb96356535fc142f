/**
 * A node that stops while forwarded answers are queued in its process for a slow connection.
 *
 * The requests have ended for the node, so the stop proceeds and closes its connections to peers. Guards against
 * losing the data that was not written to the sockets within 200 ms when the process exits, although most of
 * the stop timeout is left.
 */
import { expect } from 'chai';
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
import { FaultyLink } from './faulty-link.js';

const STALLED_MS = 900;
/** Enough answers to exceed the socket buffers of a connection that is not read. */
const REQUEST_COUNT = 200;
const ANSWER_BYTES = 60_000;
const DEADLINE_MS = 8_000;

describe('a stopping node with answers in flight to a peer', () => {
  const mesh = new TestMesh();
  let link: FaultyLink;
  let target: RawEndpoint;
  let owner: TestNode;
  const answers: (() => void)[] = [];

  beforeEach(async () => {
    target = await startRawEndpoint((socket) => {
      answers.push(() => socket.write(rawAnswer('a'.repeat(ANSWER_BYTES))));
    });
    owner = await mesh.addNode('n2', { stopTimeoutMs: DEADLINE_MS });
    link = await FaultyLink.start(owner.relayPort);
    mesh.nodes[0] = { ...owner, relayPort: link.port };
  });

  afterEach(() => {
    mesh.close();
    link.close();
    target.close();
  });

  it('delivers them over a temporarily slow connection', async () => {
    const caller = await mesh.addNode('n1', { maxRetries: 0 });
    mesh.configure([
      ...echoService({ timeoutMs: DEADLINE_MS, repeatable: false }),
      echoEndpoint('e1', target.port, {
        machine: 'n2',
        slots: REQUEST_COUNT,
        maxConnections: 2 * REQUEST_COUNT,
      }),
    ]);
    const results = Promise.all(
      Array.from({ length: REQUEST_COUNT }, () => call(caller.callerPort, { method: 'POST' })),
    );
    await until(() => answers.length === REQUEST_COUNT);
    link.stallConnections(STALLED_MS);
    answers.forEach((answerNow) => answerNow());
    await new Promise((resolve) => setTimeout(resolve, 100));
    await owner.proxy.stop();
    const complete = (await results).filter(({ body }) => body.length === ANSWER_BYTES);
    expect(complete).to.have.length(REQUEST_COUNT);
  });
});
