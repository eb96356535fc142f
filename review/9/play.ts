/**
 * The operator writes a configuration with a route of a rank above 100. The store takes it; the nodes refuse it whole, and the
 * version before stays in force.
 */
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
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
  type RouteText,
} from '../lib-2/fleet.js';

const IS_TROUBLED = process.env.TROUBLE !== '0';
const MACHINES: readonly Machine[] = [
  { address: '127.64.0.1', service: 'front', zone: 'z1' },
  { address: '127.64.0.2', service: 'yard', zone: 'z1' },
  { address: '127.64.0.3', service: 'payments', zone: 'z2' },
];
/** The rank of the least urgent route. */
const PRIORITY = IS_TROUBLED ? 128 : 3;
/** Bounds of the pages. */
const CONFIG_APPLY_MS = 2_000;
const CONTACT_MS = 3_000;
/** How long requests are sent after the bound has passed, and how often. */
const ASKED_MS = 6_000;
const GAP_MS = 200;

async function main(): Promise<number> {
  const record = new CaseRecord(join('review', '9', 'record.txt'));
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
  const ranAt = new Map<string, string>();
  for (const machine of MACHINES) {
    const id = `i-${machine.service}`;
    const backend = await BackendStandIn.start(id, machine.address, fleet.ports.app);
    backend.behaviour = (_request, response, { requestId }) => {
      ranAt.set(requestId, machine.service);
      record.line(`back end ${machine.service} runs ${requestId}`);
      response.writeHead(200, {
        'Request-Id': requestId,
        'Server-Signature': `s-${requestId}`,
        'Content-Length': 2,
      });
      response.end('ok');
    };
  }
  configure(fleet, [route('report', 'yard', 2)]);
  for (const machine of MACHINES) {
    fleet.announce(machine, `i-${machine.service}`, 9);
  }
  const [node] = await Promise.all(MACHINES.map((machine) => fleet.startNode(machine)));
  await pause(CONTACT_MS + 1_000);
  record.line(`the new configuration has a route of priority ${PRIORITY}`);
  configure(fleet, [route('report', 'payments', 2), route('nightly', 'yard', PRIORITY)]);
  const acknowledgedAtMs = nowMs();
  await pause(CONFIG_APPLY_MS);
  let old = 0;
  let asked = 0;
  while (nowMs() < acknowledgedAtMs + CONFIG_APPLY_MS + ASKED_MS) {
    for (const { address } of MACHINES) {
      asked += 1;
      const requestId = `q${asked}`;
      const sinceMs = Math.round(nowMs() - acknowledgedAtMs);
      const { status } = await callNode(fleet, {
        address,
        path: `/report/${asked}`,
        requestId,
        deadlineMs: 1_500,
      });
      const service = ranAt.get(requestId);
      old += Number(service === 'yard');
      record.line(
        `client at ${address} sent ${requestId} ${sinceMs} ms after the acknowledgement: status ${status}, run by ${service}`,
      );
    }
    await pause(GAP_MS);
  }
  const isBack = node !== undefined && (await restart(fleet, record, node));
  const text = `${asked} requests later than configApplyS after the acknowledgement, ${old} run by the service of the version before; a node that was stopped and started is ready again: ${isBack}`;
  record.line(text);
  process.stdout.write(`${text}\n`);
  return old > 0 ? 1 : 0;
}

/** Stops the first node as planned and starts it again; returns whether it gets ready. Not part of the verdict. */
async function restart(fleet: Fleet, record: CaseRecord, node: ChildProcess): Promise<boolean> {
  const ended = once(node, 'exit');
  record.line('the platform stops the first node');
  node.kill('SIGTERM');
  await ended;
  const [machine] = MACHINES;
  if (machine === undefined) {
    return false;
  }
  record.line('the platform starts it again');
  return fleet.startNode(machine).then(
    () => true,
    () => false,
  );
}

function route(name: string, service: string, priority: number): RouteText {
  return {
    name: `r-${name}`,
    pathPrefix: `/${name}/`,
    kind: 'safe',
    timeoutS: 1.2,
    targetLatencyS: 0.6,
    priority,
    maxAttempts: 2,
    service,
  };
}

function configure(fleet: Fleet, routes: readonly RouteText[]): void {
  fleet.configure(
    routes,
    MACHINES.map(({ service }) => service),
  );
}

runCase(main);
