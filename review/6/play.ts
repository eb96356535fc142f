/**
 * A planned stop of a node while a back end sends bytes without end in a body. The node stops holding the sender back and
 * keeps what its client has not read yet: its memory passes the limit of its machine, the platform kills it, and the requests
 * of other callers that it has in flight are lost.
 */
import { readFileSync } from 'node:fs';
import net from 'node:net';
import { join } from 'node:path';
import { BackendStandIn } from '../../standins/store-platform/backend-stand-in.js';
import {
  callNode,
  CaseRecord,
  Fleet,
  HOST,
  MEMORY_MB,
  nowMs,
  pause,
  runCase,
  type ClientResult,
  type Machine,
} from '../lib-2/fleet.js';

const IS_TROUBLED = process.env.TROUBLE !== '0';
const CALLER: Machine = { address: '127.60.0.1', service: 'front', zone: 'z1' };
const ENDLESS: Machine = { address: '127.60.0.2', service: 'yard', zone: 'z1' };
const SOUND: Machine = { address: '127.60.0.3', service: 'payments', zone: 'z1' };
/** Most bytes a second of a machine's link of 1,000 Mbit/s; the back end stays below. */
const ENDLESS_BYTES_PER_S = 100_000_000;
const PIECE_INTERVAL_MS = 10;
/** Two clients read at 16 Mbit/s each. */
const ENDLESS_COUNT = 2;
const READ_BYTES_PER_S = 2_000_000;
const READ_INTERVAL_MS = 50;
/** Requests of other callers: one each 125 ms from 1 s before the signal to 1.5 s behind it, each 2 s of work. */
const FIRST_AT_MS = -1_000;
const LAST_AT_MS = 1_500;
const GAP_MS = 125;
const WORK_MS = 2_000;
/** More than the requests that run at any time. */
const SLOTS = 18;
const DEADLINE_MS = 5_000;
const GRACE_MS = 6_000;
const MEMORY_INTERVAL_MS = 20;
const KILOBYTES_PER_MEGABYTE = 1_024;

async function main(): Promise<number> {
  const record = new CaseRecord(join('review', '6', 'record.txt'));
  const machines = [CALLER, ENDLESS, SOUND];
  const fleet = await Fleet.start(
    machines.map(({ address }) => address),
    record,
  );
  try {
    return await play(fleet, record, machines);
  } finally {
    fleet.close();
  }
}

async function play(
  fleet: Fleet,
  record: CaseRecord,
  machines: readonly Machine[],
): Promise<number> {
  for (const machine of machines) {
    await startBackend(fleet, record, machine);
  }
  const limits = { timeoutS: 5, targetLatencyS: 3, maxAttempts: 2 };
  fleet.configure(
    [
      {
        name: 'r-report',
        pathPrefix: '/report/',
        kind: 'download',
        priority: 2,
        service: 'yard',
        ...limits,
      },
      {
        name: 'r-charge',
        pathPrefix: '/charge/',
        kind: 'unsafe',
        priority: 1,
        service: 'payments',
        ...limits,
      },
    ],
    ['front', 'yard', 'payments'],
  );
  for (const machine of machines) {
    fleet.announce(machine, idOf(machine), SLOTS);
  }
  const [node] = await Promise.all(machines.map((machine) => fleet.startNode(machine)));
  if (node === undefined) {
    throw new Error('no node');
  }
  // The machines have been calm for `contactS`.
  await pause(3_500);
  for (let index = 0; index < ENDLESS_COUNT; index += 1) {
    openReport(fleet, record, `e${index}`);
  }
  const results: Promise<ClientResult>[] = [];
  const stopAtMs = nowMs() + 1_200;
  let isKilled = false;
  let isStopped = false;
  node.once('exit', () => {
    isStopped = true;
  });
  const memoryTimer = setInterval(() => {
    const usedMb = usedMemoryMb(node.pid ?? 0);
    if (!isStopped && !isKilled && usedMb > MEMORY_MB) {
      isKilled = true;
      record.line(`the platform kills the node of ${CALLER.address}: ${usedMb} of ${MEMORY_MB} MB`);
      node.kill('SIGKILL');
    }
  }, MEMORY_INTERVAL_MS);
  let isSignalled = false;
  for (let atMs = FIRST_AT_MS, index = 0; atMs <= LAST_AT_MS; atMs += GAP_MS, index += 1) {
    if (!isSignalled && atMs >= 0) {
      isSignalled = true;
      await pause(stopAtMs - nowMs());
      record.line(`the platform sends SIGTERM to the node of ${CALLER.address}`);
      node.kill('SIGTERM');
    }
    await pause(Math.max(0, stopAtMs + atMs - nowMs()));
    results.push(charge(fleet, record, `c${index}`));
  }
  const answers = await Promise.all(results);
  await pause(Math.max(0, stopAtMs + GRACE_MS - nowMs()));
  clearInterval(memoryTimer);
  return verdict(answers, isKilled, record);
}

