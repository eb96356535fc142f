/**
 * Another writer has put large entries into the store, slowly. Nodes that run are not troubled; nodes that start read the store
 * page by page, give up at a bound on the pages, and begin again for ever: after all of them were killed, nothing is served.
 */
import { join } from 'node:path';
import { BackendStandIn } from '../../standins/store-platform/backend-stand-in.js';
import {
  callNode,
  CaseRecord,
  Fleet,
  nowMs,
  pause,
  runCase,
  type Machine,
} from '../lib-2/fleet.js';

const IS_TROUBLED = process.env.TROUBLE !== '0';
const MACHINES: readonly Machine[] = [
  { address: '127.66.0.1', service: 'front', zone: 'z1' },
  { address: '127.66.0.2', service: 'yard', zone: 'z1' },
  { address: '127.66.0.3', service: 'payments', zone: 'z2' },
];
/** Largest value of the store (`valueBytes`); eight such entries a second are written, of the 400 writes that are allowed. */
const VALUE_BYTES = 1_048_576;
const ENTRIES = 205;
const WRITE_INTERVAL_MS = 125;
const CONTACT_MS = 3_000;
/** Bounds of the pages. */
const RECOVERY_MS = 15_000;
const MIN_SHARE = 0.25;
const DOWN_MS = 1_000;
const ASKED_MS = 10_000;
const GAP_MS = 250;

async function main(): Promise<number> {
  const record = new CaseRecord(join('review', '8', 'record.txt'));
  const fleet = await Fleet.start(
    MACHINES.map(({ address }) => address),
    record,
  );
  try {
    return await play(fleet, record);
  } finally {
    fleet.close();
  }
}

async function play(fleet: Fleet, record: CaseRecord): Promise<number> {
  // A page holds about 1 MB, so one large entry; small ones would share a page.
  fleet.store.pageSize = 1;
  for (const machine of MACHINES) {
    const backend = await BackendStandIn.start(
      `i-${machine.service}`,
      machine.address,
      fleet.ports.app,
    );
    backend.behaviour = (_request, response, { requestId }) => {
      record.line(`back end ${machine.service} runs ${requestId}`);
      response.writeHead(200, {
        'Request-Id': requestId,
        'Server-Signature': `s-${requestId}`,
        'Content-Length': 2,
      });
      response.end('ok');
    };
  }
  fleet.configure(
    [
      {
        name: 'r-report',
        pathPrefix: '/report/',
        kind: 'safe',
        timeoutS: 1.2,
        targetLatencyS: 0.6,
        priority: 2,
        maxAttempts: 2,
        service: 'yard',
      },
    ],
    MACHINES.map((machine) => machine.service),
  );
  for (const machine of MACHINES) {
    fleet.announce(machine, `i-${machine.service}`, 9);
  }
  const nodes = await Promise.all(MACHINES.map((machine) => fleet.startNode(machine)));
  await pause(CONTACT_MS + 1_000);
  const before = ask(fleet, record, 'b', ENTRIES * WRITE_INTERVAL_MS);
  await writeEntries(fleet, record);
  const shareBefore = await before;
  record.line('all nodes are killed');
  nodes.forEach((node) => node.kill('SIGKILL'));
  await pause(DOWN_MS);
  record.line('the platform starts all nodes again');
  for (const machine of MACHINES) {
    fleet.startNode(machine).catch((error: unknown) => record.line(String(error)));
  }
  await pause(RECOVERY_MS);
  const shareAfter = await ask(fleet, record, 'a', ASKED_MS);
  const text = `share served before the kill ${shareBefore.toFixed(2)}, later than recoveryS after the start ${shareAfter.toFixed(2)}`;
  record.line(text);
  process.stdout.write(`${text}\n`);
  return shareBefore >= MIN_SHARE && shareAfter < MIN_SHARE ? 1 : 0;
}

/** Entries whose bytes can't be read. */
async function writeEntries(fleet: Fleet, record: CaseRecord): Promise<void> {
  const value = Buffer.alloc(VALUE_BYTES, 0xff);
  for (let index = 0; index < ENTRIES; index += 1) {
    if (IS_TROUBLED) {
      fleet.store.put(`servers/foreign-${index}`, value);
      record.line(`another writer puts servers/foreign-${index}, ${VALUE_BYTES} bytes`);
    }
    await pause(WRITE_INTERVAL_MS);
  }
}

/** Sends requests on every machine for some time; returns the share that was served. */
async function ask(
  fleet: Fleet,
  record: CaseRecord,
  prefix: string,
  forMs: number,
): Promise<number> {
  const endMs = nowMs() + forMs;
  let asked = 0;
  let served = 0;
  while (nowMs() < endMs) {
    for (const { address } of MACHINES) {
      asked += 1;
      const requestId = `${prefix}${asked}`;
      const { status, isWhole } = await callNode(fleet, {
        address,
        path: `/report/${asked}`,
        requestId,
        deadlineMs: 1_500,
      });
      served += Number(status === 200 && isWhole);
      record.line(`client at ${address} sent ${requestId}: status ${status}, whole ${isWhole}`);
    }
    await pause(GAP_MS);
  }
  return served / asked;
}

runCase(main);
