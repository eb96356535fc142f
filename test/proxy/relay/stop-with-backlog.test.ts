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
import { SilentLink } from './silent-link.js';

const STALLED_MS = 900;
/** Together more than the system takes of a connection that nobody reads. */
const REQUESTS = 200;
const ANSWER_BYTES = 60_000;
const DEADLINE_MS = 8_000;

describe('a node that stops with answers on their way to a peer', () => {
  const mesh = new TestMesh();
  let link: SilentLink;
  let target: RawEndpoint;
  let beside: TestNode;
  const answers: (() => void)[] = [];

  beforeEach(async () => {
    target = await startRawEndpoint((socket) => {
      answers.push(() => socket.write(rawAnswer('a'.repeat(ANSWER_BYTES))));
    });
    beside = await mesh.addNode('n2', { stopTimeoutMs: DEADLINE_MS });
    link = await SilentLink.start(beside.relayPort);
    mesh.nodes[0] = { ...beside, relayPort: link.port };
  });

  afterEach(() => {
    mesh.close();
    link.close();
    target.close();
  });

  it('sends them on a connection that is slow for a while', async () => {
    const near = await mesh.addNode('n1', { maxRetries: 0 });
    mesh.configure([
      ...echoService({ timeoutMs: DEADLINE_MS, repeatable: false }),
      echoEndpoint('e1', target.port, {
        machine: 'n2',
        slots: REQUESTS,
        maxConnections: 2 * REQUESTS,
      }),
    ]);
    const results = Promise.all(
      Array.from({ length: REQUESTS }, () => call(near.callerPort, { method: 'POST' })),
    );
    await until(() => answers.length === REQUESTS);
    link.stall(STALLED_MS);
    answers.forEach((answerNow) => answerNow());
    await new Promise((resolve) => setTimeout(resolve, 100));
    await beside.proxy.stop();
    const whole = (await results).filter(({ body }) => body.length === ANSWER_BYTES);
    expect(whole).to.have.length(REQUESTS);
  });
});
