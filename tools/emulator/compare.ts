/** `npm run compare`: the same changes and failures on three designs of distribution. */
import { execFileSync } from 'node:child_process';
import { mkdirSync, writeFileSync } from 'node:fs';
import { consola } from 'consola';
import meow from 'meow';
import { DESIGN_NAMES, FLEET_SIZES, SCENARIO_NAMES } from './comparison-plan.js';
import { markdownTable } from './comparison-report.js';
import { compareOne, type ComparisonResult } from './comparison-run.js';

const REPORT_FOLDER = 'reports';
/** Poll interval where the product's own convergence is not known, in milliseconds. */
const DEFAULT_POLL_INTERVAL_MS = 1_000;
const MIN_POLL_INTERVAL_MS = 100;

const cli = meow(
  `
  Usage
    $ npm run compare -- [options]

  Options
    --nodes N,...      Only fleets of these numbers of nodes
    --scenario NAME    Only this scenario: ${SCENARIO_NAMES.join(', ')}
    --design NAME      Only this design: ${DESIGN_NAMES.join(', ')}

  Writes ${REPORT_FOLDER}/compare.json and prints a table.
`,
  {
    importMeta: import.meta,
    flags: {
      nodes: { type: 'string' },
      scenario: { type: 'string' },
      design: { type: 'string' },
    },
  },
);

const chosenNodes = cli.flags.nodes?.split(',').map(Number);
const results: ComparisonResult[] = [];
for (const size of FLEET_SIZES) {
  if (chosenNodes?.includes(size.nodes) ?? true) {
    compareAt(size);
  }
}
mkdirSync(REPORT_FOLDER, { recursive: true });
const commit = execFileSync('git', ['rev-parse', '--short', 'HEAD'], { encoding: 'utf8' }).trim();
const peakResidentMegabytes = Math.round(process.resourceUsage().maxRSS / 1_024);
const report = { commit, peakResidentMegabytes, results };
writeFileSync(`${REPORT_FOLDER}/compare.json`, `${JSON.stringify(report, undefined, 2)}\n`);
process.stdout.write(`Commit ${commit}, peak memory ${peakResidentMegabytes} MB\n\n`);
process.stdout.write(`${markdownTable(results)}\n`);

/** The product first: polling gets the interval that gives it the product's p99. */
function compareAt(size: (typeof FLEET_SIZES)[number]): void {
  for (const scenario of SCENARIO_NAMES) {
    if (cli.flags.scenario !== undefined && cli.flags.scenario !== scenario) {
      continue;
    }
    let pollIntervalMs = DEFAULT_POLL_INTERVAL_MS;
    for (const design of [...DESIGN_NAMES].reverse()) {
      if (cli.flags.design !== undefined && cli.flags.design !== design) {
        continue;
      }
      const result = compareOne(design, size, scenario, pollIntervalMs);
      results.push(result);
      if (design === 'ferryspool') {
        pollIntervalMs = Math.max(MIN_POLL_INTERVAL_MS, result.sincePublication.p99Ms);
      }
      consola.info(
        `${size.name}, ${scenario}, ${design}: ${result.realSeconds} s; p99 ` +
          `${result.sincePublication.p99Ms} ms, ${result.traffic.meanBytes} bytes/s per node`,
      );
    }
  }
}
