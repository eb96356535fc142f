/** Nodes that follow the feed of another one, over sockets. */
import { randomBytes } from 'node:crypto';
import http from 'node:http';
import net from 'node:net';
import { once } from 'node:events';
import { expect } from 'chai';
import { ChangeFeed } from '../../src/peers/change-feed.js';
import { FEED_PATH, FeedClient } from '../../src/peers/feed-client.js';
import {
  decodeDelta,
  decodeFeedMessage,
  encodeFeedMessage,
  type FeedMessage,
} from '../../src/peers/feed-message.js';
import { DeltaCache, encodeDelta } from '../../src/peers/delta-codec.js';
import { StoreReplica } from '../../src/store/store-replica.js';
import { pause, PlatformFleet, type FleetMachine } from './platform-fleet.js';

const HOST = '127.0.0.1';
const FRESHNESS = { ageMs: 12, reader: '10.0.0.1', confirmation: 7 };

/** A line of a feed that tells one change. */
function told(change: string): string {
  return `{"ageMs":1,"reader":"a","confirmation":1,"delta":{"sinceRevision":0,"revision":1,"changes":[${change}]}}`;
}

describe('messages of a feed', () => {
  it('reads what it writes, removals among it', () => {
    const changes = [
      { key: 'a', revision: 3, value: 'x\ny' },
      { key: 'b', revision: 4, value: undefined },
    ];
    const delta = { sinceRevision: 2, revision: 4, changes };
    const line = encodeFeedMessage(FRESHNESS, encodeDelta(delta));
    expect(line.indexOf('\n')).to.equal(line.length - 1);
    const read = decodeFeedMessage(line.trimEnd());
    expect(read).to.deep.include(FRESHNESS);
    expect(read?.delta?.changes).to.deep.equal([
      { key: 'a', revision: 3, value: 'x\ny' },
      { key: 'b', revision: 4 },
    ]);
  });

  it('stands for a state that was never confirmed with a great age', () => {
    const line = encodeFeedMessage({ ...FRESHNESS, ageMs: Infinity });
    expect(decodeFeedMessage(line.trimEnd())?.ageMs).to.be.greaterThan(1_000_000);
  });

  const foreign = [
    '',
    'null',
    '[]',
    '{"ageMs":1,"reader":"a"}',
    '{"ageMs":-1,"reader":"a","confirmation":1}',
    '{"ageMs":1,"reader":"a","confirmation":1,"delta":{}}',
    '{"ageMs":1,"reader":"a","confirmation":1,"delta":{"sinceRevision":0,"revision":1.5,"changes":[]}}',
    '{"ageMs":1,"reader":"a","confirmation":1,"delta":{"sinceRevision":0,"revision":1,"changes":[{"key":1,"revision":1}]}}',
    '{"ageMs":1e999,"reader":"a","confirmation":1}',
    '{"ageMs":1,"reader":"","confirmation":1}',
    '{"ageMs":1,"reader":"a","confirmation":-1}',
    `{"ageMs":1,"reader":"${'a'.repeat(300)}","confirmation":1}`,
    told('{"key":"","revision":1}'),
    told('{"key":"a","revision":1,"value":null}'),
    told('{"key":"a","revision":1,"value":{}}'),
    told('{"key":"a","revision":"1","value":"x"}'),
    told(`{"key":"${'k'.repeat(300)}","revision":1}`),
    told('{"key":"a","revision":1,"baseRevision":1,"patch":[[2,1]]}'),
    told('{"key":"a","revision":1,"baseRevision":1,"patch":[[0,1,2]]}'),
    told('{"key":"a","revision":1,"baseRevision":2,"patch":[]}'),
    told('7'),
    told('"x"'),
    told('true'),
    told('null'),
    told('[]'),
  ];
  for (const line of foreign) {
    it(`refuses ${line.slice(0, 200) || 'an empty line'}`, () => {
      expect(decodeFeedMessage(line)).to.equal(undefined);
    });
  }

  it('refuses a delta with a foreign revision', () => {
    expect(decodeDelta('{"sinceRevision":-1,"revision":1,"changes":[]}')).to.equal(undefined);
    expect(decodeDelta('{"sinceRevision":0,"revision":1,"changes":[]}')?.revision).to.equal(1);
  });
});