function idOf({ service }: Machine): string {
  return `i-${service}`;
}

async function startBackend(fleet: Fleet, record: CaseRecord, machine: Machine): Promise<void> {
  const backend = await BackendStandIn.start(idOf(machine), machine.address, fleet.ports.app);
  backend.behaviour = (_request, response, { requestId, target }) => {
    record.line(`back end ${machine.service} runs ${requestId} ${target}`);
    const head = { 'Request-Id': requestId, 'Server-Signature': `s-${requestId}` };
    if (machine.service === 'yard' && IS_TROUBLED) {
      const { socket } = response;
      if (socket !== null) {
        sendWithoutEnd(socket, requestId);
      }
      return;
    }
    const workMs = machine.service === 'payments' ? WORK_MS : 0;
    setTimeout(() => {
      response.writeHead(200, { ...head, 'Content-Length': 1_500 });
      response.end('a'.repeat(1_500));
      record.line(`back end ${machine.service} has answered ${requestId}`);
    }, workMs);
  };
}

/** An answer without a length, whose body goes on until the caller closes; it keeps to the rate of the link. */
function sendWithoutEnd(socket: net.Socket, requestId: string): void {
  socket.on('error', () => undefined);
  socket.write(
    `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nServer-Signature: s-${requestId}\r\n\r\n`,
  );
  const piece = Buffer.alloc(
    (ENDLESS_BYTES_PER_S / ENDLESS_COUNT / 1_000) * PIECE_INTERVAL_MS,
    'z',
  );
  const timer = setInterval(() => {
    if (socket.writableLength === 0) {
      socket.write(piece);
    }
  }, PIECE_INTERVAL_MS);
  socket.once('close', () => clearInterval(timer));
}

/** A client that reads as fast as its link of 16 Mbit/s allows, and waits for the whole answer. */
function openReport(fleet: Fleet, record: CaseRecord, requestId: string): void {
  const socket = net.connect({ host: CALLER.address, port: fleet.ports.outbound });
  socket.on('error', () => undefined);
  socket.pause();
  record.line(`client sends ${requestId}`);
  socket.write(
    `GET /report/${requestId} HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: ${requestId}\r\nDeadline-Ms: 10000\r\n\r\n`,
  );
  let readBytes = 0;
  const timer = setInterval(() => {
    const wanted = (READ_BYTES_PER_S / 1_000) * READ_INTERVAL_MS;
    const chunk = (socket.read(Math.min(wanted, socket.readableLength)) ?? null) as Buffer | null;
    readBytes += chunk?.length ?? 0;
  }, READ_INTERVAL_MS);
  socket.once('close', () => {
    clearInterval(timer);
    record.line(`the connection of ${requestId} has ended after ${readBytes} bytes`);
  });
}

async function charge(fleet: Fleet, record: CaseRecord, requestId: string): Promise<ClientResult> {
  record.line(`client sends ${requestId}`);
  const result = await callNode(fleet, {
    address: CALLER.address,
    path: `/charge/${requestId}`,
    method: 'POST',
    body: 'pay',
    requestId,
    deadlineMs: DEADLINE_MS,
  });
  const { status, isWhole, sentAtMs, endedAtMs = Infinity } = result;
  record.line(
    `${requestId}: status ${status}, whole ${isWhole}, after ${Math.round(endedAtMs - sentAtMs)} ms`,
  );
  return result;
}

/** What the process holds, as the platform sees it; 0 once it has ended. */
function usedMemoryMb(pid: number): number {
  try {
    const text = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Math.round(Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0) / KILOBYTES_PER_MEGABYTE);
  } catch {
    return 0;
  }
}

/** Rule LOST: a request that was read ends with its connection and without a whole answer. */
function verdict(results: readonly ClientResult[], isKilled: boolean, record: CaseRecord): number {
  const answered = results.filter(({ isWhole }) => isWhole).length;
  const lost = results.length - answered;
  const text = `${results.length} requests, ${answered} with a whole answer, ${lost} lost; killed over its memory: ${isKilled}`;
  record.line(text);
  process.stdout.write(`${text}\n`);
  return lost > 0 ? 1 : 0;
}

runCase(main);
