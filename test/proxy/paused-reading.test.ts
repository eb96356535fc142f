/**
 * Requests that lie unread behind answers that wait.
 *
 * While more than a bound of answers wait for the one before them, or for a caller that does not read, Node reads
 * nothing more of the connection. What comes behind lies in the system meanwhile, and its time counted from the
 * moment at which it was read: in a soak, back ends were told 4,928 ms for a request that had 3,998 ms left.
 */
import net, { type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'chai';
import {
  echoEndpoint,
  echoService,
  rawAnswer,
  startRawEndpoint,
  TestMesh,
  until,
  type RawEndpoint,
  type TestNode,
} from './rig.js';

const FIRST_WORK_MS = 800;
const LARGE_BYTES = 400_000;
const DEADLINE_MS = 3_000;
/** Room for the turns of both sides, in milliseconds. */
const SLACK_MS = 150;

describe('a request that lies unread behind answers that wait', () => {
  let mesh: TestMesh;
  let target: RawEndpoint;
  let node: TestNode;
  let socket: Socket;

  beforeEach(async () => {
    mesh = new TestMesh();
    target = await startRawEndpoint((endpoint, head) => {
      if (head.includes('/first')) {
        setTimeout(() => endpoint.write(rawAnswer('first')), FIRST_WORK_MS);
      } else {
        endpoint.write(rawAnswer(head.includes('/large') ? '.'.repeat(LARGE_BYTES) : 'other'));
      }
    });
    mesh.configure([...echoService(), echoEndpoint('e1', target.port, { machine: 'n1' })]);
    node = await mesh.addNode('n1', { maxHeldAnswerBytes: 2 * LARGE_BYTES });
    socket = net.connect({ port: node.callerPort, host: '127.0.0.1' }).resume();
    socket.on('error', () => undefined);
  });

  afterEach(() => {
    socket.destroy();
    mesh.close();
    target.close();
  });

  function send(path: string, deadlineMs = DEADLINE_MS): void {
    socket.write(`GET ${path} HTTP/1.1\r\nHost: a\r\nx-deadline-ms: ${deadlineMs}\r\n\r\n`);
  }

  /** The time that the endpoint was given for a request, in milliseconds; undefined while it has not got it. */
  function givenMs(path: string): number | undefined {
    const head = target.heads.find((one) => one.includes(path));
    return head === undefined ? undefined : Number(/x-deadline-ms: (\d+)/i.exec(head)?.[1]);
  }

  it('is given no more time than it has left', async () => {
    send('/first');
    send('/large');
    await until(() => target.heads.length === 2);
    await delay(SLACK_MS);
    send('/paused-behind');
    await until(() => target.heads.length === 3);
    const sentAtMs = performance.now();
    send('/unread');
    await until(() => givenMs('/unread') !== undefined);
    const leftMs = DEADLINE_MS - (performance.now() - sentAtMs);
    expect(givenMs('/unread')).to.be.below(leftMs + SLACK_MS);
  });

  /** Guards against a request that is told 504 for time in which it can't have lain unread. */
  it('has all of its time where it came shortly before the end of the pause', async () => {
    send('/first');
    send('/large');
    await until(() => target.heads.length === 2);
    await delay(SLACK_MS);
    send('/paused-behind');
    await delay(FIRST_WORK_MS - 3 * SLACK_MS);
    send('/late', FIRST_WORK_MS / 2);
    const sentAtMs = performance.now();
    await until(() => givenMs('/late') !== undefined || performance.now() > sentAtMs + DEADLINE_MS);
    expect(givenMs('/late')).to.be.above(FIRST_WORK_MS / 2 - 3 * SLACK_MS);
  });

  /** Guards against callers that have more work begun than they read answers. */
  it('is not begun before the answers that wait have gone out, nor after its caller has left', async () => {
    send('/first');
    send('/large');
    await until(() => target.heads.length === 2);
    await delay(SLACK_MS);
    send('/behind');
    await delay(FIRST_WORK_MS / 4);
    expect(givenMs('/behind')).to.equal(undefined);
    socket.destroy();
    await delay(FIRST_WORK_MS);
    expect(givenMs('/behind')).to.equal(undefined);
  });

  it('has all of its time where it came after the pause', async () => {
    send('/first');
    send('/large');
    await until(() => target.heads.length === 2);
    await delay(SLACK_MS);
    send('/paused-behind');
    await delay(FIRST_WORK_MS);
    send('/later');
    await until(() => givenMs('/later') !== undefined);
    expect(givenMs('/later')).to.be.above(DEADLINE_MS - SLACK_MS);
  });
});
