/** `npm run experiment`: what a variant of the policy is worth on an emulated fleet. */
import { writeFileSync } from 'node:fs';
import { consola } from 'consola';
import meow from 'meow';
import { plotDifferences } from './difference-plot.js';
import { runExperiment } from './experiment.js';
import { formatCsv, formatTables } from './experiment-report.js';
import { parseVariant, SETTING_NAMES, VariantError, type Variant } from './policy-settings.js';
import { SCENARIOS } from './scenarios.js';

const USAGE_ERROR = 2;

const cli = meow(
  `
  Usage
    $ npm run experiment -- --variant NAME=VALUE[,NAME=VALUE...] [options]

  Options
    --variant   What differs from the base; may be given several times, for several variants
    --base      What the base differs in from the policy as shipped (default: nothing)
    --scenario  May be given several times (default: all)
    --seeds     Pairs of runs for each scenario and variant (default 20)
    --first     First seed; the others follow it (default 1)
    --csv       File for the numbers as comma-separated values
    --svg       File for a plot of the differences in worth

  Settings: ${SETTING_NAMES.join(', ')}
  Scenarios:
${SCENARIOS.map(({ name, title }) => `    ${name.padEnd(8)}${title}`).join('\n')}

  Plays the decisions of the product on a fleet of the emulator, under a virtual clock; both runs of a pair
  get the same arrivals, work and faults. A difference whose 95% interval leaves out 0 is marked with *.
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      variant: { type: 'string', isMultiple: true, isRequired: true },
      base: { type: 'string', default: '' },
      scenario: { type: 'string', isMultiple: true, choices: SCENARIOS.map(({ name }) => name) },
      seeds: { type: 'number', default: 20 },
      first: { type: 'number', default: 1 },
      csv: { type: 'string' },
      svg: { type: 'string' },
    },
  },
);

function variantOf(text: string): Variant {
  return parseVariant(text.split(',').filter((word) => word !== ''));
}

function run(): void {
  const { variant, base, scenario = [], seeds, first, csv, svg } = cli.flags;
  const comparisons = runExperiment({
    scenarios: SCENARIOS.filter(({ name }) => scenario.length === 0 || scenario.includes(name)),
    base: variantOf(base),
    variants: variant.map(variantOf),
    seeds: Array.from({ length: seeds }, (_, index) => first + index),
    onProgress: (text) => consola.start(text),
  });
  consola.log(formatTables(comparisons));
  if (csv !== undefined) {
    writeFileSync(csv, formatCsv(comparisons));
  }
  if (svg !== undefined) {
    writeFileSync(svg, plotDifferences(comparisons));
  }
}

try {
  run();
} catch (error) {
  if (!(error instanceof VariantError)) {
    throw error;
  }
  consola.error(error.message);
  process.exitCode = USAGE_ERROR;
}
