/** `npm run crashes`: what requests that end back ends, and ends without such requests, cost all others. */
import { randomInt } from 'node:crypto';
import http from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import meow from 'meow';
import { VERDICT_HEADER } from '../../src/model/verdict.js';
import { seededRandom } from '../emulator/seeded-random.js';
import { startOpenLoop } from '../shared/open-loop.js';
import { crashingPath } from './crash-backend.js';
import { CrashFleet } from './crash-fleet.js';

const cli = meow(
  `
  Usage
    $ npm run crashes -- [options]

  Options
    --seconds   Length of each scenario (default 14)
    --seed      Seed of the arrivals (default 1)
    --scenario  One of them alone: none, get, post, two, get-by-address, two-by-address, storm

  Three nodes with two back ends of 8 slots each; 100 harmless requests a second with 1.2 s each. Crashing
  requests come each 150 ms and end their back end, which is back after 2 s; in a storm one back end ends each
  0.7 s without a request, and 70% of the harmless requests are the same one.
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      seconds: { type: 'number', default: 14 },
      seed: { type: 'number', default: 1 },
      scenario: { type: 'string' },
    },
  },
);

const MS_PER_SECOND = 1_000;
const HARMLESS_PER_SECOND = 100;
const CRASHING_GAP_MS = 150;
const STORM_GAP_MS = 700;
const SAME_SHARE = 0.7;
const DEADLINE_MS = 1_200;
/** Time left with which something could still have been tried, in milliseconds. */
const USABLE_LEFT_MS = 300;

/** What a scenario consists of besides harmless requests. */
interface Scenario {
  readonly name: string;
  readonly method: 'GET' | 'POST';
  /** How many different crashing requests come by turns. */
  readonly crashing: number;
  readonly isStorm: boolean;
  /** Whether callers name each node by its address; a name that is the same everywhere when absent. */
  readonly isByAddress?: boolean;
}

const SCENARIOS: readonly Scenario[] = [
  { name: 'none', method: 'GET', crashing: 0, isStorm: false },
  { name: 'get', method: 'GET', crashing: 1, isStorm: false },
  { name: 'post', method: 'POST', crashing: 1, isStorm: false },
  { name: 'two', method: 'GET', crashing: 2, isStorm: false },
  { name: 'get-by-address', method: 'GET', crashing: 1, isStorm: false, isByAddress: true },
  { name: 'two-by-address', method: 'GET', crashing: 2, isStorm: false, isByAddress: true },
  { name: 'storm', method: 'GET', crashing: 0, isStorm: true },
];

/** What a caller was told. */
interface Outcome {
  readonly status: number;
  readonly verdict: string | undefined;
  readonly tookMs: number;
  readonly isContained: boolean;
}

function send(
  place: { host: string; port: number },
  path: string,
  method: string,
  host: string,
): Promise<Outcome> {
  const sentAtMs = performance.now();
  return new Promise((resolve) => {
    const end = (status: number, verdict: string | undefined, text: string): void =>
      resolve({
        status,
        verdict,
        tookMs: performance.now() - sentAtMs,
        isContained: text.includes('CONTAINED'),
      });
    const headers = { host, 'x-deadline-ms': String(DEADLINE_MS) };
    const request = http.request({ ...place, path, method, headers, agent: false });
    request.on('error', () => end(0, undefined, ''));
    request.on('response', (response) => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => {
        text += chunk;
      });
      response.on('close', () => {
        const verdict = response.headers[VERDICT_HEADER];
        end(response.statusCode ?? 0, typeof verdict === 'string' ? verdict : undefined, text);
      });
    });
    request.end();
  });
}

function hostOf({ isByAddress }: Scenario, { host, port }: { host: string; port: number }): string {
  return isByAddress === true ? `${host}:${port}` : 'lookups';
}

async function repeatCrashing(
  fleet: CrashFleet,
  scenario: Scenario,
  endsAtMs: number,
): Promise<void> {
  const { method, crashing } = scenario;
  for (let count = 0; crashing > 0 && performance.now() < endsAtMs; count += 1) {
    const place = fleet.callers[randomInt(fleet.callers.length)];
    if (place !== undefined) {
      void send(place, crashingPath(count % crashing), method, hostOf(scenario, place));
    }
    await delay(CRASHING_GAP_MS);
  }
}

async function storm(fleet: CrashFleet, endsAtMs: number): Promise<void> {
  for (let count = 0; performance.now() < endsAtMs; count += 1) {
    void fleet.backends[count % fleet.backends.length]?.crash();
    await delay(STORM_GAP_MS);
  }
}

async function play(scenario: Scenario): Promise<string> {
  const network = `127.${randomInt(16, 255)}.${randomInt(1, 255)}`;
  const fleet = await CrashFleet.start(network);
  try {
    const random = seededRandom(cli.flags.seed);
    const durationMs = cli.flags.seconds * MS_PER_SECOND;
    const endsAtMs = performance.now() + durationMs;
    const outcomes: Outcome[] = [];
    const loop = startOpenLoop({
      ratePerSecond: HARMLESS_PER_SECOND,
      durationMs,
      maxOutstanding: HARMLESS_PER_SECOND * 2,
      random,
      start: async (index) => {
        const place = fleet.callers[Math.floor(random() * fleet.callers.length)];
        const isSame = scenario.isStorm && random() < SAME_SHARE;
        if (place !== undefined) {
          const path = isSame ? '/often' : `/one-${index}`;
          outcomes.push(await send(place, path, scenario.method, hostOf(scenario, place)));
        }
      },
    });
    await Promise.all([
      loop.finished,
      repeatCrashing(fleet, scenario, endsAtMs),
      ...(scenario.isStorm ? [storm(fleet, endsAtMs)] : []),
    ]);
    return describe(scenario, fleet, outcomes);
  } finally {
    await fleet.close();
  }
}

function describe({ name }: Scenario, fleet: CrashFleet, outcomes: readonly Outcome[]): string {
  const served = outcomes.filter(({ status }) => status === 200).length;
  const inVain = outcomes.filter(
    ({ status, verdict, tookMs }) =>
      status !== 200 && verdict === 'not-run' && DEADLINE_MS - tookMs >= USABLE_LEFT_MS,
  ).length;
  const contained = outcomes.filter(({ isContained }) => isContained).length;
  const ends = fleet.backends.flatMap((backend) => backend.ends);
  const paths = [...new Set(ends)].sort();
  const endsText = paths
    .map((path) => `${path ?? 'none'} ${ends.filter((end) => end === path).length}`)
    .join(', ');
  return (
    `${name.padEnd(6)} served ${(served / outcomes.length).toFixed(3)} of ${outcomes.length}; ` +
    `not run, told with ${USABLE_LEFT_MS} ms left or more: ${inVain}; ` +
    `harmless ones contained: ${contained}; ends of back ends by request: ${endsText || 'none'}`
  );
}

for (const scenario of SCENARIOS) {
  if (cli.flags.scenario === undefined || cli.flags.scenario === scenario.name) {
    process.stdout.write(`${await play(scenario)}\n`);
  }
}
process.exit(0);
