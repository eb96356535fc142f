/**
 * Reads of the store with `stale=1` are three seconds old. A back end announces that it leaves, serves for a while longer
 * than it has to, and ends. Counts the orders that reach it later than the drain time after its announcement was
 * acknowledged.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { Fleet } from '../lib/fleet.js';
import { IS_TROUBLED, runCase, type CaseResult } from '../lib/run-case.js';

const STALE_LAG_MS = 3_000;
const DRAIN_MS = 2_000;
/** Time from the announcement to the end of the back end. */
const LEAVE_AFTER_MS = 2_500;
const CALM_MS = 4_000;
const END_MS = 2_000;
const RATE_PER_S = 30;

const fleet = new Fleet(
  [
    { name: 'charge', kind: 'unsafe', machines: 3, workMs: () => 80 + Math.random() * 60 },
    { name: 'lookup', kind: 'safe', machines: 2, workMs: () => 40 + Math.random() * 40 },
  ],
  IS_TROUBLED ? STALE_LAG_MS : 0,
);

async function play(): Promise<CaseResult> {
  await fleet.start();
  fleet.startLoad(RATE_PER_S);
  await sleep(CALM_MS);
  const { store, backends } = fleet;
  const [leaving] = backends;
  const acknowledgedAtMs = leaving?.announceDraining(store) ?? 0;
  await sleep(LEAVE_AFTER_MS);
  leaving?.leave(store);
  await sleep(CALM_MS);
  fleet.stopLoad();
  await sleep(END_MS);

  const runs = leaving?.runs ?? [];
  const late = runs.filter(({ atMs }) => atMs - acknowledgedAtMs > DRAIN_MS);
  const recordOf = new Map(fleet.records.map((record) => [record.id, record]));
  const lost = late.filter(({ id }) => recordOf.get(id)?.status !== 200);
  const lines = [
    `requests: ${fleet.records.length}, answered with 200: ${fleet.records.filter(({ status }) => status === 200).length}`,
    `orders that reached the leaving back end later than ${DRAIN_MS} ms after the acknowledgement: ${late.length} (none allowed)`,
    `of these, run and not answered with 200: ${lost.length}`,
    ...late.map(({ id, atMs }) => {
      const { status = 'none', node = '' } = recordOf.get(id) ?? {};
      return `  ${id} from ${node} after ${atMs - acknowledgedAtMs} ms, status ${status}`;
    }),
    '',
    ...fleet.describe(acknowledgedAtMs),
  ];
  return { isBroken: late.length > 0, lines };
}

runCase('5', fleet, play);
