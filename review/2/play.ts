/**
 * A back end spoils a few of its answers: their status line holds 000. Counts the requests that other, sound back ends
 * were working on, and whose kept connections were closed without an answer.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { RequestRecord } from '../lib/client.js';
import { Fleet } from '../lib/fleet.js';
import { IS_TROUBLED, runCase, type CaseResult } from '../lib/run-case.js';

/** One answer in 50 of one back end of two. */
const SPOIL_EVERY = 50;
const TROUBLE_MS = 5_500;
const CALM_MS = 4_000;
const END_MS = 2_000;
const RATE_PER_S = 60;
const MAX_CLOSED = 3;

const fleet = new Fleet([
  { name: 'lookup', kind: 'safe', machines: 2, workMs: () => 40 + Math.random() * 40 },
  { name: 'charge', kind: 'unsafe', machines: 2, workMs: () => 80 + Math.random() * 60 },
]);

function spoilingAnswers(): (id: string) => string | undefined {
  let answers = SPOIL_EVERY / 2;
  return (id) => {
    answers += 1;
    return answers % SPOIL_EVERY === 0
      ? `HTTP/1.1 000 OK\r\nRequest-Id: ${id}\r\nContent-Length: 2\r\n\r\nhi`
      : undefined;
  };
}

async function play(): Promise<CaseResult> {
  await fleet.start();
  fleet.startLoad(RATE_PER_S);
  await sleep(CALM_MS);
  const [faulty, ...sound] = fleet.backends;
  const fromMs = Date.now();
  if (IS_TROUBLED && faulty !== undefined) {
    faulty.spoil = spoilingAnswers();
  }
  await sleep(TROUBLE_MS);
  if (faulty !== undefined) {
    faulty.spoil = () => undefined;
  }
  await sleep(CALM_MS);
  fleet.stopLoad();
  await sleep(END_MS);

  const { records, runners } = fleet;
  const soundIds = new Set(sound.map(({ options }) => options.id));
  const isClosed = ({ id, end, isKept }: RequestRecord): boolean =>
    end === 'closed' &&
    isKept === true &&
    runners.get(id)?.every((one) => soundIds.has(one)) === true;
  const closed = records.filter(isClosed);
  const spoilt = faulty?.runs.filter(({ isSpoilt }) => isSpoilt) ?? [];
  const lines = [
    `requests: ${records.length}, answered with 200: ${records.filter(({ status }) => status === 200).length}`,
    `spoilt answers: ${spoilt.length}`,
    `run by sound back ends, and their kept connections closed without an answer: ${closed.length} (${MAX_CLOSED} allowed)`,
    ...describeEnds(fromMs),
    '',
    ...closed.map(({ id, path, node }) => `closed: ${path} ${id} at ${node}`),
    '',
    ...fleet.describe(fromMs),
  ];
  return { isBroken: closed.length > MAX_CLOSED, lines };
}

/** The processes that ended by themselves, and the error that each wrote last. */
function describeEnds(fromMs: number): string[] {
  return fleet.nodes.flatMap(({ options, ownEnds, output }) => {
    const error = /^\w*Error.*$/m.exec(output)?.[0] ?? '';
    return ownEnds.map(
      ({ atMs, code }) =>
        `process of ${options.name} ended by itself after ${atMs - fromMs} ms, code ${code}: ${error}`,
    );
  });
}

runCase('2', fleet, play);