describe('feed of a node', () => {
  let replica: StoreReplica;
  let feed: ChangeFeed;
  let server: http.Server;
  let port: number;

  beforeEach(async () => {
    replica = new StoreReplica();
    replica.applyChanges([{ key: 'a', revision: 1, value: '1' }], 1);
    feed = new ChangeFeed({ replica, deltas: new DeltaCache(replica), freshness: () => FRESHNESS });
    server = http.createServer((request, response) => {
      feed.subscribe(response, Number((request.url ?? '').slice(FEED_PATH.length)));
    });
    server.listen(0, HOST);
    await once(server, 'listening');
    port = (server.address() as net.AddressInfo).port;
  });

  afterEach(() => {
    feed.close();
    server.close();
    server.closeAllConnections();
  });

  /** Follows the feed; `events` gets what it tells. */
  function follow(events: (FeedMessage | string)[], revision = 0): FeedClient {
    const client = new FeedClient({
      port,
      onMessage: (_peer, message) => events.push(message),
      onProgress: () => undefined,
      onEnd: (_peer, reason) => events.push(reason),
    });
    client.open(HOST, revision);
    return client;
  }

  async function untilCount(events: readonly unknown[], count: number): Promise<void> {
    for (let tries = 0; tries < 200 && events.length < count; tries += 1) {
      await pause(10);
    }
    expect(events).to.have.length.at.least(count);
  }

  it('tells at once what a follower lacks, then what changes, then that nothing did', async () => {
    const events: (FeedMessage | string)[] = [];
    const client = follow(events);
    await untilCount(events, 1);
    replica.applyChanges([{ key: 'b', revision: 2, value: '2' }], 2);
    feed.publish();
    feed.publish();
    await untilCount(events, 3);
    const deltas = events.map((event) => (typeof event === 'string' ? event : event.delta));
    expect(deltas[0]).to.deep.include({ sinceRevision: 0, revision: 1 });
    expect(deltas[1]).to.deep.include({ sinceRevision: 1, revision: 2 });
    expect(deltas[2]).to.equal(undefined);
    client.close();
  });

  it('refuses followers beyond its bound, and while it holds nothing', async () => {
    const events: (FeedMessage | string)[][] = Array.from({ length: 17 }, () => []);
    const clients = events.map((list) => follow(list));
    await Promise.all(events.map((list) => untilCount(list, 1)));
    const refusals = events.flat().filter((event) => event === 'status 503');
    expect(refusals).to.have.length(1);
    expect(feed.followerCount).to.equal(16);
    clients.forEach((client) => client.close());
    const empty = new StoreReplica();
    feed = new ChangeFeed({
      replica: empty,
      deltas: new DeltaCache(empty),
      freshness: () => FRESHNESS,
    });
    const refused: (FeedMessage | string)[] = [];
    follow(refused);
    await untilCount(refused, 1);
    expect(refused).to.deep.equal(['status 503']);
  });

  it('cuts a follower that does not read', async () => {
    const socket = net.connect(port, HOST);
    socket.write(`GET ${FEED_PATH}0 HTTP/1.1\r\nHost: x\r\n\r\n`);
    socket.on('error', () => undefined);
    socket.pause();
    for (let tries = 0; tries < 100 && feed.followerCount === 0; tries += 1) {
      await pause(10);
    }
    const value = randomBytes(768 * 1024).toString('base64');
    for (let revision = 2; revision < 40 && feed.followerCount > 0; revision += 1) {
      replica.applyChanges([{ key: `k${revision}`, revision, value }], revision);
      feed.publish();
      await pause(5);
    }
    expect(feed.followerCount).to.equal(0);
    socket.destroy();
  });

  it('ends with a reason when the feed ends, and says nothing once it is closed', async () => {
    const events: (FeedMessage | string)[] = [];
    follow(events);
    const closed: (FeedMessage | string)[] = [];
    const closedClient = follow(closed);
    await Promise.all([untilCount(events, 1), untilCount(closed, 1)]);
    closedClient.close();
    feed.close();
    await untilCount(events, 2);
    expect(events[1]).to.be.a('string');
    await pause(50);
    expect(closed).to.have.length(1);
  });
});

describe('nodes of a fleet with more machines than readers', () => {
  let fleet: PlatformFleet;

  afterEach(() => fleet.close());

  /** Whether the node has stopped reading the store, and has not begun again. */
  function isFollowing({ log }: FleetMachine): boolean {
    const last = log.filter((line) => line.includes('store-reading')).at(-1);
    return last?.includes('store-reading-ended') === true;
  }

  /** Four machines in one zone, one in each of five others; two of the nine read. */
  async function settledFleet(): Promise<{ followers: FleetMachine[]; readers: FleetMachine[] }> {
    fleet = await PlatformFleet.start();
    for (const zone of ['z1', 'z1', 'z1', 'z1', 'z2', 'z3', 'z4', 'z5', 'z6']) {
      await fleet.addMachine('a', zone);
    }
    const { machines } = fleet;
    const followersNow = () => machines.filter((one) => isFollowing(one));
    for (let tries = 0; tries < 600 && followersNow().length < machines.length - 2; tries += 1) {
      await pause(10);
    }
    const followers = followersNow();
    expect(followers).to.have.length(machines.length - 2);
    return { followers, readers: machines.filter((one) => !followers.includes(one)) };
  }

  it('puts a configuration in force at the followers as at the readers', async () => {
    const { followers } = await settledFleet();
    const startMs = performance.now();
    fleet.configure([{}, {}]);
    await Promise.all(followers.map((one) => fleet.untilStatus(one, 200, '/p1/x')));
    expect(performance.now() - startMs).to.be.below(1_000);
  }).timeout(20_000);

  it('goes on when both readers end, and when the store is away and back', async () => {
    const { followers, readers } = await settledFleet();
    readers.forEach(({ node }) => node.abort());
    const startMs = performance.now();
    fleet.configure([{}, {}]);
    await Promise.all(followers.map((one) => fleet.untilStatus(one, 200, '/p1/x')));
    expect(performance.now() - startMs).to.be.below(2_000);
    fleet.store.fault = { type: 'reset' };
    fleet.store.cutWatches();
    await pause(2_500);
    fleet.store.fault = undefined;
    fleet.configure([{}, {}, {}]);
    await Promise.all(followers.map((one) => fleet.untilStatus(one, 200, '/p2/x')));
  }).timeout(25_000);
});
