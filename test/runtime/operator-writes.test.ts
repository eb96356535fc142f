import { expect } from 'chai';
import { eventually, LocalFleet, type FleetMachine } from '../support/local-fleet.js';

const TOKEN = 'a-token-for-tests-only';
const VOTERS = ['edge-a', 'tiles-a-0', 'edge-b', 'tiles-b-0', 'edge-c'];

interface Answer {
  readonly status: number;
  readonly verdict?: string;
  readonly version?: string;
  readonly currentVersion?: string;
  readonly operatorRevision?: number;
  readonly spec?: { readonly requestTimeoutMs: number };
}

/** Sends one request to a node's resource API. */
async function api(
  machine: FleetMachine,
  method: string,
  path: string,
  headers: Record<string, string> = {},
  spec?: object,
): Promise<Answer> {
  const response = await fetch(`http://127.0.0.1:${machine.ports.admin}/v1/${path}`, {
    method,
    headers: {
      authorization: `Bearer ${TOKEN}`,
      'content-type': 'application/json',
      ...headers,
    },
    ...(spec === undefined ? {} : { body: JSON.stringify({ spec }) }),
  });
  return { ...((await response.json()) as object), status: response.status };
}

const create = { 'if-none-match': '*' };

describe('runtime/node: operator writes', function () {
  this.timeout(60_000);
  let fleet: LocalFleet;

  before(async () => {
    fleet = await LocalFleet.start({
      zones: ['a', 'b', 'c'],
      backendsPerZone: 1,
      initialVoters: VOTERS,
      adminToken: TOKEN,
    });
  });

  after(() => fleet.stop());

  /** Creates a service through the node, retrying until the fleet accepts writes. */
  async function createWhenAccepted(machine: FleetMachine, name: string): Promise<Answer> {
    let answer = await api(machine, 'PUT', `services/${name}`, create, { requestTimeoutMs: 100 });
    await eventually(async () => {
      if (answer.status === 503) {
        answer = await api(machine, 'PUT', `services/${name}`, create, { requestTimeoutMs: 100 });
      }
      return answer.status !== 503;
    });
    return answer;
  }

  it('accepts a write at a node that is not a voter, and serves it on every node', async () => {
    const answer = await createWhenAccepted(fleet.machine('tiles-c-0'), 'parcels');
    expect([answer.status, answer.verdict]).to.deep.equal([200, 'ran']);
    for (const machine of fleet.machines) {
      await eventually(async () => (await api(machine, 'GET', 'services/parcels')).status === 200);
    }
  });

  it('accepts one of two concurrent writes, and returns the current version to the other writer', async () => {
    const { version } = await api(fleet.machine('edge-a'), 'GET', 'services/parcels');
    const headers = { 'if-match': `"${version}"` };
    const answers = await Promise.all(
      ['edge-b', 'tiles-c-0'].map((id, index) =>
        api(fleet.machine(id), 'PUT', 'services/parcels', headers, {
          requestTimeoutMs: 200 + index,
        }),
      ),
    );
    answers.sort((left, right) => left.status - right.status);
    expect(answers.map(({ status }) => status)).to.deep.equal([200, 412]);
    expect(answers[1]?.currentVersion).to.equal(answers[0]?.version);
    expect(answers[1]?.verdict).to.equal('not-run');
  });

  it('refuses dangling references, and deletes resources that the source publishes', async () => {
    const machine = fleet.machine('edge-c');
    const route = { pathPrefix: '/x', service: 'nowhere' };
    const dangling = await api(machine, 'PUT', 'routes/x', create, route);
    expect([dangling.status, dangling.verdict]).to.deep.equal([422, 'not-run']);
    const inUse = await api(machine, 'DELETE', 'services/tiles', { 'if-match': '*' });
    expect(inUse.status).to.equal(422);
    const deleted = await api(machine, 'DELETE', 'routes/tiles', { 'if-match': '*' });
    expect(deleted.status).to.equal(200);
    for (const other of fleet.machines) {
      await eventually(async () => (await api(other, 'GET', 'routes/tiles')).status === 404);
    }
  });

  it('keeps accepted writes after the primary fails, and accepts new ones', async () => {
    const before = await api(fleet.machine('tiles-c-0'), 'GET', 'services/parcels');
    fleet.machine('edge-a').node.abort();
    const answer = await createWhenAccepted(fleet.machine('tiles-c-0'), 'extracts');
    expect(answer.status).to.equal(200);
    const after = await api(fleet.machine('tiles-c-0'), 'GET', 'services/parcels');
    expect(after.spec).to.deep.equal(before.spec);
  });

  it('answers not-run or may-have-run when most voters are dead', async () => {
    for (const id of ['tiles-a-0', 'edge-b', 'tiles-b-0']) {
      fleet.machine(id).node.abort();
    }
    const answer = await api(fleet.machine('tiles-c-0'), 'PUT', 'services/late', create, {
      requestTimeoutMs: 1,
    });
    expect([503, 504]).to.include(answer.status);
    expect(answer.verdict).to.equal(answer.status === 503 ? 'not-run' : 'may-have-run');
    const held = await api(fleet.machine('edge-c'), 'GET', 'services/extracts');
    expect(held.status).to.equal(200);
  });
});
