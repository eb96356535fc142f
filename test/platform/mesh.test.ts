/** The whole path on the platform: store, nodes, back ends and clients on loopback sockets. */
import { once } from 'node:events';
import http from 'node:http';
import net from 'node:net';
import { expect } from 'chai';
import { answer, rawAnswer, refuse } from '../../standins/store-platform/backend-stand-in.js';
import { addressOf, pause, PlatformFleet, type FleetMachine } from './platform-fleet.js';

describe('a mesh on the platform', () => {
  let fleet: PlatformFleet;

  afterEach(() => fleet.close());

  /** Two machines: the first has a back end of another service, so that all goes over the second. */
  async function twoMachines(route = {}): Promise<[FleetMachine, FleetMachine]> {
    fleet = await PlatformFleet.start(route);
    const first = await fleet.addMachine('b');
    const second = await fleet.addMachine('a');
    await fleet.untilStatus(first, 200);
    second.backend.arrivals.length = 0;
    return [first, second];
  }

  it('serves a request over two nodes, as the client sent it', async () => {
    const [first, { backend }] = await twoMachines();
    const { status, body, headers } = await fleet.call(first, {
      path: '/p/y?z=1',
      headers: { 'Caller-Service': 'forged', 'X-Own': 'kept' },
    });
    expect([status, body]).to.deep.equal([200, `body ${backend.arrivals[0]?.requestId}`]);
    expect(headers['server-signature']).to.equal(`signature ${backend.arrivals[0]?.requestId}`);
    expect(headers).to.not.have.property('server-load');
    const { headers: sent = {}, target } = backend.arrivals[0] ?? {};
    expect(target).to.equal('/p/y?z=1');
    expect(sent['caller-service']).to.equal('b');
    expect(sent['target-instance']).to.equal(backend.id);
    expect(sent['x-own']).to.equal('kept');
    expect(Number(sent['deadline-ms'])).to.be.within(1, 2_000);
  });

  it('answers 404 without a route, and 503 before there is a configuration', async () => {
    const [first] = await twoMachines();
    expect((await fleet.call(first, { path: '/none/' })).status).to.equal(404);
    fleet.store.fault = { type: 'status', status: 503 };
    const log: string[] = [];
    const fresh = fleet.createNode(addressOf(9), 'a', log);
    await fresh.open();
    const machine = { ...first, address: addressOf(9) };
    expect(await fleet.readiness(machine)).to.equal(503);
    const { status, headers } = await fleet.call(machine);
    expect([status, Number(headers['retry-after']) > 0]).to.deep.equal([503, true]);
    fresh.abort();
  });

  it('puts a new configuration in force at once, and never goes back to an older one', async () => {
    const [first] = await twoMachines();
    fleet.configure([{}, {}], 9);
    await fleet.untilStatus(first, 200, '/p1/x');
    fleet.configure([{}], 5);
    await pause(400);
    expect((await fleet.call(first, { path: '/p1/x' })).status).to.equal(200);
  });

  it('sends nothing to a back end that drains, from the store on', async () => {
    const [first, second] = await twoMachines();
    const third = await fleet.addMachine('a');
    fleet.announce(second, 'a', 'draining');
    await pause(400);
    second.backend.arrivals.length = 0;
    for (let request = 0; request < 20; request += 1) {
      const { status, body } = await fleet.call(first);
      expect(status, `request ${request}: ${body}`).to.equal(200);
    }
    expect(second.backend.arrivals).to.have.length(0);
    expect(third.backend.arrivals.length).to.be.at.least(20);
  });

  it('learns from its peers while the store is down', async () => {
    const [first, second] = await twoMachines();
    fleet.store.fault = { type: 'silent' };
    fleet.store.cutWatches();
    first.node.abort();
    const log: string[] = [];
    const restarted = fleet.createNode(first.address, 'b', log);
    await restarted.open();
    await fleet.untilStatus(first, 200);
    expect(log.join('')).to.include('changes-from-peer');
    restarted.abort();
    expect(second.backend.arrivals.length).to.be.greaterThan(0);
  });

  for (const kind of ['safe', 'unsafe'] as const) {
    it(`sends a ${kind} request that a back end refused to another one`, async () => {
      const [first, second] = await twoMachines({ kind });
      const third = await fleet.addMachine('a');
      await pause(300);
      for (const machine of [second, third]) {
        machine.backend.behaviour = (_request, response, { requestId }) => {
          const isFirstTry = second.backend.arrivals.length + third.backend.arrivals.length === 1;
          return isFirstTry ? refuse(response, requestId) : answer(response, requestId);
        };
        machine.backend.arrivals.length = 0;
      }
      expect((await fleet.call(first)).status).to.equal(200);
      expect(second.backend.arrivals.length + third.backend.arrivals.length).to.equal(2);
    });
  }

  it('passes bodies on that are larger than what nodes hold, both ways, as they are', async () => {
    const [first, { backend }] = await twoMachines({ kind: 'unsafe' });
    const body = 'abcdefghij'.repeat(60_000);
    backend.behaviour = (_request, response, { requestId }) => answer(response, requestId, body);
    for (const sent of [body.slice(0, 60_000), '']) {
      const result = await fleet.call(first, { method: 'POST', body: sent });
      expect([result.status, result.isWhole]).to.deep.equal([200, true]);
      expect(result.body === body).to.equal(true);
    }
    expect(backend.arrivals[0]?.body).to.have.length(60_000);
  });

  it('goes on after an answer that announces more bytes than can be', async () => {
    const [first, { backend }] = await twoMachines({ kind: 'unsafe' });
    backend.behaviour = (_request, response, { requestId }) => {
      response.socket?.end(
        `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nServer-Signature: s\r\n` +
          'Content-Length: 9007199254740993\r\n\r\nhalf of it',
      );
    };
    expect((await fleet.call(first, { method: 'POST' })).isWhole).to.equal(true);
    backend.behaviour = (_request, response, { requestId }) => answer(response, requestId);
    await fleet.untilStatus(first, 200);
  });

  for (const text of ['Infinity', '1e300', '-1', 'soon']) {
    it(`goes on after a back end refused with Retry-After: ${text}`, async () => {
      const [first, { backend }] = await twoMachines();
      backend.behaviour = (_request, response, { requestId }) => {
        response.writeHead(503, {
          'Request-Id': requestId,
          'Not-Executed': '1',
          'Retry-After': text,
          'Content-Length': 0,
        });
        response.end();
      };
      const { status, headers } = await fleet.call(first);
      expect(status).to.equal(503);
      expect(Number(headers['retry-after'])).to.be.within(0, 3_600);
      backend.behaviour = (_request, response, { requestId }) => answer(response, requestId);
      await fleet.untilStatus(first, 200);
    });
  }

  it('runs an unsafe request once when its answer is lost, and does not promise that it has not run', async () => {
    const [first, { backend }] = await twoMachines({ kind: 'unsafe' });
    backend.behaviour = (_request, response) => response.destroy();
    expect((await fleet.call(first, { method: 'POST' })).status).to.equal(502);
    expect(backend.arrivals).to.have.length(1);
  });

  it('leaves a back end that fails part of its requests to itself, from the first answer that tells', async () => {
    const [first, second] = await twoMachines({ kind: 'unsafe' });
    const third = await fleet.addMachine('a');
    let count = 0;
    second.backend.behaviour = (_request, response, { requestId }) => {
      count += 1;
      if (count % 2 === 0) {
        response.writeHead(500, { 'Request-Id': requestId, 'Content-Length': 0 }).end();
      } else {
        answer(response, requestId);
      }
    };
    third.backend.behaviour = (_request, response, { requestId }) => {
      setTimeout(() => answer(response, requestId), 30);
    };
    await pause(300);
    for (let request = 0; request < 12; request += 1) {
      await fleet.call(second, { method: 'POST' });
    }
    await fleet.call(first, { method: 'POST' });
    second.backend.arrivals.length = 0;
    third.backend.arrivals.length = 0;
    for (let request = 0; request < 30; request += 1) {
      await fleet.call(first, { method: 'POST' });
    }
    expect(second.backend.arrivals.length).to.be.at.most(4);
    expect(third.backend.arrivals.length).to.be.at.least(26);
  });

  it('loses no unsafe request to a back end that forgets idle connections', async () => {
    const [first, { backend }] = await twoMachines({ kind: 'unsafe' });
    backend.forgetsIdleAfterMs = 250;
    const statuses: number[] = [];
    for (let request = 0; request < 3; request += 1) {
      statuses.push((await fleet.call(first, { method: 'POST' })).status);
      await pause(300);
    }
    expect(statuses).to.deep.equal([200, 200, 200]);
  });

  it('opens a connection for each request after a back end forgot one sooner', async () => {
    const [first, { backend }] = await twoMachines({ kind: 'unsafe' });
    backend.forgetsIdleAfterMs = 30;
    const statuses: number[] = [];
    for (let request = 0; request < 5; request += 1) {
      statuses.push((await fleet.call(first, { method: 'POST' })).status);
      await pause(60);
    }
    expect(statuses.filter((status) => status !== 200)).to.have.length.at.most(1);
  });

  it('answers at the time-out of the route, and ends the work at the back end', async () => {
    const [first, { backend }] = await twoMachines({ timeoutS: 0.3 });
    backend.behaviour = () => undefined;
    const startedAtMs = performance.now();
    const { status } = await fleet.call(first);
    expect([status, Math.round((performance.now() - startedAtMs) / 100)]).to.deep.equal([504, 3]);
    await pause(100);
    expect(backend.arrivals[0]?.isCut).to.equal(true);
  });

  it('promises that a request has not run which waited at the other node until its time was over', async () => {
    const [first, { backend }] = await twoMachines({ kind: 'unsafe', timeoutS: 0.4 });
    fleet.configure([
      { kind: 'unsafe', timeoutS: 0.4 },
      { kind: 'unsafe', timeoutS: 1.5 },
    ]);
    await fleet.untilStatus(first, 200, '/p1/x');
    backend.arrivals.length = 0;
    backend.behaviour = () => undefined;
    // They are answered after the deadline of the request that waits for one of their slots.
    const running = Array.from({ length: 4 }, () =>
      fleet.call(first, { path: '/p1/x', method: 'POST' }),
    );
    while (backend.arrivals.length < 4) {
      await pause(5);
    }
    const waited = await fleet.call(first, { method: 'POST' });
    expect(waited.status).to.equal(503);
    expect(waited.headers).to.have.property('retry-after');
    expect((await Promise.all(running)).map(({ status }) => status)).to.deep.equal([
      504, 504, 504, 504,
    ]);
    expect(backend.arrivals).to.have.length(4);
  });

  it('ends the work at the back end when the client leaves, also of requests behind the first', async () => {
    const [first, { backend }] = await twoMachines();
    backend.behaviour = () => undefined;
    const socket = net.connect(21_304, first.address);
    await once(socket, 'connect');
    for (const id of ['p1', 'p2']) {
      socket.write(
        `GET /p/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 2000\r\n\r\n`,
      );
    }
    while (backend.arrivals.length < 2) {
      await pause(5);
    }
    socket.destroy();
    await pause(200);
    expect(backend.arrivals.map(({ isCut }) => isCut)).to.deep.equal([true, true]);
  });

  it('does not pass an answer on as whole that was reset together with its last bytes', async () => {
    const [first, { backend }] = await twoMachines({ kind: 'unsafe' });
    backend.behaviour = (_request, response, { requestId }) => {
      const { socket } = response;
      socket?.write(
        `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nServer-Signature: s\r\n\r\nhalf of it`,
      );
      socket?.resetAndDestroy();
    };
    const { status, isWhole } = await fleet.call(first);
    expect(status === 200 && isWhole).to.equal(false);
  });

  it('passes an answer on that has no length and ends with its connection', async () => {
    const [first, { backend }] = await twoMachines({ kind: 'unsafe' });
    backend.behaviour = (_request, response, { requestId }) => {
      const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nServer-Signature: s\r\n\r\n`;
      response.socket?.end(`${head}all of it`);
    };
    const { status, isWhole, body } = await fleet.call(first);
    expect([status, isWhole, body]).to.deep.equal([200, true, 'all of it']);
  });

  it('takes no answer for that of another request', async () => {
    const [first, { backend }] = await twoMachines({ kind: 'unsafe' });
    backend.behaviour = (_request, response) => answer(response, 'another');
    expect((await fleet.call(first)).status).to.equal(502);
  });

  for (const delayMs of [0, 30]) {
    it(`gives each caller its own answer when a back end answers twice, ${delayMs} ms apart`, async () => {
      const [first, { backend }] = await twoMachines();
      backend.behaviour = (_request, response, { requestId }) => {
        const { socket } = response;
        const text = rawAnswer(requestId);
        socket?.write(delayMs === 0 ? `${text}${text}` : text);
        if (delayMs > 0) {
          setTimeout(() => socket?.write(text), delayMs);
        }
      };
      for (let request = 0; request < 12; request += 1) {
        const { status, body } = await fleet.call(first, {
          headers: { 'Request-Id': `own${request}` },
        });
        expect(status === 200 ? body : 'none').to.be.oneOf([`body own${request}`, 'none']);
        await pause(delayMs / 3);
      }
      expect(backend.arrivals.length).to.be.at.least(12);
    });
  }

  it('leaves an address at once where another back end answers', async () => {
    const [first, second] = await twoMachines();
    const third = await fleet.addMachine('a');
    await pause(300);
    second.backend.behaviour = (_request, response, { requestId }) =>
      refuse(response, requestId, 421);
    second.backend.arrivals.length = 0;
    for (let request = 0; request < 20; request += 1) {
      expect((await fleet.call(first)).status).to.equal(200);
    }
    expect(second.backend.arrivals.length).to.be.at.most(1);
    expect(third.backend.arrivals.length).to.be.at.least(19);
  });

  it('puts a configuration in force as soon as a store that lags tells it', async () => {
    const [first] = await twoMachines();
    fleet.store.watchLagMs = 300;
    fleet.configure([{}, {}], 9);
    await pause(100);
    expect((await fleet.call(first, { path: '/p1/x' })).status).to.equal(404);
    await fleet.untilStatus(first, 200, '/p1/x');
  });

  it('finishes what is in flight in a planned stop, and refuses what comes too late for it', async () => {
    const [first, { backend }] = await twoMachines({ timeoutS: 5 });
    const agent = new http.Agent({ keepAlive: true });
    expect((await fleet.call(first, { agent })).status).to.equal(200);
    backend.arrivals.length = 0;
    backend.behaviour = (_request, response, { requestId }) => {
      setTimeout(() => answer(response, requestId), 4_000);
    };
    const inFlight = fleet.call(first, { deadlineMs: 5_000 });
    while (backend.arrivals.length === 0) {
      await pause(5);
    }
    const beganAtMs = performance.now();
    const stopped = first.node.stop();
    expect(await fleet.readiness(first)).to.equal(503);
    const whileStopping = await fleet.call(first, { deadlineMs: 200 });
    expect(whileStopping.headers.connection).to.equal('close');
    // Between the moment from which the node refuses and the answer after which it has stopped.
    await pause(2_900 - (performance.now() - beganAtMs));
    const tooLate = await fleet.call(first, { agent });
    expect([tooLate.status, Number(tooLate.headers['retry-after']) > 0]).to.deep.equal([503, true]);
    expect((await inFlight).status).to.equal(200);
    await stopped;
    agent.destroy();
  });
});
