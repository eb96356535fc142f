/** Guards against answers that are truncated by the end of the process without a log entry. */
import net, { type Socket } from 'node:net';
import { expect } from 'chai';
import type { RequestDecision } from '../../src/proxy/request-log.js';
import {
  echoEndpoint,
  echoService,
  rawAnswer,
  startRawEndpoint,
  TestMesh,
  until,
  type RawEndpoint,
} from './rig.js';

describe('the log entry of an answer that is truncated at the end of a stop', () => {
  let mesh: TestMesh;
  let target: RawEndpoint;
  let socket: Socket;

  afterEach(() => {
    socket.destroy();
    mesh.close();
    target.close();
  });

  it('is written for the request that its endpoint had answered', async () => {
    const decisions: RequestDecision[] = [];
    mesh = new TestMesh();
    target = await startRawEndpoint((endpoint, head) => {
      if (head.includes('/second')) {
        endpoint.write(rawAnswer('whole'));
      }
    });
    mesh.configure([...echoService(), echoEndpoint('e1', target.port, { machine: 'n1' })]);
    const requestLog = { record: (decision: RequestDecision) => decisions.push(decision) };
    const node = await mesh.addNode('n1', {}, undefined, requestLog);
    socket = net.connect({ port: node.callerPort, host: '127.0.0.1' });
    socket.on('error', () => undefined);
    socket.write('GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n');
    await until(() => target.heads.length === 2);
    await new Promise((resolve) => setTimeout(resolve, 50));
    node.proxy.abort();
    await until(() => decisions.length === 2);
    const loggedEnds = decisions.map(({ event, endedBy }) => `${event} ${endedBy}`).sort();
    expect(loggedEnds).to.deep.equal(['answer-cut stop-bound', 'request-abandoned stop-bound']);
  });
});
