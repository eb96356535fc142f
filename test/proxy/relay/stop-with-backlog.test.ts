/**
 * A node that stops while answers that it has sent on wait in its process for a connection that is slow.
 *
 * Their requests are over for it, so the stop goes on to its end and closes its connections to peers; what
 * it had not handed to the system within 200 ms was lost with the process, though most of the time for its
 * stop was left.
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
/** Together more than the system takes of a connection that nobody reads. */
const REQUESTS = 200;
const ANSWER_BYTES = 60_000;
const DEADLINE_MS = 8_000;

describe('a node that stops with answers on their way to a peer', () => {
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

  it('sends them on a connection that is slow for a while', async () => {
    const caller = await mesh.addNode('n1', { maxRetries: 0 });
    mesh.configure([
      ...echoService({ timeoutMs: DEADLINE_MS, repeatable: false }),
      echoEndpoint('e1', target.port, {
        machine: 'n2',
        slots: REQUESTS,
        maxConnections: 2 * REQUESTS,
      }),
    ]);
    const results = Promise.all(
      Array.from({ length: REQUESTS }, () => call(caller.callerPort, { method: 'POST' })),
    );
    await until(() => answers.length === REQUESTS);
    link.stallConnections(STALLED_MS);
    answers.forEach((answerNow) => answerNow());
    await new Promise((resolve) => setTimeout(resolve, 100));
    await owner.proxy.stop();
    const complete = (await results).filter(({ body }) => body.length === ANSWER_BYTES);
    expect(complete).to.have.length(REQUESTS);
  });
});
