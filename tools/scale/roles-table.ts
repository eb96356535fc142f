/** What each role of a node holds, sends and costs. */
import type { PhaseFigures } from './fleet-sample.js';
import {
  dayBytes,
  dayCpuPercent,
  linearEstimateAt,
  LIVE_MEASURE,
  phaseOf,
  type FleetSlope,
} from './fleet-slopes.js';
import { figure, table } from './markdown.js';
import { TARGET } from './scale-plan.js';
import type { ScaleReport } from './scale-report.js';

const HEADINGS = [
  'Role',
  'How many',
  'State',
  'Messages and bytes',
  'Processor',
  'Memory',
  'Mechanism',
];
const AS_ABOVE = 'as every node';
const CALLS_ON_TOP = 'as every node; calls come on top';

/** The table, from the largest run; `reports` by rising size. */
export function rolesTable(reports: readonly ScaleReport[], slopes: readonly FleetSlope[]): string {
  const largest = reports.at(-1);
  const quiet = largest && phaseOf(largest, 'quiet')?.figures;
  if (largest === undefined || quiet === undefined) {
    return 'No run.';
  }
  return table(HEADINGS, [
    everyNode(reports, largest, quiet, slopes),
    edgeNode(),
    backendNode(),
    elector(quiet),
    reader(quiet),
    voter(),
  ]);
}

function everyNode(
  reports: readonly ScaleReport[],
  largest: ScaleReport,
  quiet: PhaseFigures,
  slopes: readonly FleetSlope[],
): string[] {
  const whole = reports.filter((report) => dayBytes(report) !== undefined).at(-1) ?? largest;
  const alone = reports.filter((report) => !report.sharesDocuments).at(-1) ?? largest;
  const live = slopes.find(({ measure }) => measure.name === LIVE_MEASURE);
  const liveMiB = live && linearEstimateAt(live, TARGET.nodes)?.value;
  const documentKiB = figure(largest.documentBytes / 1_024);
  return [
    'every node, for control',
    figure(TARGET.nodes),
    `both documents (${figure(largest.resources)} resources, ${documentKiB} KiB of JSON, at ` +
      `${figure(largest.nodes)} nodes), machine list, ${figure(quiet.meanLinks)} links`,
    `${figure(dayBytes(whole) ?? 0)} bytes/s on an ordinary day (at ${figure(whole.nodes)} nodes), ` +
      `${figure(quiet.sentMessagesPerSecond)} messages/s sent in quiet`,
    `${figure(dayCpuPercent(alone) ?? 0)}% for control alone (hollow, at ${figure(alone.nodes)} nodes), ` +
      `${figure(quiet.realOther.cpuPercent)}% whole process in quiet`,
    `${figure(liveMiB ?? 0)} MiB live for control at ${figure(TARGET.nodes)} nodes, ` +
      `${figure(quiet.realOther.residentMiB)} MiB resident, whole process in quiet`,
    'sparse random overlay, deltas flooded over it, heartbeats that carry a digest of what is held',
  ];
}

function edgeNode(): string[] {
  return [
    'edge node',
    'wherever callers are without a back end',
    AS_ABOVE,
    AS_ABOVE,
    CALLS_ON_TOP,
    AS_ABOVE,
    'routes, picks an endpoint, relays to the node beside it',
  ];
}

function backendNode(): string[] {
  return [
    'back end’s node',
    figure(TARGET.nodes),
    'slots, connections and queue of its back end',
    AS_ABOVE,
    CALLS_ON_TOP,
    AS_ABOVE,
    'alone connects to its back end',
  ];
}

function elector(quiet: PhaseFigures): string[] {
  return [
    'elector',
    `${TARGET.zones} zones, the 5 oldest machines of each`,
    'one grant for each slot of its zone',
    `${figure(quiet.electorBytesPerSecond)} bytes/s in quiet, all control included`,
    `${figure(quiet.realElector.cpuPercent)}% whole process in quiet, reading included`,
    `${figure(quiet.realElector.residentMiB)} MiB resident, whole process in quiet`,
    'leases granted by a majority of five',
  ];
}

function reader(quiet: PhaseFigures): string[] {
  return [
    'reader',
    `${TARGET.zones}, and 1 for recovery; at once at the platform in this run: ${quiet.peakReaders}`,
    'a lease',
    `${figure(quiet.platformReadsPerSecond / TARGET.zones)} reads/s of the platform`,
    'in the elector’s figure: electors take leases first',
    'the document once more while it is parsed',
    'one lease for each zone, one short connection at a time',
  ];
}

function voter(): string[] {
  return [
    'voter',
    'a small set',
    'operators’ document',
    'not in these runs',
    'not in these runs',
    'not in these runs',
    'replication by majority',
  ];
}
